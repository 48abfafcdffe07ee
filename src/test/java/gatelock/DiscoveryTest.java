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

/** What discovery and the release controller send to a relay that serves: lists, changes, states, and spoilt ones. */
final class DiscoveryTest extends RelayTestCase {
    @Test
    void aListThatMovesAnEndpointSendsRequestsToItsNewAddress() throws Exception {
        relay.launchCold();
        HttpMessage whole = discovery.awaitCall();
        assertThat(whole.head()).startsWith("GET /api/targets HTTP/1.1");
        whole.respond(
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
    void aListOfAThousandEndpointsIsReadWholeOrInPiecesAndAsOneChange() throws Exception {
        relay.launchCold();
        String name = "unit-of-a-long-name-in-a-far-away-place-0123456789-0123456789-";
        String entryFormat = "{\"name\":\"%s\",\"address\":\"%s\",\"zone\":\"z\",\"type\":\"m\",\"group\":3,"
                + "\"status\":\"%s\",\"weight\":1.0,\"since_ms\":0,\"image_id\":1}";
        List<String> rest = new ArrayList<>();
        for (int i = 0; i < 1023; i++) {
            rest.add(String.format(entryFormat, name + i, "127.0.0.1:1", "terminating"));
        }
        String listFormat = "{\"index\":%d,\"snapshot\":%s,\"endpoints\":[" + String.join(",", rest) + ",%s]}";
        String there = String.format(entryFormat, "a", otherEndpoint.address(), "in_service");
        String body = String.format(listFormat, 5, true, there);
        assertThat(body.length()).isGreaterThan(2 * 64 * 1024);
        HttpMessage asked = discovery.awaitCall();
        RawHttp.write(asked.socket(), "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n");
        for (int at = 0; at < body.length(); at += 9_000) {
            RawHttp.write(asked.socket(), body.substring(at, Math.min(body.length(), at + 9_000)));
        }
        HttpMessage watch = discovery.awaitCall();
        assertThat(watch.head()).startsWith("GET /api/targets?from=5&");
        assertServedBy(otherEndpoint, "whole");
        // All of the entries as one change.
        watch.respond(
                "200 OK",
                "",
                String.format(listFormat, 6, false, String.format(entryFormat, "a", endpoint.address(), "in_service")));
        assertThat(discovery.awaitCall().head()).startsWith("GET /api/targets?from=6&");
        assertServedBy(endpoint, "changed");
        assertThat(relay.log()).doesNotContain("unexpected").doesNotContain("endpoint list rejected");
    }

    @Test
    void aListThatIsBadInOneEntryIsSaidOnceAndChangesNothing() throws Exception {
        startRelay();
        String entryFormat = "{\"name\":\"%s\",\"address\":\"" + otherEndpoint.address()
                + "\",\"status\":\"in_service\",\"since_ms\":%s,\"image_id\":1}";
        String good = String.format(entryFormat, "x", "0");
        for (String odd : new String[] {
            good,
            String.format(entryFormat, "y", "-5"),
            String.format(entryFormat, "y", "9999999999999"),
            String.format(entryFormat, "y", "0").replace("\"image_id\":1", "\"image_id\":\"one\"")
        }) {
            for (int i = 0; i < 3; i++) {
                discovery.awaitCall().respond("200 OK", "", snapshot(5, good, odd));
            }
        }
        discovery.awaitCall();
        assertThat(relay.log().split("endpoint list rejected, last good list kept", -1))
                .hasSize(5);
        assertServedBy(endpoint, "still");
    }

    @Test
    void spoiltWordsOfDiscoveryAndControllerChangeNothingAndEndTheirConnections() throws Exception {
        startRelay();
        HttpMessage news = controller.awaitCall();
        writeChunk(startChunkedResponse(news), "{}\n{\"type\":\"news\",\"object\":{\"release\":-1}}\n");
        assertThat(controller.awaitCall().head()).startsWith("GET /v2/projects/main/changes");
        String entry = entry("a", otherEndpoint, "in_service", 1);
        String list = snapshot(5, entry, entry);
        for (String spoilt : new String[] {
            list.substring(0, list.length() - 9),
            list + "x",
            "[]",
            "\u0000\u0001",
            list.replace("\"image_id\":1}]", "\"image_id\":1e99}]"),
            list.replace("0,\"image_id\":1}]", "-7}]"),
            list.replace("in_service", "zz_zzzzzzz"),
            list.replace("\"index\":5", "\"index\":\"5\"")
        }) {
            HttpMessage asked = discovery.awaitCall();
            assertThat(asked.head()).startsWith("GET /api/targets?from=1&");
            asked.respond("200 OK", "", spoilt);
            assertThat(discovery.closedConnections().poll(20, TimeUnit.SECONDS))
                    .as(spoilt)
                    .isSameAs(asked.socket());
        }
        assertServedBy(endpoint, "still");
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    @Test
    void newsComeOnAConnectionThatIsOpenedAgainWhenItEnds() throws Exception {
        startRelay();
        HttpMessage first = controller.awaitCall();
        assertThat(first.head()).startsWith("GET /v2/projects/main/changes");
        writeChunk(
                startChunkedResponse(first), "{}\n{\"type\":\"news\",\"object\":" + RELEASED_STATE + "}\nnot json\n");
        first.socket().close();
        assertThat(controller.awaitCall().head()).startsWith("GET /v2/projects/main/changes");
    }
}
