package gatelock;

import static gatelock.standin.RawHttp.readMessage;
import static gatelock.standin.RawHttp.sendRequest;
import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.BackgroundTask;
import gatelock.standin.HttpMessage;
import gatelock.standin.RelayTestCase;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** On SIGTERM the relay answers the requests that it has accepted before the process exits. */
final class ShutdownTest extends RelayTestCase {
    @Test
    void answersAcceptedRequestsAndExitsOnSigterm() throws Exception {
        startRelay();
        try (Socket client = relay.connect()) {
            sendRequest(client, "POST /claim", "last", "", "x");
            HttpMessage call = endpoint.awaitCall();
            relay.process().destroy();
            call.respond("200 OK", "", "answered");
            assertThat(readMessage(client).body()).isEqualTo("answered");
            // The persistent connection is served during the drain and is then closed, with a response or between two
            // requests.
            BackgroundTask.start(() -> {
                while (true) {
                    endpoint.awaitCall().respond("200 OK", "", "more");
                }
            });
            int served = 0;
            for (HttpMessage response = sendNextRequest(client, served);
                    response != null;
                    response = sendNextRequest(client, served)) {
                assertThat(response.body()).isEqualTo("more");
                served++;
                Thread.sleep(50);
            }
            assertThat(served).isGreaterThan(10);
        }
        assertThat(relay.process().waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(relay.log()).contains("shutdown complete:").doesNotContain("unexpected");
    }

    /** Sends a request on the connection; returns the response, or null if the relay has closed the connection. */
    private static HttpMessage sendNextRequest(Socket client, int index) {
        try {
            sendRequest(client, "GET /read", "more" + index, "", "");
            return readMessage(client);
        } catch (IOException e) {
            return null;
        }
    }
}
