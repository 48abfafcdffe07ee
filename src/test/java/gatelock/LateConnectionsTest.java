package gatelock;

import static gatelock.standin.EndpointListJson.delta;
import static gatelock.standin.EndpointListJson.entry;
import static gatelock.standin.EndpointListJson.snapshot;
import static gatelock.standin.RawHttp.readMessage;
import static gatelock.standin.RawHttp.sendRequest;
import static gatelock.standin.RawHttp.startChunkedResponse;
import static gatelock.standin.RawHttp.writeChunk;
import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.FakeServer;
import gatelock.standin.HttpMessage;
import gatelock.standin.RelayTestCase;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Endpoints to which a connection comes up only after something has changed; judged by the bytes that reach them. */
final class LateConnectionsTest extends RelayTestCase {
    private FakeServer late;

    @BeforeEach
    void makeConnectionsSlow() throws Exception {
        late = FakeServer.thatAcceptsLater();
        relay.writeConfig(relay.configText()
                .replace("\"dialTimeoutNs\": 250000000", "\"dialTimeoutNs\": 20000000000")
                .replaceAll("\"deadlineNs\": \\d+", "\"deadlineNs\": 20000000000"));
    }

    @AfterEach
    void closeLateEndpoint() throws Exception {
        late.close();
    }

    /** Answers a call to discovery; returns the watch that the relay sends once it has taken in the answer. */
    private HttpMessage answerList(HttpMessage asked, int index, String... entries) throws Exception {
        asked.respond("200 OK", "", index == 1 ? snapshot(index, entries) : delta(index, entries));
        HttpMessage watch = discovery.awaitCall();
        assertThat(watch.head()).startsWith("GET /api/targets?from=" + index + "&");
        return watch;
    }

    /** Lets connections be established and checks that no call comes, for longer than TCP takes to retry a SYN. */
    private void assertNoCallAfterConnecting() throws Exception {
        late.accept();
        assertThat(late.calls().poll(4, TimeUnit.SECONDS)).isNull();
    }

    private void assertServedByOtherEndpoint(Socket client) throws Exception {
        otherEndpoint.awaitCall().respond("200 OK", "", "elsewhere");
        assertThat(readMessage(client).body()).isEqualTo("elsewhere");
    }

    @Test
    void nothingGoesToAnEndpointThatLeftWhileAConnectionToItCameUp() throws Exception {
        relay.launchCold();
        HttpMessage watch = answerList(discovery.awaitCall(), 1, entry("x", late, "in_service", 1));
        for (String status : new String[] {"terminating", "terminated"}) {
            try (Socket client = relay.connect()) {
                sendRequest(client, "POST /claim", "waits-" + status, "", "x");
                Thread.sleep(200);
                watch = answerList(watch, 2, entry("x", late, status, 1), entry("y", otherEndpoint, "in_service", 1));
                assertServedByOtherEndpoint(client);
            }
            watch = answerList(watch, 3, entry("x", late, "in_service", 1), entry("y", otherEndpoint, "terminated", 1));
        }
        answerList(watch, 4, entry("x", late, "terminated", 1));
        assertNoCallAfterConnecting();
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    @Test
    void nothingGoesToABuildThatWentBackWhileAConnectionToItCameUp() throws Exception {
        relay.launchCold();
        answerList(
                discovery.awaitCall(),
                1,
                entry("x", late, "in_service", 2),
                entry("y", otherEndpoint, "in_service", 1));
        HttpMessage news = controller.awaitCall();
        String state = "{\"type\":\"news\",\"object\":{\"release\":2,\"tranche\":0,\"mode\":\"%s\","
                + "\"exposure\":%s,\"old_ms\":0}}\n";
        OutputStream states = startChunkedResponse(news);
        writeChunk(states, String.format(state, "trial", "1.0"));
        Thread.sleep(200);
        try (Socket client = relay.connect()) {
            // A canary endpoint gets a part of the requests; the first one that reaches no server was sent there.
            HttpMessage usual;
            int i = 0;
            do {
                sendRequest(client, "POST /claim", "claim" + i++, "X-Size-Hint: 90000\r\n", "x");
                usual = otherEndpoint.calls().poll(500, TimeUnit.MILLISECONDS);
                if (usual != null) {
                    usual.respond("200 OK", "", "usual");
                    assertThat(readMessage(client).body()).isEqualTo("usual");
                }
            } while (usual != null && i < 200);
            assertThat(usual).isNull();
            writeChunk(states, String.format(state, "rolling_back", "0.0"));
            Thread.sleep(200);
            late.accept();
            assertServedByOtherEndpoint(client);
        }
        assertNoCallAfterConnecting();
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    @Test
    void whatMayStillGoGoesOnceItsConnectionIsUp() throws Exception {
        relay.launchCold();
        answerList(discovery.awaitCall(), 1, entry("x", late, "in_service", 1));
        try (Socket client = relay.connect()) {
            sendRequest(client, "POST /claim", "patient", "", "x");
            Thread.sleep(200);
            late.accept();
            late.awaitCall().respond("200 OK", "", "there");
            assertThat(readMessage(client).body()).isEqualTo("there");
        }
    }
}
