package gatelock;

import static gatelock.standin.RawHttp.readMessage;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import gatelock.standin.FakeServer;
import gatelock.standin.RawHttp;
import gatelock.standin.WebSocketPeer;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Attempts to open a session follow the rules of ordinary attempts. Guards against an opening that stays out after it
 * has timed out, and against one that is sent for a client that has left.
 */
final class WebSocketOpeningTest extends WebSocketTestCase {
    private FakeServer slowEndpoint;

    @Override
    protected String listedEndpoint() throws IOException {
        slowEndpoint = FakeServer.withFullBacklog();
        relay.replaceInConfig("\"dialTimeoutNs\": 250000000", "\"dialTimeoutNs\": 20000000000");
        return slowEndpoint.address();
    }

    @AfterEach
    void closeSlowEndpoint() throws IOException {
        slowEndpoint.close();
    }

    @Test
    void closesConnectionOfOpeningThatTimesOut() throws Exception {
        slowEndpoint.accept();
        assertThatThrownBy(() -> WebSocketPeer.open(relay.port(), "/read", "silent", "X-Expires-In-Ms: 600\r\n"))
                .isInstanceOf(WebSocketPeer.HandshakeRejected.class);
        Socket connection = slowEndpoint.awaitCall().socket();
        Socket closed = slowEndpoint.closedConnections().poll(5, TimeUnit.SECONDS);
        while (closed != null && closed != connection) {
            // The connections that filled the backlog are closed, too.
            closed = slowEndpoint.closedConnections().poll(5, TimeUnit.SECONDS);
        }
        assertThat(closed).isSameAs(connection);
    }

    @Test
    void sendsNoOpeningForClientThatLeftWhileItConnected() throws Exception {
        try (Socket client = relay.connect()) {
            sendOpening(client, "left", "");
            Thread.sleep(200);
        }
        slowEndpoint.accept();
        // Longer than TCP takes to retransmit a SYN.
        assertThat(slowEndpoint.calls().poll(4, TimeUnit.SECONDS)).isNull();
    }

    @Test
    void failsOpeningThatEndpointAnswersWithoutUpgrade() throws Exception {
        slowEndpoint.accept();
        try (Socket client = relay.connect()) {
            sendOpening(client, "plain", "X-Expires-In-Ms: 600\r\n");
            slowEndpoint.awaitCall().respond("200 OK", "", "no session");
            assertThat(readMessage(client).head()).startsWith("HTTP/1.1 50");
        }
    }

    private static void sendOpening(Socket client, String traceId, String headers) throws IOException {
        RawHttp.write(client, """
                GET /read HTTP/1.1\r
                Host: x\r
                Upgrade: websocket\r
                Connection: Upgrade\r
                Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r
                Sec-WebSocket-Version: 13\r
                X-Trace-Id: \
                """ + traceId + "\r\n" + headers + "\r\n");
    }
}
