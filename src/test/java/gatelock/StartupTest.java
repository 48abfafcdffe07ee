package gatelock;

import static gatelock.standin.EndpointListJson.respondWithSingleEndpoint;
import static gatelock.standin.RawHttp.readMessage;
import static gatelock.standin.RawHttp.sendRequest;
import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.BackgroundTask;
import gatelock.standin.HttpMessage;
import gatelock.standin.RelayTestCase;
import java.net.Socket;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Startup of the relay: the warm-up, requests that arrive before the first endpoint list, invalid configurations. */
final class StartupTest extends RelayTestCase {
    @Test
    void pollsDiscoveryAfterWarmUpWhenListIsOnRequest() throws Exception {
        relay.replaceInConfig("\"pushed\"", "\"on_request\"");
        relay.launch("serve");
        assertThat(discovery.awaitCall().head()).startsWith("GET /api/targets HTTP/1.1");
        relay.awaitLog("serves on");
        // A request with a trace ID of the warm-up that is read after the warm-up is not forwarded.
        try (Socket client = relay.connect()) {
            sendRequest(client, "GET /read", "rehearsal-1f2e3d4c5b6a7988-7", "", "");
            assertThat(readMessage(client)).isNull();
        }
        assertThat(endpoint.calls()).isEmpty();
        assertThat(relay.log()).contains("warm-up complete, ").doesNotContain("unexpected");
    }

    @Test
    void forwardsRequestsThatArriveDuringWarmUp() throws Exception {
        relay.launch("serve");
        BackgroundTask.start(() -> respondWithSingleEndpoint(discovery.awaitCall(), 5, endpoint));
        for (int i = 0; i < 4; i++) {
            try (Socket client = relay.connectWhenListening()) {
                boolean post = i % 2 == 1;
                sendRequest(client, post ? "POST /claim" : "GET /read", "early" + i, "", post ? "x" : "");
                HttpMessage call = endpoint.awaitCall();
                assertThat(call.header("X-Trace-Id")).isEqualTo("early" + i);
                call.respond("200 OK", "", "from an endpoint");
                assertThat(readMessage(client).body()).isEqualTo("from an endpoint");
            }
        }
        relay.awaitLog("queued until ready");
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    @Test
    void holdsRequestUntilFirstListAndForwardsItToListedEndpoint() throws Exception {
        relay.launchWithoutWarmUp();
        try (Socket client = relay.connectWhenListening()) {
            sendRequest(client, "GET /read", "before", "", "");
            respondWithSingleEndpoint(discovery.awaitCall(), 5, otherEndpoint);
            otherEndpoint.awaitCall().respond("200 OK", "", "there");
            assertThat(readMessage(client).body()).isEqualTo("there");
        }
        assertThat(endpoint.calls()).isEmpty();
    }

    @Test
    void holdsRequestWhenFirstDiscoveryCallTimesOut() throws Exception {
        relay.launchWithoutWarmUp();
        try (Socket client = relay.connectWhenListening()) {
            sendRequest(client, "POST /claim", "early", "X-Expires-In-Ms: 20000\r\n", "x");
            HttpMessage unanswered = discovery.awaitCall();
            // The relay makes the second call after the first has timed out. Until then nothing is sent to the
            // configured endpoint.
            HttpMessage secondCall = discovery.awaitCall();
            assertThat(endpoint.calls()).isEmpty();
            respondWithSingleEndpoint(secondCall, 5, otherEndpoint);
            otherEndpoint.awaitCall().respond("200 OK", "", "there");
            assertThat(readMessage(client).body()).isEqualTo("there");
            unanswered.socket().close();
        }
        assertThat(endpoint.connections()).isEmpty();
    }

    @Test
    void shedsHeldRequestAtHalfOfItsDeadline() throws Exception {
        relay.launchWithoutWarmUp();
        try (Socket client = relay.connectWhenListening()) {
            Socket leaving = relay.connectWhenListening();
            sendRequest(leaving, "POST /claim", "left", "X-Expires-In-Ms: 20000\r\n", "x");
            sendRequest(client, "POST /claim", "short", "X-Expires-In-Ms: 600\r\n", "x");
            HttpMessage listCall = discovery.awaitCall();
            HttpMessage response = readMessage(client);
            assertThat(response.head()).startsWith("HTTP/1.1 503");
            assertThat(Double.parseDouble(response.header("Retry-After"))).isBetween(0.1, 0.3);
            leaving.close();
            sendRequest(client, "POST /claim", "stays", "X-Expires-In-Ms: 20000\r\n", "x");
            listCall.socket().close();
            respondWithSingleEndpoint(discovery.awaitCall(), 5, endpoint);
            HttpMessage call = endpoint.awaitCall();
            assertThat(call.header("X-Trace-Id")).isEqualTo("stays");
            call.respond("200 OK", "", "served");
            assertThat(readMessage(client).body()).isEqualTo("served");
        }
        assertThat(endpoint.calls()).isEmpty();
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    @Test
    void holdsRequestWhenDiscoveryCallsFail() throws Exception {
        relay.launchWithoutWarmUp();
        try (Socket client = relay.connectWhenListening()) {
            sendRequest(client, "POST /claim", "early", "X-Expires-In-Ms: 20000\r\n", "x");
            for (int i = 0; i < 5; i++) {
                discovery.awaitCall().socket().close();
            }
            HttpMessage listCall = discovery.awaitCall();
            assertThat(endpoint.calls()).isEmpty();
            respondWithSingleEndpoint(listCall, 5, otherEndpoint);
            otherEndpoint.awaitCall().respond("200 OK", "", "there");
            assertThat(readMessage(client).body()).isEqualTo("there");
        }
    }

    @Test
    void forwardsToConfiguredEndpointWhenDiscoveryIsSilent() throws Exception {
        relay.launchWithoutWarmUp();
        try (Socket client = relay.connectWhenListening()) {
            sendRequest(client, "GET /read", "unlisted", "X-Expires-In-Ms: 10000\r\n", "");
            endpoint.awaitCall().respond("200 OK", "", "known");
            assertThat(readMessage(client).body()).isEqualTo("known");
        }
        // The relay serves from the configured endpoints only after two calls to discovery have timed out.
        assertThat(discovery.calls()).hasSizeGreaterThanOrEqualTo(2);
        assertThat(relay.log()).contains("discovery is silent, serving the configured endpoints");
    }

    @Test
    void restartsWithSameNameAndAddressAfterKill() throws Exception {
        startRelay();
        relay.process().destroyForcibly().waitFor();
        startRelay();
        try (Socket client = relay.connect()) {
            sendRequest(client, "GET /read", "back", "", "");
            endpoint.awaitCall().respond("200 OK", "", "again");
            assertThat(readMessage(client).body()).isEqualTo("again");
        }
    }

    @Test
    void exitsWithOneLineOnInvalidConfiguration() throws Exception {
        String validConfig = relay.configText();
        for (String configText : new String[] {
            "",
            "[]",
            "{\"name\":\"x\"}",
            "{",
            validConfig.replace("\"dialTimeoutNs\": 250000000", "\"dialTimeoutNs\": \"soon\""),
            validConfig.replaceFirst("\"listen\": \"[^\"]*\"", "\"listen\": \"nowhere\"")
        }) {
            relay.writeConfig(configText);
            relay.launchWithoutWarmUp();
            assertThat(relay.process().waitFor()).isEqualTo(2);
            assertThat(relay.log().lines()).hasSize(1).first().asString().startsWith("gatelock: ");
        }
        relay.launchWithConfig(Path.of("none"), "serve", "cold");
        assertThat(relay.process().waitFor()).isEqualTo(2);
    }
}
