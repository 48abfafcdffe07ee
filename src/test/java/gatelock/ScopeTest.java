package gatelock;

import static gatelock.StandIns.ask;
import static gatelock.StandIns.read;
import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.Endpoint;
import gatelock.membership.EndpointEntry;
import gatelock.membership.EndpointSubset;
import gatelock.standin.ControlService;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A relay that uses some of the endpoints of a list that is longer than it could take whole. */
final class ScopeTest {
    private static final int UNITS = 14_000;
    private static final int IN_SCOPE = 4;
    private static final int MOST = 8;
    private static final int NUMBER = 17;

    @TempDir
    private Path directory;

    private StandIns all;
    private String mostListBytes = "";

    @BeforeEach
    void stand() throws Exception {
        all = new StandIns();
    }

    @AfterEach
    void leave() throws Exception {
        all.close();
    }

    private void start(String more) throws Exception {
        Path operator = directory.resolve("operator.json");
        Files.writeString(
                operator,
                "{\"membership\": {\"most\": " + MOST + ", \"leastHolders\": 0, \"perService\": " + IN_SCOPE
                        + ", \"leastElsewhere\": 0, \"settleS\": 0.2, \"number\": " + NUMBER + mostListBytes + "}"
                        + more + "}");
        all.startUnlisted("--operator", operator.toString());
    }

    private static String name(int i) {
        return "unit-of-a-long-name-in-a-far-away-place-0123456789-0123456789-" + i;
    }

    private static String entry(int i, StandIns.Party at, String status) {
        return "{\"name\":\"" + name(i) + "\",\"address\":\"" + at.address()
                + "\",\"zone\":\"east\",\"type\":\"small\"," + "\"group\":3,\"status\":\"" + status
                + "\",\"weight\":1.0,\"since_ms\":0,\"image_id\":1}";
    }

    /** The endpoints that come first for this relay, as its own decisions say. */
    private static Set<Integer> firsts() {
        EndpointSubset scope = new EndpointSubset(new EndpointSubset.Terms(NUMBER, -1, MOST, IN_SCOPE, 0, 0, 0));
        EndpointSubset.Reading reading = scope.read(true);
        for (int i = 0; i < UNITS; i++) {
            reading.add(new EndpointEntry(name(i), "", "127.0.0.1:1", 0, 0, 3, 1, Endpoint.Health.READY, 0));
        }
        Set<Integer> firsts = new HashSet<>();
        reading.take(0, 5)
                .entries()
                .forEach(e -> firsts.add(Integer.parseInt(e.name().replaceAll(".*-", ""))));
        assertThat(firsts).hasSize(IN_SCOPE);
        return firsts;
    }

    /** A list on which the endpoints that come first stand at one party and all the rest at another. */
    private String list(int index, StandIns.Party firsts, StandIns.Party rest) {
        Set<Integer> first = firsts();
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < UNITS; i++) {
            entries.add(entry(i, first.contains(i) ? firsts : rest, "in_service"));
        }
        return "{\"snapshot\": true, \"endpoints\": [\n  " + String.join(",\n  ", entries) + "\n], \"index\": " + index
                + "}";
    }

    /** The same list, and that it is whole is told behind it. */
    private static String toldBehind(String list) {
        return list.substring(0, list.length() - 1).replace("\"snapshot\": true, ", "") + ", \"snapshot\": true}";
    }

    /** Tells a whole list in chunks of odd sizes; returns the watch that follows. */
    private StandIns.Came tell(StandIns.Came asked, String list, int index) throws Exception {
        assertThat(list.length()).isGreaterThan(2 * 1024 * 1024);
        OutputStream out = StandIns.chunked(asked);
        for (int at = 0; at < list.length(); at += 77_777) {
            StandIns.chunk(out, list.substring(at, Math.min(list.length(), at + 77_777)));
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        StandIns.Came watch = all.discovery.next();
        assertThat(watch.head()).startsWith("GET /api/targets?from=" + index + "&");
        return watch;
    }

    private void passes(String id, StandIns.Party to) throws Exception {
        try (Socket client = all.connect()) {
            for (int i = 0; i < 12; i++) {
                ask(client, "GET /read", id + i, "", "");
                to.next().answer("200 OK", "", "there");
                assertThat(read(client).body()).isEqualTo("there");
            }
        }
    }

    /** Endpoints that took the place of others stay for a while; then only those that come first are used. */
    private void settles(StandIns.Party to, StandIns.Party before) throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        int inARow = 0;
        try (Socket client = all.connect()) {
            for (int i = 0; inARow < 30 && System.nanoTime() < endNs; i++) {
                ask(client, "GET /read", "settles" + i, "", "");
                StandIns.Came came = null;
                boolean there = false;
                while (came == null && System.nanoTime() < endNs) {
                    came = to.calls.poll(1, TimeUnit.MILLISECONDS);
                    there = came != null;
                    came = there ? came : before.calls.poll();
                }
                assertThat(came).isNotNull();
                inARow = there ? inARow + 1 : 0;
                came.answer("200 OK", "", "there");
                assertThat(read(client).body()).isEqualTo("there");
            }
        }
        assertThat(inARow).isEqualTo(30);
    }

    private void ends() throws Exception {
        all.process.destroy();
        assertThat(all.process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(all.log()).doesNotContain("unexpected").doesNotContain("silent");
    }

    @Test
    void aRelayStartsAndServesOnItsScopeAndFollowsADrainInIt() throws Exception {
        start("");
        StandIns.Came watch = tell(all.discovery.next(), toldBehind(list(5, all.endpoint, all.other)), 5);
        passes("first", all.endpoint);
        assertThat(all.other.connections).isEmpty();
        // Of those in scope all leave: others of the list take their place, told by nobody anew.
        List<String> drained = new ArrayList<>();
        firsts().forEach(i -> drained.add(entry(i, all.endpoint, "terminating")));
        watch.answer(
                "200 OK", "", "{\"index\":6,\"snapshot\":false,\"endpoints\":[" + String.join(",", drained) + "]}");
        StandIns.Came next = all.discovery.next();
        assertThat(next.head()).startsWith("GET /api/targets?from=6&");
        passes("drained", all.other);
        assertThat(all.endpoint.calls).isEmpty();
        // An index that goes back, and a whole list in place of a change.
        StandIns.Came anew = tell(next, list(2, all.other, all.endpoint), 2);
        settles(all.other, all.endpoint);
        // A watch is answered by what tells only behind it that it is whole: it is asked for as such.
        anew.answer("200 OK", "", toldBehind(list(9, all.endpoint, all.other)));
        StandIns.Came whole = all.discovery.next();
        assertThat(whole.head()).startsWith("GET /api/targets HTTP/1.1");
        tell(whole, toldBehind(list(9, all.endpoint, all.other)), 9);
        passes("again", all.endpoint);
        ends();
    }

    @Test
    void aListThatIsBadAtItsEndOrPastTheBoundChangesNothing() throws Exception {
        mostListBytes = ", \"mostListBytes\": 3000000";
        start("");
        String list = list(5, all.endpoint, all.other);
        assertThat(list.length()).isBetween(2_500_000, 3_000_000);
        StandIns.Came watch = tell(all.discovery.next(), list, 5);
        passes("first", all.endpoint);
        String other = list(6, all.other, all.endpoint);
        for (String odd : new String[] {
            other.replaceFirst("\"in_service\"(?=[^}]*}\\s*])", "\"zz\""),
            other.substring(0, other.length() - 1) + "]",
            other.replace(name(UNITS - 1) + "\"", name(0) + "\"")
        }) {
            assertThat(odd).isNotEqualTo(other);
            watch.answer("200 OK", "", odd);
            watch = all.discovery.next();
            assertThat(watch.head()).startsWith("GET /api/targets?from=5&");
        }
        passes("still", all.endpoint);
        StandIns.Came last = watch;
        StandIns.go(() -> last.answer("200 OK", "", " ".repeat(3_000_001)));
        all.awaitLog("discovery's list is too long: body of 3000001 bytes is longer than 3000000, last good list "
                + "kept; raise membership.mostListBytes in the operator's file, or have fewer endpoints listed");
        StandIns.Came whole = all.discovery.next();
        assertThat(whole.head()).startsWith("GET /api/targets HTTP/1.1");
        passes("still longer", all.endpoint);
        tell(whole, other, 6);
        passes("then", all.other);
        ends();
        assertThat(all.log()).contains("lists too long=1");
    }

    @Test
    void requestsAreServedWhileAListComes() throws Exception {
        start("");
        StandIns.Came watch = tell(all.discovery.next(), list(5, all.endpoint, all.other), 5);
        String list = list(6, all.other, all.endpoint);
        OutputStream out = StandIns.chunked(watch);
        int cut = list.length() / 2;
        StandIns.chunk(out, list.substring(0, cut));
        passes("meanwhile", all.endpoint);
        StandIns.chunk(out, list.substring(cut));
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        assertThat(all.discovery.next().head()).startsWith("GET /api/targets?from=6&");
        passes("after", all.other);
        ends();
    }

    @Test
    void theOperatorSeesTheListAndTheScope() throws Exception {
        try (ControlService control = new ControlService()) {
            control.offer(
                    1,
                    "a",
                    1,
                    "{\"format\": 1, \"routes\": [{\"name\": \"r\", \"path\": \"/read\", \"class\": " + "\"read\"}]}");
            String at = "127.0.0.1:" + StandIns.freePort();
            start(", \"control\": {\"services\": [\"" + control.address() + "\"]}, \"listener\": \"" + at + "\"");
            tell(all.discovery.next(), list(5, all.endpoint, all.other), 5);
            control.report("1/1");
            Process status = StandIns.java("status", "--at", at)
                    .redirectErrorStream(true)
                    .start();
            String said = new String(status.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(status.waitFor()).as(said).isZero();
            assertThat(said)
                    .contains(
                            "units=" + UNITS,
                            "byScope=true",
                            "inScope=" + IN_SCOPE,
                            "services=1",
                            "index=5",
                            "tooLong=0")
                    .containsPattern("lastChangeMs=[0-9]{13}")
                    .containsPattern("unchangedForS=[0-9]");
            passes("seen", all.endpoint);
        }
        ends();
    }
}
