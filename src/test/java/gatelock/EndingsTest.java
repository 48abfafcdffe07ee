package gatelock;

import static gatelock.standin.EndpointListJson.listOnly;
import static gatelock.standin.RawHttp.readMessage;
import static gatelock.standin.RawHttp.sendRequest;
import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.FakeServer;
import gatelock.standin.HttpMessage;
import gatelock.standin.RawHttp;
import gatelock.standin.RelayTestCase;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Races at the end of a request, a connection or the process, as listed in docs/design/endings.md. Each test forces its
 * race with a stand-in that delays a connection or a response.
 */
final class EndingsTest extends RelayTestCase {
    /**
     * Waits until the relay has handled everything that arrived before the call: its event loop answers health checks
     * on two new connections.
     */
    private void awaitEventLoopTurn() throws Exception {
        for (int i = 0; i < 2; i++) {
            try (Socket client = relay.connect()) {
                RawHttp.write(client, "GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n");
                assertThat(readMessage(client).head()).startsWith("HTTP/1.1 200");
            }
        }
    }

    /** Sends a request and checks that the server gets it and that the client gets the response. */
    private static void assertServed(Socket client, String requestLine, String traceId, FakeServer server)
            throws Exception {
        sendRequest(
                client, requestLine, traceId, "X-Expires-In-Ms: 10000\r\n", requestLine.startsWith("GET") ? "" : "x");
        HttpMessage call = server.awaitCall();
        assertThat(call.header("X-Trace-Id")).isEqualTo(traceId);
        call.respond("200 OK", "", "for " + traceId);
        assertThat(readMessage(client).body()).isEqualTo("for " + traceId);
    }

    // ---- Clients ----

    @Test
    void doesNotSendRequestWhenClientDisconnectsDuringConnect() throws Exception {
        relay.replaceInConfig("\"dialTimeoutNs\": 250000000", "\"dialTimeoutNs\": 20000000000");
        try (FakeServer slowEndpoint = FakeServer.thatAcceptsLater()) {
            relay.launchCold();
            listOnly(discovery.awaitCall(), 1, slowEndpoint);
            discovery.awaitCall();
            Socket leaving = relay.connect();
            sendRequest(leaving, "POST /claim", "left", "X-Expires-In-Ms: 20000\r\n", "x");
            awaitEventLoopTurn();
            leaving.close();
            awaitEventLoopTurn();
            slowEndpoint.accept();
            // TCP may have to retransmit a SYN first, which takes less than 4 s.
            assertThat(slowEndpoint.calls().poll(4, TimeUnit.SECONDS)).isNull();
        }
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    @Test
    void discardsResponseWhenClientDisconnectsDuringAttemptOrResponse() throws Exception {
        startRelay();
        for (boolean responseStarted : new boolean[] {false, true}) {
            Socket leaving = relay.connect();
            sendRequest(leaving, "POST /claim", "left" + responseStarted, "", "x");
            HttpMessage call = endpoint.awaitCall();
            if (responseStarted) {
                RawHttp.write(call.socket(), "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nha");
            }
            leaving.close();
            awaitEventLoopTurn();
            RawHttp.write(call.socket(), responseStarted ? "lf" : "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
            try (Socket client = relay.connect()) {
                assertServed(client, "POST /claim", "next" + responseStarted, endpoint);
            }
        }
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    @Test
    void answersAcceptedRequestDuringConnectionFlood() throws Exception {
        relay.replaceInConfig("\"sockets\": 1024", "\"sockets\": 128");
        startRelay();
        List<Socket> flood = new ArrayList<>();
        try (Socket accepted = relay.connect()) {
            sendRequest(accepted, "POST /claim", "taken", "X-Expires-In-Ms: 10000\r\n", "x");
            HttpMessage call = endpoint.awaitCall();
            for (int i = 0; i < 300; i++) {
                Socket socket = new Socket();
                flood.add(socket);
                try {
                    socket.connect(accepted.getRemoteSocketAddress(), 200);
                } catch (IOException e) {
                    break;
                }
            }
            call.respond("200 OK", "", "answered");
            assertThat(readMessage(accepted).body()).isEqualTo("answered");
        } finally {
            for (Socket socket : flood) {
                socket.close();
            }
        }
        try (Socket client = relay.connect()) {
            assertServed(client, "POST /claim", "after", endpoint);
        }
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    // ---- Endpoints ----

    @Test
    void doesNotSendRequestOnIdleConnectionClosedByEndpoint() throws Exception {
        startRelay();
        try (Socket client = relay.connect()) {
            for (int i = 0; i < 5; i++) {
                assertServed(client, "POST /claim", "once" + i, endpoint);
                for (Socket connection : endpoint.connections()) {
                    connection.close();
                }
            }
        }
    }

    @Test
    void discardsSecondResponseOnIdleConnection() throws Exception {
        startRelay();
        try (Socket client = relay.connect()) {
            for (int i = 0; i < 5; i++) {
                sendRequest(client, "POST /claim", "first" + i, "X-Expires-In-Ms: 10000\r\n", "x");
                HttpMessage call = endpoint.awaitCall();
                call.respond("200 OK", "", "first");
                assertThat(readMessage(client).body()).isEqualTo("first");
                call.respond("200 OK", "", "again");
                assertThat(endpoint.closedConnections().poll(20, TimeUnit.SECONDS))
                        .isSameAs(call.socket());
                assertServed(client, "POST /claim", "second" + i, endpoint);
            }
        }
    }

    @Test
    void failsNonRetriableRequestOnceWhenResponseIsTruncatedOrLate() throws Exception {
        startRelay();
        String responseHead = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
        for (String truncated : new String[] {"", "HTTP/1.1 2", responseHead, responseHead + "ha"}) {
            try (Socket client = relay.connect()) {
                sendRequest(client, "POST /claim", "cut", "", "x");
                HttpMessage call = endpoint.awaitCall();
                RawHttp.write(call.socket(), truncated);
                call.socket().close();
                assertThat(readMessage(client).head()).as(truncated).startsWith("HTTP/1.1 502");
                for (int i = 0; i < 3; i++) {
                    // Valid responses keep the endpoint from being ejected as an outlier.
                    assertServed(client, "POST /claim", "good" + i, endpoint);
                }
                sendRequest(client, "POST /claim", "late", "X-Expires-In-Ms: 300\r\n", "x");
                call = endpoint.awaitCall();
                RawHttp.write(call.socket(), truncated);
                assertThat(readMessage(client).head()).as(truncated).startsWith("HTTP/1.1 504");
                assertThat(endpoint.closedConnections().poll(20, TimeUnit.SECONDS))
                        .isNotNull();
                endpoint.closedConnections().clear();
                for (int i = 0; i < 3; i++) {
                    assertServed(client, "POST /claim", "after" + i, endpoint);
                }
            }
            endpoint.closedConnections().clear();
        }
        assertThat(endpoint.calls()).isEmpty();
    }

    // ---- Shutdown ----

    @Test
    void completesPartialRequestAndPartialResponseOnSigterm() throws Exception {
        startRelay();
        try (Socket reading = relay.connect();
                Socket answering = relay.connect()) {
            RawHttp.write(
                    reading, "POST /claim HTTP/1.1\r\nHost: x\r\nX-Trace-Id: reading\r\nContent-Length: 4\r\n\r\nha");
            sendRequest(answering, "POST /claim", "answering", "", "x");
            HttpMessage partialCall = endpoint.awaitCall();
            RawHttp.write(partialCall.socket(), "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nha");
            relay.process().destroy();
            relay.signal("TERM");
            relay.signal("HUP");
            relay.awaitLog("SIGHUP, discovery at");
            RawHttp.write(reading, "lf");
            RawHttp.write(partialCall.socket(), "lf");
            assertThat(readMessage(answering).body()).isEqualTo("half");
            HttpMessage call = endpoint.awaitCall();
            assertThat(call.body()).isEqualTo("half");
            call.respond("200 OK", "", "whole");
            assertThat(readMessage(reading).body()).isEqualTo("whole");
            // The relay still accepts new connections at the start of the drain.
            try (Socket newClient = relay.connect()) {
                assertServed(newClient, "POST /claim", "new", endpoint);
            }
        }
        assertThat(relay.process().waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(relay.log()).contains("shutdown complete:").doesNotContain("unexpected");
    }

    @Test
    void answersRequestsWaitingForListAndConnectionOnSigterm() throws Exception {
        relay.replaceInConfig("\"dialTimeoutNs\": 250000000", "\"dialTimeoutNs\": 20000000000");
        try (FakeServer slowEndpoint = FakeServer.thatAcceptsLater();
                Socket heldClient = launchColdAndConnect();
                Socket dialingClient = relay.connect()) {
            HttpMessage listCall = discovery.awaitCall();
            for (Socket client : List.of(heldClient, dialingClient)) {
                sendRequest(
                        client,
                        "POST /claim",
                        client == heldClient ? "held" : "dials",
                        "X-Expires-In-Ms: 20000\r\n",
                        "x");
            }
            awaitEventLoopTurn();
            relay.process().destroy();
            listOnly(listCall, 1, slowEndpoint);
            discovery.awaitCall();
            slowEndpoint.accept();
            for (int i = 0; i < 2; i++) {
                slowEndpoint.awaitCall().respond("200 OK", "", "served");
            }
            assertThat(readMessage(heldClient).body()).isEqualTo("served");
            assertThat(readMessage(dialingClient).body()).isEqualTo("served");
        }
        assertThat(relay.process().waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(relay.log()).contains("shutdown complete:").doesNotContain("unexpected");
    }

    /** Starts the relay without its warm-up and connects before it has an endpoint list. */
    private Socket launchColdAndConnect() throws Exception {
        relay.launchCold();
        return relay.connectWhenListening();
    }

    // ---- Discovery ----

    @Test
    void reopensWatchAtSameIndexWhenItTimesOut() throws Exception {
        relay.launchCold();
        listOnly(discovery.awaitCall(), 7, endpoint);
        for (String partialResponse :
                new String[] {"", "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"index\":9,"}) {
            HttpMessage watch = discovery.awaitCall();
            assertThat(watch.head()).startsWith("GET /api/targets?from=7&");
            RawHttp.write(watch.socket(), partialResponse);
            assertThat(discovery.closedConnections().poll(20, TimeUnit.SECONDS)).isSameAs(watch.socket());
        }
        HttpMessage nextWatch = discovery.awaitCall();
        assertThat(nextWatch.head()).startsWith("GET /api/targets?from=7&");
        // A lower index shows that discovery has restarted, so its new list replaces the old one.
        listOnly(nextWatch, 2, otherEndpoint);
        assertThat(discovery.awaitCall().head()).startsWith("GET /api/targets?from=2&");
        try (Socket client = relay.connect()) {
            assertServed(client, "POST /claim", "moved", otherEndpoint);
        }
        assertThat(endpoint.calls()).isEmpty();
    }

    @Test
    void followsMovedDiscoveryWithoutSighupWhenWatchFails() throws Exception {
        relay.launchCold();
        listOnly(discovery.awaitCall(), 7, endpoint);
        assertThat(discovery.awaitCall().head()).startsWith("GET /api/targets?from=7&");
        String originalConfig = relay.configText();
        try (FakeServer newDiscovery = new FakeServer()) {
            relay.writeConfig(originalConfig.substring(0, originalConfig.length() / 2));
            // The watch fails while the configuration file is truncated: the previous configuration stays in force.
            HttpMessage nextWatch = discovery.awaitCall();
            relay.writeConfig(originalConfig.replace(discovery.address(), newDiscovery.address()));
            nextWatch.socket().close();
            listOnly(newDiscovery.awaitCall(), 1, otherEndpoint);
            try (Socket client = relay.connect()) {
                assertServed(client, "POST /claim", "moved", otherEndpoint);
            }
        }
        assertThat(endpoint.calls()).isEmpty();
        assertThat(relay.log()).contains("discovery failed, discovery at").doesNotContain("unexpected");
    }

    @Test
    void closesWatchOnOldDiscoveryWhenReloaded() throws Exception {
        relay.launchCold();
        listOnly(discovery.awaitCall(), 7, endpoint);
        HttpMessage watch = discovery.awaitCall();
        try (FakeServer newDiscovery = new FakeServer()) {
            relay.writeConfig(relay.configText().replace(discovery.address(), newDiscovery.address()));
            relay.signal("HUP");
            HttpMessage listCall = newDiscovery.awaitCall();
            assertThat(discovery.closedConnections().poll(20, TimeUnit.SECONDS)).isSameAs(watch.socket());
            listOnly(listCall, 1, otherEndpoint);
            assertThat(newDiscovery.awaitCall().head()).startsWith("GET /api/targets?from=1&");
            try (Socket client = relay.connect()) {
                assertServed(client, "POST /claim", "moved", otherEndpoint);
            }
        }
        assertThat(endpoint.calls()).isEmpty();
    }
}
