package gatelock;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.RawHttp;
import gatelock.standin.WebSocketPeer;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** As many sessions as a relay admits: they take no places from other clients. */
final class WebSocketCapacityTest extends WebSocketTestCase {
    private static final int MAX_DESCRIPTORS = 256;
    /** A fifth of the descriptors, the upper bound of what the operator can set. */
    private static final int MAX_SESSIONS = 51;
    /** A third of the descriptors, which clients may hold for requests. */
    private static final int CLIENTS = 85;

    private static final int PATIENCE_MS = 1_550;

    @Override
    protected int maxDescriptors() {
        return MAX_DESCRIPTORS;
    }

    @Override
    protected String sessionLimit() {
        return ", \"most\": " + MAX_SESSIONS;
    }

    /** Guards against sessions that count as client connections, so that no more are accepted (review/9). */
    @Test
    void servesThirdOfDescriptorsBesideAllSessions() throws Exception {
        List<WebSocketPeer> sessions = openSessions("s", MAX_SESSIONS);
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Socket client = relay.connect();
            client.setSoTimeout(PATIENCE_MS);
            clients.add(client);
            assertAnswered(client, "client" + i);
        }
        // The places of sessions that have ended are free for clients and for other sessions again.
        for (WebSocketPeer session : sessions) {
            session.close();
        }
        for (Socket client : clients) {
            client.close();
        }
        awaitSession("after").close();
        for (int i = 0; i < CLIENTS; i++) {
            try (Socket client = relay.connect()) {
                client.setSoTimeout(PATIENCE_MS);
                assertAnswered(client, "later" + i);
            }
        }
    }

    private List<WebSocketPeer> openSessions(String prefix, int count) throws Exception {
        List<WebSocketPeer> sessions = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            sessions.add(awaitSession(prefix + i));
        }
        return sessions;
    }

    /** Opens a session; an opening that is turned away is tried again, up to a hundred times. */
    private WebSocketPeer awaitSession(String id) throws Exception {
        for (int attempt = 0; attempt < 100; attempt++) {
            try {
                return WebSocketPeer.open(relay.port(), "/read/quick", id + "-" + attempt, "");
            } catch (WebSocketPeer.HandshakeRejected e) {
                Thread.sleep(50);
            }
        }
        throw new AssertionError("expected a session to be opened");
    }

    private static void assertAnswered(Socket client, String id) throws IOException {
        RawHttp.sendRequest(client, "GET /read/x", id, "", "");
        assertThat(RawHttp.readMessage(client).head()).as(id).startsWith("HTTP/1.1 ");
    }
}
