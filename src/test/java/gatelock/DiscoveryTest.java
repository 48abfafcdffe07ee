package gatelock;

import static gatelock.standin.EndpointListJson.entry;
import static gatelock.standin.EndpointListJson.snapshot;
import static gatelock.standin.RawHttp.startChunkedResponse;
import static gatelock.standin.RawHttp.writeChunk;
import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.HttpMessage;
import gatelock.standin.RawHttp;
import gatelock.standin.RelayTestCase;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Endpoint lists, changes and release states from discovery and the release controller, valid and malformed. */
final class DiscoveryTest extends RelayTestCase {
    @Test
    void sendsRequestsToNewAddressOfMovedEndpoint() throws Exception {
        relay.launchCold();
        HttpMessage listCall = discovery.awaitCall();
        assertThat(listCall.head()).startsWith("GET /api/targets HTTP/1.1");
        listCall.respond(
                "200 OK",
                "",
                snapshot(5, entry("a", otherEndpoint, "in_service", 1), entry("b", endpoint, "terminating", 1)));
        assertThat(discovery.awaitCall().head()).startsWith("GET /api/targets?from=5&hold_ms=");
        try (Socket client = relay.connect()) {
            for (int i = 0; i < 5; i++) {
                assertServedBy(otherEndpoint, client, "moved" + i);
            }
        }
        assertThat(endpoint.calls()).isEmpty();
    }

    @Test
    void readsThousandEndpointsAsSegmentedListAndAsOneChange() throws Exception {
        relay.launchCold();
        String namePrefix = "unit-of-a-long-name-in-a-far-away-place-0123456789-0123456789-";
        String entryFormat = "{\"name\":\"%s\",\"address\":\"%s\",\"zone\":\"z\",\"type\":\"m\",\"group\":3,"
                + "\"status\":\"%s\",\"weight\":1.0,\"since_ms\":0,\"image_id\":1}";
        List<String> drainingEntries = new ArrayList<>();
        for (int i = 0; i < 1023; i++) {
            drainingEntries.add(String.format(entryFormat, namePrefix + i, "127.0.0.1:1", "terminating"));
        }
        String listFormat =
                "{\"index\":%d,\"snapshot\":%s,\"endpoints\":[" + String.join(",", drainingEntries) + ",%s]}";
        String servingEntry = String.format(entryFormat, "a", otherEndpoint.address(), "in_service");
        String body = String.format(listFormat, 5, true, servingEntry);
        assertThat(body.length()).isGreaterThan(2 * 64 * 1024);
        HttpMessage listCall = discovery.awaitCall();
        RawHttp.write(listCall.socket(), "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n");
        for (int offset = 0; offset < body.length(); offset += 9_000) {
            RawHttp.write(listCall.socket(), body.substring(offset, Math.min(body.length(), offset + 9_000)));
        }
        HttpMessage watch = discovery.awaitCall();
        assertThat(watch.head()).startsWith("GET /api/targets?from=5&");
        assertServedBy(otherEndpoint, "whole");
        // The same entries as one change.
        watch.respond(
                "200 OK",
                "",
                String.format(listFormat, 6, false, String.format(entryFormat, "a", endpoint.address(), "in_service")));
        assertThat(discovery.awaitCall().head()).startsWith("GET /api/targets?from=6&");
        assertServedBy(endpoint, "changed");
        assertThat(relay.log()).doesNotContain("unexpected").doesNotContain("endpoint list rejected");
    }

    @Test
    void rejectsListWithInvalidEntryAndLogsItOnce() throws Exception {
        startRelay();
        String entryFormat = "{\"name\":\"%s\",\"address\":\"" + otherEndpoint.address()
                + "\",\"status\":\"in_service\",\"since_ms\":%s,\"image_id\":1}";
        String validEntry = String.format(entryFormat, "x", "0");
        for (String invalidEntry : new String[] {
            validEntry,
            String.format(entryFormat, "y", "-5"),
            String.format(entryFormat, "y", "9999999999999"),
            String.format(entryFormat, "y", "0").replace("\"image_id\":1", "\"image_id\":\"one\"")
        }) {
            for (int i = 0; i < 3; i++) {
                discovery.awaitCall().respond("200 OK", "", snapshot(5, validEntry, invalidEntry));
            }
        }
        discovery.awaitCall();
        assertThat(relay.log().split("endpoint list rejected, last good list kept", -1))
                .hasSize(5);
        assertServedBy(endpoint, "still");
    }

    @Test
    void closesConnectionsOfDiscoveryAndControllerOnMalformedResponse() throws Exception {
        startRelay();
        HttpMessage controllerCall = controller.awaitCall();
        writeChunk(startChunkedResponse(controllerCall), "{}\n{\"type\":\"news\",\"object\":{\"release\":-1}}\n");
        assertThat(controller.awaitCall().head()).startsWith("GET /v2/projects/main/changes");
        String entry = entry("a", otherEndpoint, "in_service", 1);
        String list = snapshot(5, entry, entry);
        for (String malformed : new String[] {
            list.substring(0, list.length() - 9),
            list + "x",
            "[]",
            "\u0000\u0001",
            list.replace("\"image_id\":1}]", "\"image_id\":1e99}]"),
            list.replace("0,\"image_id\":1}]", "-7}]"),
            list.replace("in_service", "zz_zzzzzzz"),
            list.replace("\"index\":5", "\"index\":\"5\"")
        }) {
            HttpMessage listCall = discovery.awaitCall();
            assertThat(listCall.head()).startsWith("GET /api/targets?from=1&");
            listCall.respond("200 OK", "", malformed);
            assertThat(discovery.closedConnections().poll(20, TimeUnit.SECONDS))
                    .as(malformed)
                    .isSameAs(listCall.socket());
        }
        assertServedBy(endpoint, "still");
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    @Test
    void reopensReleaseStateConnectionWhenItEnds() throws Exception {
        startRelay();
        HttpMessage first = controller.awaitCall();
        assertThat(first.head()).startsWith("GET /v2/projects/main/changes");
        writeChunk(
                startChunkedResponse(first), "{}\n{\"type\":\"news\",\"object\":" + RELEASED_STATE + "}\nnot json\n");
        first.socket().close();
        assertThat(controller.awaitCall().head()).startsWith("GET /v2/projects/main/changes");
    }
}
