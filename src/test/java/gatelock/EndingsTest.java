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
 * Races at the end of a request, a connection or the process. A stand-in that waits forces each of them. They are the
 * rows of docs/design/endings.md.
 */
final class EndingsTest extends RelayTestCase {
    /** Waits until the relay has handled all that came before: its event loop answers a request on a new connection. */
    private void awaitEventLoopTurn() throws Exception {
        for (int i = 0; i < 2; i++) {
            try (Socket client = relay.connect()) {
                RawHttp.write(client, "GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n");
                assertThat(readMessage(client).head()).startsWith("HTTP/1.1 200");
            }
        }
    }

    private static void assertServed(Socket client, String line, String id, FakeServer by) throws Exception {
        sendRequest(client, line, id, "X-Expires-In-Ms: 10000\r\n", line.startsWith("GET") ? "" : "x");
        HttpMessage at = by.awaitCall();
        assertThat(at.header("X-Trace-Id")).isEqualTo(id);
        at.respond("200 OK", "", "for " + id);
        assertThat(readMessage(client).body()).isEqualTo("for " + id);
    }

    // ---- Clients ----

    @Test
    void aRequestWhoseClientLeftWhileAConnectionCameUpNeverGoesOut() throws Exception {
        relay.replaceInConfig("\"dialTimeoutNs\": 250000000", "\"dialTimeoutNs\": 20000000000");
        try (FakeServer late = FakeServer.thatAcceptsLater()) {
            relay.launchCold();
            listOnly(discovery.awaitCall(), 1, late);
            discovery.awaitCall();
            Socket leaving = relay.connect();
            sendRequest(leaving, "POST /claim", "left", "X-Expires-In-Ms: 20000\r\n", "x");
            awaitEventLoopTurn();
            leaving.close();
            awaitEventLoopTurn();
            late.accept();
            // The wait is longer than TCP takes to retry a SYN.
            assertThat(late.calls().poll(4, TimeUnit.SECONDS)).isNull();
        }
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    @Test
    void aClientThatLeavesDuringItsAttemptOrItsAnswerIsOwedNothingMore() throws Exception {
        startRelay();
        for (boolean half : new boolean[] {false, true}) {
            Socket leaving = relay.connect();
            sendRequest(leaving, "POST /claim", "left" + half, "", "x");
            HttpMessage at = endpoint.awaitCall();
            if (half) {
                RawHttp.write(at.socket(), "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nha");
            }
            leaving.close();
            awaitEventLoopTurn();
            RawHttp.write(at.socket(), half ? "lf" : "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
            try (Socket client = relay.connect()) {
                assertServed(client, "POST /claim", "next" + half, endpoint);
            }
        }
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    @Test
    void aFloodOfConnectionsLeavesThoseThatWereTakenTheirAnswers() throws Exception {
        relay.replaceInConfig("\"sockets\": 1024", "\"sockets\": 128");
        startRelay();
        List<Socket> flood = new ArrayList<>();
        try (Socket taken = relay.connect()) {
            sendRequest(taken, "POST /claim", "taken", "X-Expires-In-Ms: 10000\r\n", "x");
            HttpMessage at = endpoint.awaitCall();
            for (int i = 0; i < 300; i++) {
                Socket one = new Socket();
                flood.add(one);
                try {
                    one.connect(taken.getRemoteSocketAddress(), 200);
                } catch (IOException e) {
                    break;
                }
            }
            at.respond("200 OK", "", "answered");
            assertThat(readMessage(taken).body()).isEqualTo("answered");
        } finally {
            for (Socket one : flood) {
                one.close();
            }
        }
        try (Socket client = relay.connect()) {
            assertServed(client, "POST /claim", "after", endpoint);
        }
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    // ---- Endpoints ----

    @Test
    void anIdleConnectionThatAnEndpointClosedCarriesNoRequest() throws Exception {
        startRelay();
        try (Socket client = relay.connect()) {
            for (int i = 0; i < 5; i++) {
                assertServed(client, "POST /claim", "once" + i, endpoint);
                for (Socket s : endpoint.connections()) {
                    s.close();
                }
            }
        }
    }

    @Test
    void aSecondAnswerOnAnIdleConnectionIsNeverTheNextRequests() throws Exception {
        startRelay();
        try (Socket client = relay.connect()) {
            for (int i = 0; i < 5; i++) {
                sendRequest(client, "POST /claim", "first" + i, "X-Expires-In-Ms: 10000\r\n", "x");
                HttpMessage at = endpoint.awaitCall();
                at.respond("200 OK", "", "first");
                assertThat(readMessage(client).body()).isEqualTo("first");
                at.respond("200 OK", "", "again");
                assertThat(endpoint.closedConnections().poll(20, TimeUnit.SECONDS))
                        .isSameAs(at.socket());
                assertServed(client, "POST /claim", "second" + i, endpoint);
            }
        }
    }

    @Test
    void aNonRetriableRequestWhoseAnswerIsCutOrLateIsErroredOnceAndNeverRepeated() throws Exception {
        startRelay();
        String whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
        for (String cut : new String[] {"", "HTTP/1.1 2", whole, whole + "ha"}) {
            try (Socket client = relay.connect()) {
                sendRequest(client, "POST /claim", "cut", "", "x");
                HttpMessage at = endpoint.awaitCall();
                RawHttp.write(at.socket(), cut);
                at.socket().close();
                assertThat(readMessage(client).head()).as(cut).startsWith("HTTP/1.1 502");
                for (int i = 0; i < 3; i++) {
                    // Good responses keep the endpoint from being ejected as an outlier.
                    assertServed(client, "POST /claim", "good" + i, endpoint);
                }
                sendRequest(client, "POST /claim", "late", "X-Expires-In-Ms: 300\r\n", "x");
                at = endpoint.awaitCall();
                RawHttp.write(at.socket(), cut);
                assertThat(readMessage(client).head()).as(cut).startsWith("HTTP/1.1 504");
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
    void onSigtermWhatIsHalfReadOrHasItsAnswerHalfWrittenIsAnsweredWhole() throws Exception {
        startRelay();
        try (Socket reading = relay.connect();
                Socket answering = relay.connect()) {
            RawHttp.write(
                    reading, "POST /claim HTTP/1.1\r\nHost: x\r\nX-Trace-Id: reading\r\nContent-Length: 4\r\n\r\nha");
            sendRequest(answering, "POST /claim", "answering", "", "x");
            HttpMessage half = endpoint.awaitCall();
            RawHttp.write(half.socket(), "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nha");
            relay.process().destroy();
            relay.signal("TERM");
            relay.signal("HUP");
            relay.awaitLog("SIGHUP, discovery at");
            RawHttp.write(reading, "lf");
            RawHttp.write(half.socket(), "lf");
            assertThat(readMessage(answering).body()).isEqualTo("half");
            HttpMessage at = endpoint.awaitCall();
            assertThat(at.body()).isEqualTo("half");
            at.respond("200 OK", "", "whole");
            assertThat(readMessage(reading).body()).isEqualTo("whole");
            // New connections are accepted for a while.
            try (Socket comes = relay.connect()) {
                assertServed(comes, "POST /claim", "comes", endpoint);
            }
        }
        assertThat(relay.process().waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(relay.log()).contains("ends:").doesNotContain("unexpected");
    }

    @Test
    void onSigtermWhatWaitsForItsConnectionOrItsListIsStillAnswered() throws Exception {
        relay.replaceInConfig("\"dialTimeoutNs\": 250000000", "\"dialTimeoutNs\": 20000000000");
        try (FakeServer late = FakeServer.thatAcceptsLater();
                Socket held = connectUnlisted();
                Socket dials = relay.connect()) {
            HttpMessage asked = discovery.awaitCall();
            for (Socket client : List.of(held, dials)) {
                sendRequest(
                        client, "POST /claim", client == held ? "held" : "dials", "X-Expires-In-Ms: 20000\r\n", "x");
            }
            awaitEventLoopTurn();
            relay.process().destroy();
            listOnly(asked, 1, late);
            discovery.awaitCall();
            late.accept();
            for (int i = 0; i < 2; i++) {
                late.awaitCall().respond("200 OK", "", "served");
            }
            assertThat(readMessage(held).body()).isEqualTo("served");
            assertThat(readMessage(dials).body()).isEqualTo("served");
        }
        assertThat(relay.process().waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(relay.log()).contains("ends:").doesNotContain("unexpected");
    }

    private Socket connectUnlisted() throws Exception {
        relay.launchCold();
        return relay.connectWhenListening();
    }

    // ---- Discovery ----

    @Test
    void aWatchThatFallsSilentOrStopsHalfwayIsOpenedAnewFromWhereItStood() throws Exception {
        relay.launchCold();
        listOnly(discovery.awaitCall(), 7, endpoint);
        for (String half : new String[] {"", "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"index\":9,"}) {
            HttpMessage watch = discovery.awaitCall();
            assertThat(watch.head()).startsWith("GET /api/targets?from=7&");
            RawHttp.write(watch.socket(), half);
            assertThat(discovery.closedConnections().poll(20, TimeUnit.SECONDS)).isSameAs(watch.socket());
        }
        HttpMessage again = discovery.awaitCall();
        assertThat(again.head()).startsWith("GET /api/targets?from=7&");
        // An index that goes back shows that discovery restarted: its new list is in force.
        listOnly(again, 2, otherEndpoint);
        assertThat(discovery.awaitCall().head()).startsWith("GET /api/targets?from=2&");
        try (Socket client = relay.connect()) {
            assertServed(client, "POST /claim", "moved", otherEndpoint);
        }
        assertThat(endpoint.calls()).isEmpty();
    }

    @Test
    void aMoveOfDiscoveryIsFoundWithoutSighupOnceTheOldOneIsSilent() throws Exception {
        relay.launchCold();
        listOnly(discovery.awaitCall(), 7, endpoint);
        assertThat(discovery.awaitCall().head()).startsWith("GET /api/targets?from=7&");
        String first = relay.configText();
        try (FakeServer moved = new FakeServer()) {
            relay.writeConfig(first.substring(0, first.length() / 2));
            // The watch fails while the file cannot be read: the previous configuration stays in force.
            HttpMessage again = discovery.awaitCall();
            relay.writeConfig(first.replace(discovery.address(), moved.address()));
            again.socket().close();
            listOnly(moved.awaitCall(), 1, otherEndpoint);
            try (Socket client = relay.connect()) {
                assertServed(client, "POST /claim", "moved", otherEndpoint);
            }
        }
        assertThat(endpoint.calls()).isEmpty();
        assertThat(relay.log()).contains("discovery failed, discovery at").doesNotContain("unexpected");
    }

    @Test
    void afterAMoveTheOldDiscoveryIsNotHeardAnyMore() throws Exception {
        relay.launchCold();
        listOnly(discovery.awaitCall(), 7, endpoint);
        HttpMessage watch = discovery.awaitCall();
        try (FakeServer moved = new FakeServer()) {
            relay.writeConfig(relay.configText().replace(discovery.address(), moved.address()));
            relay.signal("HUP");
            HttpMessage asked = moved.awaitCall();
            assertThat(discovery.closedConnections().poll(20, TimeUnit.SECONDS)).isSameAs(watch.socket());
            listOnly(asked, 1, otherEndpoint);
            assertThat(moved.awaitCall().head()).startsWith("GET /api/targets?from=1&");
            try (Socket client = relay.connect()) {
                assertServed(client, "POST /claim", "moved", otherEndpoint);
            }
        }
        assertThat(endpoint.calls()).isEmpty();
    }
}
