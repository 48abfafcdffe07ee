package gatelock;

import static gatelock.standin.EndpointListJson.listOnly;
import static gatelock.standin.RawHttp.readMessage;
import static gatelock.standin.RawHttp.sendRequest;
import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.BackgroundTask;
import gatelock.standin.HttpMessage;
import gatelock.standin.RelayTestCase;
import java.net.Socket;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** A relay that starts: its warm-up, requests that come before the endpoint list, and invalid configurations. */
final class StartupTest extends RelayTestCase {
    @Test
    void aRelayThatMustAskForItsListRehearsesAndThenAsks() throws Exception {
        relay.replaceInConfig("\"pushed\"", "\"on_request\"");
        relay.launch("serve");
        assertThat(discovery.awaitCall().head()).startsWith("GET /api/targets HTTP/1.1");
        relay.awaitLog("serves on");
        // A request of the warm-up that is read only now is not forwarded.
        try (Socket client = relay.connect()) {
            sendRequest(client, "GET /read", "rehearsal-1f2e3d4c5b6a7988-7", "", "");
            assertThat(readMessage(client)).isNull();
        }
        assertThat(endpoint.calls()).isEmpty();
        assertThat(relay.log()).contains("rehearsed").doesNotContain("unexpected");
    }

    @Test
    void aRequestThatComesDuringTheRehearsalIsAnsweredByAnEndpoint() throws Exception {
        relay.launch("serve");
        BackgroundTask.start(() -> listOnly(discovery.awaitCall(), 5, endpoint));
        for (int i = 0; i < 4; i++) {
            try (Socket client = relay.connectWhenListening()) {
                boolean post = i % 2 == 1;
                sendRequest(client, post ? "POST /claim" : "GET /read", "early" + i, "", post ? "x" : "");
                HttpMessage at = endpoint.awaitCall();
                assertThat(at.header("X-Trace-Id")).isEqualTo("early" + i);
                at.respond("200 OK", "", "from a unit");
                assertThat(readMessage(client).body()).isEqualTo("from a unit");
            }
        }
        relay.awaitLog("held until ready");
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    @Test
    void aRequestThatComesBeforeTheListGoesWhereTheListSays() throws Exception {
        relay.launchCold();
        try (Socket client = relay.connectWhenListening()) {
            sendRequest(client, "GET /read", "before", "", "");
            listOnly(discovery.awaitCall(), 5, otherEndpoint);
            otherEndpoint.awaitCall().respond("200 OK", "", "there");
            assertThat(readMessage(client).body()).isEqualTo("there");
        }
        assertThat(endpoint.calls()).isEmpty();
    }

    @Test
    void aRequestWaitsForAListThatIsLongInComing() throws Exception {
        relay.launchCold();
        try (Socket client = relay.connectWhenListening()) {
            sendRequest(client, "POST /claim", "early", "X-Expires-In-Ms: 20000\r\n", "x");
            HttpMessage unanswered = discovery.awaitCall();
            // The second call comes after the timeout of the first; nothing was sent to the configured endpoint until
            // then.
            HttpMessage again = discovery.awaitCall();
            assertThat(endpoint.calls()).isEmpty();
            listOnly(again, 5, otherEndpoint);
            otherEndpoint.awaitCall().respond("200 OK", "", "there");
            assertThat(readMessage(client).body()).isEqualTo("there");
            unanswered.socket().close();
        }
        assertThat(endpoint.connections()).isEmpty();
    }

    @Test
    void aRequestThatHasWaitedForHalfOfItsTimeIsGivenUpAndNeverGoesOut() throws Exception {
        relay.launchCold();
        try (Socket client = relay.connectWhenListening()) {
            Socket leaving = relay.connectWhenListening();
            sendRequest(leaving, "POST /claim", "left", "X-Expires-In-Ms: 20000\r\n", "x");
            sendRequest(client, "POST /claim", "short", "X-Expires-In-Ms: 600\r\n", "x");
            HttpMessage whole = discovery.awaitCall();
            HttpMessage answer = readMessage(client);
            assertThat(answer.head()).startsWith("HTTP/1.1 503");
            assertThat(Double.parseDouble(answer.header("Retry-After"))).isBetween(0.1, 0.3);
            leaving.close();
            sendRequest(client, "POST /claim", "stays", "X-Expires-In-Ms: 20000\r\n", "x");
            whole.socket().close();
            listOnly(discovery.awaitCall(), 5, endpoint);
            HttpMessage at = endpoint.awaitCall();
            assertThat(at.header("X-Trace-Id")).isEqualTo("stays");
            at.respond("200 OK", "", "served");
            assertThat(readMessage(client).body()).isEqualTo("served");
        }
        assertThat(endpoint.calls()).isEmpty();
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    @Test
    void aFailedCallForTheListIsNoListYet() throws Exception {
        relay.launchCold();
        try (Socket client = relay.connectWhenListening()) {
            sendRequest(client, "POST /claim", "early", "X-Expires-In-Ms: 20000\r\n", "x");
            for (int i = 0; i < 5; i++) {
                discovery.awaitCall().socket().close();
            }
            HttpMessage asked = discovery.awaitCall();
            assertThat(endpoint.calls()).isEmpty();
            listOnly(asked, 5, otherEndpoint);
            otherEndpoint.awaitCall().respond("200 OK", "", "there");
            assertThat(readMessage(client).body()).isEqualTo("there");
        }
    }

    @Test
    void aRequestIsServedByWhatIsKnownOnceDiscoveryHasBeenSilentForLong() throws Exception {
        relay.launchCold();
        try (Socket client = relay.connectWhenListening()) {
            sendRequest(client, "GET /read", "unlisted", "X-Expires-In-Ms: 10000\r\n", "");
            endpoint.awaitCall().respond("200 OK", "", "known");
            assertThat(readMessage(client).body()).isEqualTo("known");
        }
        // Two calls timed out before that.
        assertThat(discovery.calls()).hasSizeGreaterThanOrEqualTo(2);
        assertThat(relay.log()).contains("discovery is silent, serving the configured endpoints");
    }

    @Test
    void aRelayComesBackUnderItsNameAndAddress() throws Exception {
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
    void anOddConfigurationEndsTheProgramWithOneLine() throws Exception {
        String sound = relay.configText();
        for (String text : new String[] {
            "",
            "[]",
            "{\"name\":\"x\"}",
            "{",
            sound.replace("\"dialTimeoutNs\": 250000000", "\"dialTimeoutNs\": \"soon\""),
            sound.replaceFirst("\"listen\": \"[^\"]*\"", "\"listen\": \"nowhere\"")
        }) {
            relay.writeConfig(text);
            relay.launchCold();
            assertThat(relay.process().waitFor()).isEqualTo(2);
            assertThat(relay.log().lines()).hasSize(1).first().asString().startsWith("gatelock: ");
        }
        relay.launchOn(Path.of("none"), "serve", "cold");
        assertThat(relay.process().waitFor()).isEqualTo(2);
    }
}
