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

/**
 * Guards against requests that reach an endpoint that may no longer get them: while a connection is being
 * established, the endpoint drains or terminates, or its build is rolled back. The tests judge by the bytes that reach
 * the endpoint.
 */
final class LateConnectionsTest extends RelayTestCase {
    private FakeServer slowEndpoint;

    @BeforeEach
    void makeConnectionsSlow() throws Exception {
        slowEndpoint = FakeServer.thatAcceptsLater();
        relay.writeConfig(relay.configText()
                .replace("\"dialTimeoutNs\": 250000000", "\"dialTimeoutNs\": 20000000000")
                .replaceAll("\"deadlineNs\": \\d+", "\"deadlineNs\": 20000000000"));
    }

    @AfterEach
    void closeSlowEndpoint() throws Exception {
        slowEndpoint.close();
    }

    /** Answers a call to discovery with a list or change; returns the watch that the relay sends after applying it. */
    private HttpMessage answerList(HttpMessage call, int index, String... entries) throws Exception {
        call.respond("200 OK", "", index == 1 ? snapshot(index, entries) : delta(index, entries));
        HttpMessage watch = discovery.awaitCall();
        assertThat(watch.head()).startsWith("GET /api/targets?from=" + index + "&");
        return watch;
    }

    /**
     * Accepts connections and checks that no request arrives within 4 s, which is longer than TCP takes to retransmit a
     * SYN.
     */
    private void assertNoCallAfterConnecting() throws Exception {
        slowEndpoint.accept();
        assertThat(slowEndpoint.calls().poll(4, TimeUnit.SECONDS)).isNull();
    }

    /** Checks that the pending request of the client is served by the other endpoint. */
    private void assertServedByOtherEndpoint(Socket client) throws Exception {
        otherEndpoint.awaitCall().respond("200 OK", "", "elsewhere");
        assertThat(readMessage(client).body()).isEqualTo("elsewhere");
    }

    @Test
    void doesNotSendRequestToEndpointThatLeavesDuringConnect() throws Exception {
        relay.launchCold();
        HttpMessage watch = answerList(discovery.awaitCall(), 1, entry("x", slowEndpoint, "in_service", 1));
        for (String status : new String[] {"terminating", "terminated"}) {
            try (Socket client = relay.connect()) {
                sendRequest(client, "POST /claim", "waits-" + status, "", "x");
                Thread.sleep(200);
                watch = answerList(
                        watch, 2, entry("x", slowEndpoint, status, 1), entry("y", otherEndpoint, "in_service", 1));
                assertServedByOtherEndpoint(client);
            }
            watch = answerList(
                    watch, 3, entry("x", slowEndpoint, "in_service", 1), entry("y", otherEndpoint, "terminated", 1));
        }
        answerList(watch, 4, entry("x", slowEndpoint, "terminated", 1));
        assertNoCallAfterConnecting();
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    @Test
    void doesNotSendRequestToBuildRolledBackDuringConnect() throws Exception {
        relay.launchCold();
        answerList(
                discovery.awaitCall(),
                1,
                entry("x", slowEndpoint, "in_service", 2),
                entry("y", otherEndpoint, "in_service", 1));
        HttpMessage controllerCall = controller.awaitCall();
        String stateFormat = "{\"type\":\"news\",\"object\":{\"release\":2,\"tranche\":0,\"mode\":\"%s\","
                + "\"exposure\":%s,\"old_ms\":0}}\n";
        OutputStream stateStream = startChunkedResponse(controllerCall);
        writeChunk(stateStream, String.format(stateFormat, "trial", "1.0"));
        Thread.sleep(200);
        try (Socket client = relay.connect()) {
            // The canary gets a share of the requests. The first request that does not reach the other endpoint was
            // sent to the canary and waits for its connection.
            HttpMessage callAtOther;
            int requestCount = 0;
            do {
                sendRequest(client, "POST /claim", "claim" + requestCount++, "X-Size-Hint: 90000\r\n", "x");
                callAtOther = otherEndpoint.calls().poll(500, TimeUnit.MILLISECONDS);
                if (callAtOther != null) {
                    callAtOther.respond("200 OK", "", "other");
                    assertThat(readMessage(client).body()).isEqualTo("other");
                }
            } while (callAtOther != null && requestCount < 200);
            assertThat(callAtOther).isNull();
            writeChunk(stateStream, String.format(stateFormat, "rolling_back", "0.0"));
            Thread.sleep(200);
            slowEndpoint.accept();
            assertServedByOtherEndpoint(client);
        }
        assertNoCallAfterConnecting();
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    @Test
    void sendsWaitingRequestOnceConnectionIsEstablished() throws Exception {
        relay.launchCold();
        answerList(discovery.awaitCall(), 1, entry("x", slowEndpoint, "in_service", 1));
        try (Socket client = relay.connect()) {
            sendRequest(client, "POST /claim", "patient", "", "x");
            Thread.sleep(200);
            slowEndpoint.accept();
            slowEndpoint.awaitCall().respond("200 OK", "", "there");
            assertThat(readMessage(client).body()).isEqualTo("there");
        }
    }
}
