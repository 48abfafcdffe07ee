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

/** SIGTERM: requests that were taken are answered before the process ends. */
final class ShutdownTest extends RelayTestCase {
    @Test
    void onSigtermWhatWasTakenIsAnsweredAndTheProgramEnds() throws Exception {
        startRelay();
        try (Socket client = relay.connect()) {
            sendRequest(client, "POST /claim", "last", "", "x");
            HttpMessage at = endpoint.awaitCall();
            relay.process().destroy();
            at.respond("200 OK", "", "answered");
            assertThat(readMessage(client).body()).isEqualTo("answered");
            // The kept connection is served for a while and is then closed, with a response or between two requests.
            BackgroundTask.start(() -> {
                while (true) {
                    endpoint.awaitCall().respond("200 OK", "", "more");
                }
            });
            int served = 0;
            for (HttpMessage answer = requestMore(client, served);
                    answer != null;
                    answer = requestMore(client, served)) {
                assertThat(answer.body()).isEqualTo("more");
                served++;
                Thread.sleep(50);
            }
            assertThat(served).isGreaterThan(10);
        }
        assertThat(relay.process().waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(relay.log()).contains("ends:").doesNotContain("unexpected");
    }

    /** Sends one more request; returns the response, or null if the connection was closed. */
    private static HttpMessage requestMore(Socket client, int n) {
        try {
            sendRequest(client, "GET /read", "more" + n, "", "");
            return readMessage(client);
        } catch (IOException e) {
            return null;
        }
    }
}
