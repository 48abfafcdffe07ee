package gatelock;

import static gatelock.standin.EndpointListJson.respondWithSingleEndpoint;
import static gatelock.standin.RawHttp.readMessage;
import static gatelock.standin.RawHttp.sendRequest;
import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.HttpMessage;
import gatelock.standin.RawHttp;
import gatelock.standin.RelayTestCase;
import java.net.Socket;
import org.junit.jupiter.api.Test;

/**
 * Nothing is sent on for a client that has left, whatever its request waited for. Guards against requests that run
 * although nobody waits for them, and that run twice when their client comes again.
 */
final class ClientDisconnectTest extends RelayTestCase {
    /** Checks that the next request that reaches the endpoint is one that is sent now. */
    private void assertNothingWasSentBefore(String traceId) throws Exception {
        try (Socket client = relay.connect()) {
            sendRequest(client, "GET /read", traceId, "", "");
            HttpMessage call = endpoint.awaitCall();
            assertThat(call.header("X-Trace-Id")).isEqualTo(traceId);
            call.respond("200 OK", "", "there");
            assertThat(readMessage(client).body()).isEqualTo("there");
        }
        assertThat(endpoint.calls()).isEmpty();
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    @Test
    void sendsNoRequestOfClientThatLeftBeforeItWasRead() throws Exception {
        startRelay();
        relay.signal("STOP");
        for (int i = 0; i < 10; i++) {
            try (Socket leaving = relay.connect()) {
                sendRequest(leaving, "POST /claim", "left" + i, "", "x".repeat(i * 5_000));
            }
        }
        relay.signal("CONT");
        Thread.sleep(200);
        assertNothingWasSentBefore("next");
    }

    @Test
    void sendsNoRequestBehindAnotherOneWhenTheirClientLeaves() throws Exception {
        startRelay();
        Socket leaving = relay.connect();
        sendRequest(leaving, "POST /claim", "first", "", "x");
        HttpMessage first = endpoint.awaitCall();
        sendRequest(leaving, "POST /claim", "second", "", "x");
        sendRequest(leaving, "POST /claim", "third", "", "x");
        Thread.sleep(100);
        leaving.close();
        Thread.sleep(100);
        RawHttp.write(first.socket(), "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
        Thread.sleep(100);
        assertNothingWasSentBefore("next");
    }

    @Test
    void sendsNothingWhenCloseIsBehindMoreThanTheRelayReadsAhead() throws Exception {
        startRelay();
        relay.signal("STOP");
        try (Socket leaving = relay.connect()) {
            for (int i = 0; i < 20; i++) {
                sendRequest(leaving, "POST /claim", "left" + i, "", "x".repeat(5_000));
            }
        }
        relay.signal("CONT");
        Thread.sleep(200);
        assertNothingWasSentBefore("next");
    }

    @Test
    void sendsNoRequestOfClientThatLeftWhileItWasQueuedForTheFirstList() throws Exception {
        relay.launchWithoutWarmUp();
        Socket leaving = relay.connectWhenListening();
        sendRequest(leaving, "POST /claim", "left", "", "x");
        HttpMessage call = discovery.awaitCall();
        Thread.sleep(100);
        relay.signal("STOP");
        respondWithSingleEndpoint(call, 1, endpoint);
        leaving.close();
        relay.signal("CONT");
        Thread.sleep(200);
        assertNothingWasSentBefore("next");
    }

    @Test
    void doesNotRetryRequestOfClientThatLeft() throws Exception {
        startRelay();
        Socket leaving = relay.connect();
        sendRequest(leaving, "GET /read", "left", "", "");
        HttpMessage call = endpoint.awaitCall();
        relay.signal("STOP");
        call.socket().close();
        leaving.close();
        relay.signal("CONT");
        Thread.sleep(200);
        assertNothingWasSentBefore("next");
    }

    /** A client uses a fresh id for each request, but one that does not must not run a request twice. */
    @Test
    void rejectsNonRetriableRequestThatMayHaveRunForClientThatLeft() throws Exception {
        startRelay();
        Socket leaving = relay.connect();
        sendRequest(leaving, "POST /claim", "again", "", "x");
        HttpMessage call = endpoint.awaitCall();
        leaving.close();
        Thread.sleep(100);
        RawHttp.write(call.socket(), "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        Thread.sleep(100);
        try (Socket client = relay.connect()) {
            sendRequest(client, "POST /claim", "again", "", "x");
            assertThat(readMessage(client).head()).startsWith("HTTP/1.1 400");
        }
        assertNothingWasSentBefore("next");
    }
}
