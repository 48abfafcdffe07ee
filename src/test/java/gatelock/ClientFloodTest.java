package gatelock;

import static gatelock.standin.RawHttp.readMessage;
import static gatelock.standin.RawHttp.sendRequest;
import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.HttpMessage;
import gatelock.standin.RawHttp;
import gatelock.standin.RelayTestCase;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a client that takes the processing time of others with requests that no endpoint gets. */
final class ClientFloodTest extends RelayTestCase {
    private static final long FLOOD_NS = 2_000_000_000;
    /** One answer in 10 ms for 2 s, and half as many again for answers that come together. */
    private static final int MAX_ANSWERS = 300;

    @ParameterizedTest
    @ValueSource(strings = {"GET /nothing", "POST /read", "GET /-/ready", "GET /-/nothing"})
    void answersFewRequestsOfAFloodOnOneConnection(String requestLine) throws Exception {
        startRelay();
        int answers = 0;
        try (Socket client = relay.connect()) {
            long endNs = System.nanoTime() + FLOOD_NS;
            while (System.nanoTime() < endNs) {
                sendRequest(client, requestLine, "flood" + answers, "", "");
                assertThat(readMessage(client)).isNotNull();
                answers++;
            }
        }
        assertThat(answers).isBetween(1, MAX_ANSWERS);
        assertServedBy(endpoint, "next");
    }

    /** What a client sends behind the start of an invalid request must not be read, and is no unexpected failure. */
    @Test
    void doesNotReadOnAfterInvalidRequest() throws Exception {
        startRelay();
        String head = " HTTP/1.1\r\nHost: x\r\nX-Trace-Id: bad\r\n";
        for (String invalid : new String[] {
            "POST /claim" + head + "Transfer-Encoding: chunked\r\n\r\nno size\r\nx\r\n",
            "POST /-/ready" + head + "Content-Length: 60000000\r\n\r\n" + "x".repeat(100_000),
            "POST /claim" + head + "f:v\r\n".repeat(5_000),
            "\r\n".repeat(20_000)
        }) {
            try (Socket client = relay.connect()) {
                client.setSoTimeout(3_000);
                try {
                    RawHttp.write(client, invalid);
                    HttpMessage response = readMessage(client);
                    while (response != null) {
                        response = readMessage(client);
                    }
                } catch (IOException e) {
                    // A reset also ends the connection, but a timeout does not.
                    assertThat(e).isNotInstanceOf(SocketTimeoutException.class);
                }
            }
        }
        assertServedBy(endpoint, "next");
        assertThat(relay.log()).doesNotContain("nexpected");
    }
}
