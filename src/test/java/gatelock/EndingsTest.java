package gatelock;

import static gatelock.StandIns.ask;
import static gatelock.StandIns.read;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The program at the instants at which something ends; the crossing is forced by a side that holds back. The rows of
 * docs/design/endings.md.
 */
final class EndingsTest {
    private StandIns all;

    @BeforeEach
    void stand() throws Exception {
        all = new StandIns();
    }

    @AfterEach
    void leave() throws Exception {
        all.close();
    }

    /** Everything that came before this has been dealt with once the relay answers it, on a connection of its own. */
    private void relayHasTurned() throws Exception {
        for (int i = 0; i < 2; i++) {
            try (Socket client = all.connect()) {
                StandIns.write(client, "GET /-/healthy HTTP/1.1\r\nHost: x\r\n\r\n");
                assertThat(read(client).head()).startsWith("HTTP/1.1 200");
            }
        }
    }

    private void served(Socket client, String line, String id, StandIns.Party by) throws Exception {
        ask(client, line, id, "X-Expires-In-Ms: 10000\r\n", line.startsWith("GET") ? "" : "x");
        StandIns.Came at = by.next();
        assertThat(at.header("X-Trace-Id")).isEqualTo(id);
        at.answer("200 OK", "", "for " + id);
        assertThat(read(client).body()).isEqualTo("for " + id);
    }

    // ---- Clients ----

    @Test
    void aRequestWhoseClientLeftWhileAConnectionCameUpNeverGoesOut() throws Exception {
        Files.writeString(
                all.config,
                Files.readString(all.config).replace("\"dialTimeoutNs\": 250000000", "\"dialTimeoutNs\": 20000000000"));
        try (StandIns.Party late = StandIns.Party.thatAcceptsLater()) {
            all.startUnlisted();
            StandIns.tell(all.discovery.next(), 1, late);
            all.discovery.next();
            Socket leaving = all.connect();
            ask(leaving, "POST /claim", "left", "X-Expires-In-Ms: 20000\r\n", "x");
            relayHasTurned();
            leaving.close();
            relayHasTurned();
            late.accept();
            // Longer than the system takes to try a connection again.
            assertThat(late.calls.poll(4, TimeUnit.SECONDS)).isNull();
        }
        assertThat(all.log()).doesNotContain("unexpected");
    }

    @Test
    void aClientThatLeavesDuringItsAttemptOrItsAnswerIsOwedNothingMore() throws Exception {
        all.start();
        for (boolean half : new boolean[] {false, true}) {
            Socket leaving = all.connect();
            ask(leaving, "POST /claim", "left" + half, "", "x");
            StandIns.Came at = all.endpoint.next();
            if (half) {
                StandIns.write(at.socket(), "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nha");
            }
            leaving.close();
            relayHasTurned();
            StandIns.write(at.socket(), half ? "lf" : "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
            try (Socket client = all.connect()) {
                served(client, "POST /claim", "next" + half, all.endpoint);
            }
        }
        assertThat(all.log()).doesNotContain("unexpected");
    }

    @Test
    void aFloodOfConnectionsLeavesThoseThatWereTakenTheirAnswers() throws Exception {
        Files.writeString(all.config, Files.readString(all.config).replace("\"sockets\": 1024", "\"sockets\": 128"));
        all.start();
        List<Socket> flood = new ArrayList<>();
        try (Socket taken = all.connect()) {
            ask(taken, "POST /claim", "taken", "X-Expires-In-Ms: 10000\r\n", "x");
            StandIns.Came at = all.endpoint.next();
            for (int i = 0; i < 300; i++) {
                Socket one = new Socket();
                flood.add(one);
                try {
                    one.connect(taken.getRemoteSocketAddress(), 200);
                } catch (IOException e) {
                    break;
                }
            }
            at.answer("200 OK", "", "answered");
            assertThat(read(taken).body()).isEqualTo("answered");
        } finally {
            for (Socket one : flood) {
                one.close();
            }
        }
        try (Socket client = all.connect()) {
            served(client, "POST /claim", "after", all.endpoint);
        }
        assertThat(all.log()).doesNotContain("unexpected");
    }

    // ---- Endpoints ----

    @Test
    void anIdleConnectionThatAnEndpointClosedCarriesNoRequest() throws Exception {
        all.start();
        try (Socket client = all.connect()) {
            for (int i = 0; i < 5; i++) {
                served(client, "POST /claim", "once" + i, all.endpoint);
                for (Socket s : all.endpoint.connections) {
                    s.close();
                }
            }
        }
    }

    @Test
    void aSecondAnswerOnAnIdleConnectionIsNeverTheNextRequests() throws Exception {
        all.start();
        try (Socket client = all.connect()) {
            for (int i = 0; i < 5; i++) {
                ask(client, "POST /claim", "first" + i, "X-Expires-In-Ms: 10000\r\n", "x");
                StandIns.Came at = all.endpoint.next();
                at.answer("200 OK", "", "first");
                assertThat(read(client).body()).isEqualTo("first");
                at.answer("200 OK", "", "again");
                assertThat(all.endpoint.ended.poll(20, TimeUnit.SECONDS)).isSameAs(at.socket());
                served(client, "POST /claim", "second" + i, all.endpoint);
            }
        }
    }

    @Test
    void aNonRetriableRequestWhoseAnswerIsCutOrLateIsErroredOnceAndNeverRepeated() throws Exception {
        all.start();
        String whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
        for (String cut : new String[] {"", "HTTP/1.1 2", whole, whole + "ha"}) {
            try (Socket client = all.connect()) {
                ask(client, "POST /claim", "cut", "", "x");
                StandIns.Came at = all.endpoint.next();
                StandIns.write(at.socket(), cut);
                at.socket().close();
                assertThat(read(client).head()).as(cut).startsWith("HTTP/1.1 502");
                for (int i = 0; i < 3; i++) {
                    // Else the decisions would leave the endpoint out.
                    served(client, "POST /claim", "good" + i, all.endpoint);
                }
                ask(client, "POST /claim", "late", "X-Expires-In-Ms: 300\r\n", "x");
                at = all.endpoint.next();
                StandIns.write(at.socket(), cut);
                assertThat(read(client).head()).as(cut).startsWith("HTTP/1.1 504");
                assertThat(all.endpoint.ended.poll(20, TimeUnit.SECONDS)).isNotNull();
                all.endpoint.ended.clear();
                for (int i = 0; i < 3; i++) {
                    served(client, "POST /claim", "after" + i, all.endpoint);
                }
            }
            all.endpoint.ended.clear();
        }
        assertThat(all.endpoint.calls).isEmpty();
    }

    // ---- Leaving ----

    @Test
    void onSigtermWhatIsHalfReadOrHasItsAnswerHalfWrittenIsAnsweredWhole() throws Exception {
        all.start();
        try (Socket reading = all.connect();
                Socket answering = all.connect()) {
            StandIns.write(
                    reading, "POST /claim HTTP/1.1\r\nHost: x\r\nX-Trace-Id: reading\r\nContent-Length: 4\r\n\r\nha");
            ask(answering, "POST /claim", "answering", "", "x");
            StandIns.Came half = all.endpoint.next();
            StandIns.write(half.socket(), "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nha");
            all.process.destroy();
            all.signal("TERM");
            all.signal("HUP");
            all.awaitLog("SIGHUP, discovery at");
            StandIns.write(reading, "lf");
            StandIns.write(half.socket(), "lf");
            assertThat(read(answering).body()).isEqualTo("half");
            StandIns.Came at = all.endpoint.next();
            assertThat(at.body()).isEqualTo("half");
            at.answer("200 OK", "", "whole");
            assertThat(read(reading).body()).isEqualTo("whole");
            // New connections go on coming for a while.
            try (Socket comes = all.connect()) {
                served(comes, "POST /claim", "comes", all.endpoint);
            }
        }
        assertThat(all.process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(all.log()).contains("ends:").doesNotContain("unexpected");
    }

    @Test
    void onSigtermWhatWaitsForItsConnectionOrItsListIsStillAnswered() throws Exception {
        Files.writeString(
                all.config,
                Files.readString(all.config).replace("\"dialTimeoutNs\": 250000000", "\"dialTimeoutNs\": 20000000000"));
        try (StandIns.Party late = StandIns.Party.thatAcceptsLater();
                Socket held = connectUnlisted();
                Socket dials = all.connect()) {
            StandIns.Came asked = all.discovery.next();
            for (Socket client : List.of(held, dials)) {
                ask(client, "POST /claim", client == held ? "held" : "dials", "X-Expires-In-Ms: 20000\r\n", "x");
            }
            relayHasTurned();
            all.process.destroy();
            StandIns.tell(asked, 1, late);
            all.discovery.next();
            late.accept();
            for (int i = 0; i < 2; i++) {
                late.next().answer("200 OK", "", "served");
            }
            assertThat(read(held).body()).isEqualTo("served");
            assertThat(read(dials).body()).isEqualTo("served");
        }
        assertThat(all.process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(all.log()).contains("ends:").doesNotContain("unexpected");
    }

    private Socket connectUnlisted() throws Exception {
        all.startUnlisted();
        return all.connectSoon();
    }

    // ---- The list ----

    @Test
    void aWatchThatFallsSilentOrStopsHalfwayIsOpenedAnewFromWhereItStood() throws Exception {
        all.startUnlisted();
        StandIns.tell(all.discovery.next(), 7, all.endpoint);
        for (String half : new String[] {"", "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"index\":9,"}) {
            StandIns.Came watch = all.discovery.next();
            assertThat(watch.head()).startsWith("GET /api/targets?from=7&");
            StandIns.write(watch.socket(), half);
            assertThat(all.discovery.ended.poll(20, TimeUnit.SECONDS)).isSameAs(watch.socket());
        }
        StandIns.Came again = all.discovery.next();
        assertThat(again.head()).startsWith("GET /api/targets?from=7&");
        // An index that goes back is another life of discovery: what it says now holds.
        StandIns.tell(again, 2, all.other);
        assertThat(all.discovery.next().head()).startsWith("GET /api/targets?from=2&");
        try (Socket client = all.connect()) {
            served(client, "POST /claim", "moved", all.other);
        }
        assertThat(all.endpoint.calls).isEmpty();
    }

    @Test
    void aMoveOfDiscoveryIsFoundWithoutSighupOnceTheOldOneIsSilent() throws Exception {
        all.startUnlisted();
        StandIns.tell(all.discovery.next(), 7, all.endpoint);
        assertThat(all.discovery.next().head()).startsWith("GET /api/targets?from=7&");
        String first = Files.readString(all.config);
        try (StandIns.Party moved = new StandIns.Party()) {
            Files.writeString(all.config, first.substring(0, first.length() / 2));
            // The watch fails, and the file can't be read: what was in force stays.
            StandIns.Came again = all.discovery.next();
            Files.writeString(all.config, first.replace(all.discovery.address(), moved.address()));
            again.socket().close();
            StandIns.tell(moved.next(), 1, all.other);
            try (Socket client = all.connect()) {
                served(client, "POST /claim", "moved", all.other);
            }
        }
        assertThat(all.endpoint.calls).isEmpty();
        assertThat(all.log()).contains("discovery failed, discovery at").doesNotContain("unexpected");
    }

    @Test
    void afterAMoveTheOldDiscoveryIsNotHeardAnyMore() throws Exception {
        all.startUnlisted();
        StandIns.tell(all.discovery.next(), 7, all.endpoint);
        StandIns.Came watch = all.discovery.next();
        try (StandIns.Party moved = new StandIns.Party()) {
            Files.writeString(
                    all.config, Files.readString(all.config).replace(all.discovery.address(), moved.address()));
            all.hangUp();
            StandIns.Came asked = moved.next();
            assertThat(all.discovery.ended.poll(20, TimeUnit.SECONDS)).isSameAs(watch.socket());
            StandIns.tell(asked, 1, all.other);
            assertThat(moved.next().head()).startsWith("GET /api/targets?from=1&");
            try (Socket client = all.connect()) {
                served(client, "POST /claim", "moved", all.other);
            }
        }
        assertThat(all.endpoint.calls).isEmpty();
    }
}
