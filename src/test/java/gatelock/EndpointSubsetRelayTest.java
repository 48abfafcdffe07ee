package gatelock;

import static gatelock.standin.RawHttp.endChunks;
import static gatelock.standin.RawHttp.readMessage;
import static gatelock.standin.RawHttp.sendRequest;
import static gatelock.standin.RawHttp.startChunkedResponse;
import static gatelock.standin.RawHttp.writeChunk;
import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.Endpoint;
import gatelock.membership.EndpointEntry;
import gatelock.membership.EndpointSubset;
import gatelock.standin.BackgroundTask;
import gatelock.standin.ControlService;
import gatelock.standin.FakeServer;
import gatelock.standin.HttpMessage;
import gatelock.standin.RelayProcess;
import gatelock.standin.RelayTestCase;
import gatelock.standin.RelayUnderTest;
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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A relay that uses a subset of the endpoints of a list that is too long for it to use whole. */
final class EndpointSubsetRelayTest extends RelayTestCase {
    private static final int LISTED_ENDPOINTS = 14_000;
    private static final int SUBSET_SIZE = 4;
    private static final int MAX_ENDPOINTS = 8;
    private static final int RELAY_NUMBER = 17;

    @TempDir
    private Path directory;

    private String maxListBytesSetting = "";

    private void start(String more) throws Exception {
        Path operator = directory.resolve("operator.json");
        Files.writeString(
                operator,
                "{\"membership\": {\"most\": " + MAX_ENDPOINTS + ", \"leastHolders\": 0, \"perService\": " + SUBSET_SIZE
                        + ", \"leastElsewhere\": 0, \"settleS\": 0.2, \"number\": " + RELAY_NUMBER + maxListBytesSetting
                        + "}"
                        + more + "}");
        relay.launchCold("--operator", operator.toString());
    }

    private static String name(int i) {
        return "unit-of-a-long-name-in-a-far-away-place-0123456789-0123456789-" + i;
    }

    private static String entry(int i, FakeServer at, String status) {
        return "{\"name\":\"" + name(i) + "\",\"address\":\"" + at.address()
                + "\",\"zone\":\"east\",\"type\":\"small\"," + "\"group\":3,\"status\":\"" + status
                + "\",\"weight\":1.0,\"since_ms\":0,\"image_id\":1}";
    }

    /** Returns the endpoints that the subset of this relay has, as its own decisions choose them. */
    private static Set<Integer> subset() {
        EndpointSubset endpointSubset =
                new EndpointSubset(new EndpointSubset.Policy(RELAY_NUMBER, -1, MAX_ENDPOINTS, SUBSET_SIZE, 0, 0, 0));
        EndpointSubset.ListUpdate reading = endpointSubset.beginUpdate(true);
        for (int i = 0; i < LISTED_ENDPOINTS; i++) {
            reading.add(new EndpointEntry(name(i), "", "127.0.0.1:1", 0, 0, 3, 1, Endpoint.Health.READY, 0));
        }
        Set<Integer> subset = new HashSet<>();
        reading.commit(0, 5)
                .entries()
                .forEach(entry -> subset.add(Integer.parseInt(entry.name().replaceAll(".*-", ""))));
        assertThat(subset).hasSize(SUBSET_SIZE);
        return subset;
    }

    /** Returns a list on which one server has the endpoints of the subset and another one all the rest. */
    private String list(int index, FakeServer subsetServer, FakeServer restServer) {
        Set<Integer> subset = subset();
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < LISTED_ENDPOINTS; i++) {
            entries.add(entry(i, subset.contains(i) ? subsetServer : restServer, "in_service"));
        }
        return "{\"snapshot\": true, \"endpoints\": [\n  " + String.join(",\n  ", entries) + "\n], \"index\": " + index
                + "}";
    }

    /** Returns the same list with the field that says that it is whole at its end. */
    private static String withSnapshotFieldLast(String list) {
        return list.substring(0, list.length() - 1).replace("\"snapshot\": true, ", "") + ", \"snapshot\": true}";
    }

    /** Answers a call with a whole list in chunks of odd sizes; returns the watch that follows. */
    private HttpMessage answerList(HttpMessage asked, String list, int index) throws Exception {
        assertThat(list.length()).isGreaterThan(2 * 1024 * 1024);
        OutputStream out = startChunkedResponse(asked);
        for (int at = 0; at < list.length(); at += 77_777) {
            writeChunk(out, list.substring(at, Math.min(list.length(), at + 77_777)));
        }
        endChunks(out);
        HttpMessage watch = discovery.awaitCall();
        assertThat(watch.head()).startsWith("GET /api/targets?from=" + index + "&");
        return watch;
    }

    /** Checks that one server serves a dozen requests. */
    private void assertAllServedBy(FakeServer to, String id) throws Exception {
        try (Socket client = relay.connect()) {
            for (int i = 0; i < 12; i++) {
                assertServedBy(to, client, id + i);
            }
        }
    }

    /** Waits until only the endpoints of the new subset are used; those of the previous one stay for a while. */
    private void awaitOnlyServedBy(FakeServer to, FakeServer before) throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        int inARow = 0;
        try (Socket client = relay.connect()) {
            for (int i = 0; inARow < 30 && System.nanoTime() < endNs; i++) {
                sendRequest(client, "GET /read", "settles" + i, "", "");
                HttpMessage came = null;
                boolean there = false;
                while (came == null && System.nanoTime() < endNs) {
                    came = to.calls().poll(1, TimeUnit.MILLISECONDS);
                    there = came != null;
                    came = there ? came : before.calls().poll();
                }
                assertThat(came).isNotNull();
                inARow = there ? inARow + 1 : 0;
                came.respond("200 OK", "", "there");
                assertThat(readMessage(client).body()).isEqualTo("there");
            }
        }
        assertThat(inARow).isEqualTo(30);
    }

    private void assertStopsCleanlyAndDiscoveryWasHeard() throws Exception {
        assertStopsCleanly();
        assertThat(relay.log()).doesNotContain("silent");
    }

    @Test
    void aRelayStartsAndServesOnItsScopeAndFollowsADrainInIt() throws Exception {
        start("");
        HttpMessage watch =
                answerList(discovery.awaitCall(), withSnapshotFieldLast(list(5, endpoint, otherEndpoint)), 5);
        assertAllServedBy(endpoint, "first");
        assertThat(otherEndpoint.connections()).isEmpty();
        // All endpoints of the subset drain: others of the list replace them without being listed again.
        List<String> drained = new ArrayList<>();
        subset().forEach(i -> drained.add(entry(i, endpoint, "terminating")));
        watch.respond(
                "200 OK", "", "{\"index\":6,\"snapshot\":false,\"endpoints\":[" + String.join(",", drained) + "]}");
        HttpMessage next = discovery.awaitCall();
        assertThat(next.head()).startsWith("GET /api/targets?from=6&");
        assertAllServedBy(otherEndpoint, "drained");
        assertThat(endpoint.calls()).isEmpty();
        // The index goes back, and the watch is answered with a whole list instead of a change.
        HttpMessage anew = answerList(next, list(2, otherEndpoint, endpoint), 2);
        awaitOnlyServedBy(otherEndpoint, endpoint);
        // The watch is answered with a list that says only at its end that it is whole: the relay calls for the whole
        // list.
        anew.respond("200 OK", "", withSnapshotFieldLast(list(9, endpoint, otherEndpoint)));
        HttpMessage whole = discovery.awaitCall();
        assertThat(whole.head()).startsWith("GET /api/targets HTTP/1.1");
        answerList(whole, withSnapshotFieldLast(list(9, endpoint, otherEndpoint)), 9);
        assertAllServedBy(endpoint, "again");
        assertStopsCleanlyAndDiscoveryWasHeard();
    }

    @Test
    void aListThatIsBadAtItsEndOrPastTheBoundChangesNothing() throws Exception {
        maxListBytesSetting = ", \"mostListBytes\": 3000000";
        start("");
        String list = list(5, endpoint, otherEndpoint);
        assertThat(list.length()).isBetween(2_500_000, 3_000_000);
        HttpMessage watch = answerList(discovery.awaitCall(), list, 5);
        assertAllServedBy(endpoint, "first");
        String other = list(6, otherEndpoint, endpoint);
        for (String odd : new String[] {
            other.replaceFirst("\"in_service\"(?=[^}]*}\\s*])", "\"zz\""),
            other.substring(0, other.length() - 1) + "]",
            other.replace(name(LISTED_ENDPOINTS - 1) + "\"", name(0) + "\"")
        }) {
            assertThat(odd).isNotEqualTo(other);
            watch.respond("200 OK", "", odd);
            watch = discovery.awaitCall();
            assertThat(watch.head()).startsWith("GET /api/targets?from=5&");
        }
        assertAllServedBy(endpoint, "still");
        HttpMessage last = watch;
        BackgroundTask.start(() -> last.respond("200 OK", "", " ".repeat(3_000_001)));
        relay.awaitLog("discovery's list is too long: body of 3000001 bytes is longer than 3000000, last good list "
                + "kept; raise membership.mostListBytes in the operator's file, or have fewer endpoints listed");
        HttpMessage whole = discovery.awaitCall();
        assertThat(whole.head()).startsWith("GET /api/targets HTTP/1.1");
        assertAllServedBy(endpoint, "still longer");
        answerList(whole, other, 6);
        assertAllServedBy(otherEndpoint, "then");
        assertStopsCleanlyAndDiscoveryWasHeard();
        assertThat(relay.log()).contains("lists too long=1");
    }

    @Test
    void requestsAreServedWhileAListComes() throws Exception {
        start("");
        HttpMessage watch = answerList(discovery.awaitCall(), list(5, endpoint, otherEndpoint), 5);
        String list = list(6, otherEndpoint, endpoint);
        OutputStream out = startChunkedResponse(watch);
        int cut = list.length() / 2;
        writeChunk(out, list.substring(0, cut));
        assertAllServedBy(endpoint, "meanwhile");
        writeChunk(out, list.substring(cut));
        endChunks(out);
        assertThat(discovery.awaitCall().head()).startsWith("GET /api/targets?from=6&");
        assertAllServedBy(otherEndpoint, "after");
        assertStopsCleanlyAndDiscoveryWasHeard();
    }

    @Test
    void theOperatorSeesTheListAndTheScope() throws Exception {
        try (ControlService control = new ControlService()) {
            control.offer(
                    1,
                    "a",
                    1,
                    "{\"format\": 1, \"routes\": [{\"name\": \"r\", \"path\": \"/read\", \"class\": " + "\"read\"}]}");
            String at = "127.0.0.1:" + RelayProcess.freePort();
            start(", \"control\": {\"services\": [\"" + control.address() + "\"]}, \"listener\": \"" + at + "\"");
            answerList(discovery.awaitCall(), list(5, endpoint, otherEndpoint), 5);
            control.awaitReport("1/1");
            Process status = RelayUnderTest.command("status", "--at", at)
                    .redirectErrorStream(true)
                    .start();
            String said = new String(status.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(status.waitFor()).as(said).isZero();
            assertThat(said)
                    .contains(
                            "units=" + LISTED_ENDPOINTS,
                            "byScope=true",
                            "inScope=" + SUBSET_SIZE,
                            "services=1",
                            "index=5",
                            "tooLong=0")
                    .containsPattern("lastChangeMs=[0-9]{13}")
                    .containsPattern("unchangedForS=[0-9]");
            assertAllServedBy(endpoint, "seen");
        }
        assertStopsCleanlyAndDiscoveryWasHeard();
    }
}
