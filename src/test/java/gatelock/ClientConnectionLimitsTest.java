package gatelock;

import static gatelock.standin.RawHttp.isClosedByPeer;
import static gatelock.standin.RawHttp.readMessage;
import static gatelock.standin.RawHttp.sendRequest;
import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.HttpMessage;
import gatelock.standin.RawHttp;
import gatelock.standin.RelayTestCase;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The limit on client connections, and which connections the relay closes to accept new ones. */
final class ClientConnectionLimitsTest extends RelayTestCase {
    @Test
    void closesSilentClientsToAcceptNewOnes() throws Exception {
        relay.replaceInConfig("\"sockets\": 1024", "\"sockets\": 128");
        startRelay();
        List<Socket> silentClients = new ArrayList<>();
        for (int i = 0; i < 120; i++) {
            silentClients.add(relay.connect());
        }
        try (Socket client = relay.connect();
                Socket slow = relay.connect()) {
            sendRequest(client, "GET /read", "served", "", "");
            endpoint.awaitCall().respond("200 OK", "", "fine");
            assertThat(readMessage(client).body()).isEqualTo("fine");
            RawHttp.write(slow, "POST /claim HTTP/1.1\r\nHost: x\r\nX-Trace-Id: d\r\nContent-Length: 9\r\n\r\nhalf");
            assertThat(isClosedByPeer(slow)).isTrue();
            assertThat(isClosedByPeer(client)).isTrue();
        }
        for (Socket silentClient : silentClients) {
            assertThat(isClosedByPeer(silentClient)).isTrue();
            silentClient.close();
        }
    }

    @Test
    void servesNewClientsWhenIdleClientsUseAllConnections() throws Exception {
        relay.replaceInConfig("\"sockets\": 1024", "\"sockets\": 128");
        startRelay();
        List<Socket> idleClients = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Socket client = relay.connect();
            idleClients.add(client);
            sendRequest(client, "GET /read", "stays" + i, "", "");
            endpoint.awaitCall().respond("200 OK", "", "fine");
            assertThat(readMessage(client).body()).isEqualTo("fine");
        }
        try (Socket first = relay.connect();
                Socket second = relay.connect()) {
            for (Socket client : List.of(second, first)) {
                sendRequest(client, "GET /read", "new", "", "");
                endpoint.awaitCall().respond("200 OK", "", "mine");
                assertThat(readMessage(client).body()).isEqualTo("mine");
            }
        }
        for (Socket idleClient : idleClients) {
            idleClient.close();
        }
    }

    /** Guards against clients that stop in the middle of a request and take the places of others until their timeout. */
    @Test
    void servesNewClientsWhenHalfRequestsUseAllConnections() throws Exception {
        relay.replaceInConfig("\"sockets\": 1024", "\"sockets\": 128");
        startRelay();
        List<Socket> stoppedClients = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            Socket stopped = relay.connect();
            stoppedClients.add(stopped);
            RawHttp.write(
                    stopped,
                    i % 2 == 0
                            ? "POST /claim HTTP/1.1\r\nHost: x\r\nX-Trace-Id: h" + i
                                    + "\r\nContent-Length: 9\r\n\r\nhalf"
                            : "POST /claim HTTP/1.1\r\nHost: x\r\nX-Trace-");
        }
        long startNs = System.nanoTime();
        for (int i = 0; i < 5; i++) {
            assertServedBy(endpoint, "new" + i);
        }
        // Stopped clients are closed after 2.5 s anyway.
        assertThat(System.nanoTime() - startNs).isLessThan(1_500_000_000L);
        for (Socket stopped : stoppedClients) {
            assertThat(isClosedByPeer(stopped)).isTrue();
            stopped.close();
        }
    }

    @Test
    void servesOtherClientsAfterOneDisconnects() throws Exception {
        startRelay();
        Socket leaving = relay.connect();
        sendRequest(leaving, "POST /claim", "left", "", "x");
        HttpMessage call = endpoint.awaitCall();
        leaving.close();
        call.respond("200 OK", "", "late");
        try (Socket client = relay.connect()) {
            sendRequest(client, "GET /read", "stays", "", "");
            endpoint.awaitCall().respond("200 OK", "", "mine");
            assertThat(readMessage(client).body()).isEqualTo("mine");
        }
    }
}
