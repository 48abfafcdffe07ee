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

/** A relay that uses a subset of the endpoints because the list exceeds its maximum number of endpoints. */
final class EndpointSubsetRelayTest extends RelayTestCase {
    private static final int LISTED_ENDPOINTS = 14_000;
    private static final int SUBSET_SIZE = 4;
    private static final int MAX_ENDPOINTS = 8;
    private static final int RELAY_NUMBER = 17;

    @TempDir
    private Path directory;

    private String maxListBytesSetting = "";

    /** Starts the relay with the settings of the subset and further settings, as JSON text, in the operator's file. */
    private void start(String moreSettings) throws Exception {
        Path operator = directory.resolve("operator.json");
        Files.writeString(
                operator,
                "{\"membership\": {\"most\": " + MAX_ENDPOINTS + ", \"leastHolders\": 0, \"perService\": " + SUBSET_SIZE
                        + ", \"leastElsewhere\": 0, \"settleS\": 0.2, \"number\": " + RELAY_NUMBER + maxListBytesSetting
                        + "}"
                        + moreSettings + "}");
        relay.launchCold("--operator", operator.toString());
    }

    /** Returns the name of an endpoint; long, so that the full list exceeds 2 MiB. */
    private static String name(int i) {
        return "unit-of-a-long-name-in-a-far-away-place-0123456789-0123456789-" + i;
    }

    private static String entry(int i, FakeServer server, String status) {
        return "{\"name\":\"" + name(i) + "\",\"address\":\"" + server.address()
                + "\",\"zone\":\"east\",\"type\":\"small\"," + "\"group\":3,\"status\":\"" + status
                + "\",\"weight\":1.0,\"since_ms\":0,\"image_id\":1}";
    }

    /** Returns the numbers of the endpoints in the subset of this relay, as computed by {@link EndpointSubset}. */
    private static Set<Integer> subset() {
        EndpointSubset endpointSubset =
                new EndpointSubset(new EndpointSubset.Policy(RELAY_NUMBER, -1, MAX_ENDPOINTS, SUBSET_SIZE, 0, 0, 0));
        EndpointSubset.ListUpdate update = endpointSubset.beginUpdate(true);
        for (int i = 0; i < LISTED_ENDPOINTS; i++) {
            update.add(new EndpointEntry(name(i), "", "127.0.0.1:1", 0, 0, 3, 1, Endpoint.Health.READY, 0));
        }
        Set<Integer> subset = new HashSet<>();
        update.commit(0, 5)
                .entries()
                .forEach(entry -> subset.add(Integer.parseInt(entry.name().replaceAll(".*-", ""))));
        assertThat(subset).hasSize(SUBSET_SIZE);
        return subset;
    }

    /** Returns a list in which the endpoints of the subset have the address of one server and the rest that of another. */
    private String list(int index, FakeServer subsetServer, FakeServer restServer) {
        Set<Integer> subset = subset();
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < LISTED_ENDPOINTS; i++) {
            entries.add(entry(i, subset.contains(i) ? subsetServer : restServer, "in_service"));
        }
        return "{\"snapshot\": true, \"endpoints\": [\n  " + String.join(",\n  ", entries) + "\n], \"index\": " + index
                + "}";
    }

    /** Returns the list with its {@code snapshot} field, which marks it as a full list, moved to the end. */
    private static String withSnapshotFieldLast(String list) {
        return list.substring(0, list.length() - 1).replace("\"snapshot\": true, ", "") + ", \"snapshot\": true}";
    }

    /** Answers a call with a full list in chunks that split its entries; returns the watch that follows. */
    private HttpMessage answerList(HttpMessage call, String list, int index) throws Exception {
        assertThat(list.length()).isGreaterThan(2 * 1024 * 1024);
        OutputStream out = startChunkedResponse(call);
        for (int offset = 0; offset < list.length(); offset += 77_777) {
            writeChunk(out, list.substring(offset, Math.min(list.length(), offset + 77_777)));
        }
        endChunks(out);
        HttpMessage watch = discovery.awaitCall();
        assertThat(watch.head()).startsWith("GET /api/targets?from=" + index + "&");
        return watch;
    }

    /** Checks that the server serves 12 requests in a row. */
    private void assertAllServedBy(FakeServer server, String traceIdPrefix) throws Exception {
        try (Socket client = relay.connect()) {
            for (int i = 0; i < 12; i++) {
                assertServedBy(server, client, traceIdPrefix + i);
            }
        }
    }

    /**
     * Waits until 30 requests in a row reach the server of the new subset. The endpoints of the previous subset stay in
     * use for a while after a change.
     */
    private void awaitOnlyServedBy(FakeServer server, FakeServer previousServer) throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        int consecutive = 0;
        try (Socket client = relay.connect()) {
            for (int i = 0; consecutive < 30 && System.nanoTime() < endNs; i++) {
                sendRequest(client, "GET /read", "settles" + i, "", "");
                HttpMessage call = null;
                boolean atServer = false;
                while (call == null && System.nanoTime() < endNs) {
                    call = server.calls().poll(1, TimeUnit.MILLISECONDS);
                    atServer = call != null;
                    call = atServer ? call : previousServer.calls().poll();
                }
                assertThat(call).isNotNull();
                consecutive = atServer ? consecutive + 1 : 0;
                call.respond("200 OK", "", "there");
                assertThat(readMessage(client).body()).isEqualTo("there");
            }
        }
        assertThat(consecutive).isEqualTo(30);
    }

    /** Stops the relay and checks that its log never called discovery silent. */
    private void assertStopsCleanlyWithoutSilentDiscovery() throws Exception {
        assertStopsCleanly();
        assertThat(relay.log()).doesNotContain("silent");
    }

    @Test
    void servesOnSubsetAndReplacesDrainedEndpoints() throws Exception {
        start("");
        HttpMessage watch =
                answerList(discovery.awaitCall(), withSnapshotFieldLast(list(5, endpoint, otherEndpoint)), 5);
        assertAllServedBy(endpoint, "first");
        assertThat(otherEndpoint.connections()).isEmpty();
        // All endpoints of the subset drain. Other endpoints of the list replace them without being listed again.
        List<String> drained = new ArrayList<>();
        subset().forEach(i -> drained.add(entry(i, endpoint, "terminating")));
        watch.respond(
                "200 OK", "", "{\"index\":6,\"snapshot\":false,\"endpoints\":[" + String.join(",", drained) + "]}");
        HttpMessage drainedWatch = discovery.awaitCall();
        assertThat(drainedWatch.head()).startsWith("GET /api/targets?from=6&");
        assertAllServedBy(otherEndpoint, "drained");
        assertThat(endpoint.calls()).isEmpty();
        // The watch is answered with a full list instead of a change, and with a lower index.
        HttpMessage nextWatch = answerList(drainedWatch, list(2, otherEndpoint, endpoint), 2);
        awaitOnlyServedBy(otherEndpoint, endpoint);
        // The watch is answered with a full list that is marked as such only at its end: the relay requests the full
        // list again.
        nextWatch.respond("200 OK", "", withSnapshotFieldLast(list(9, endpoint, otherEndpoint)));
        HttpMessage listCall = discovery.awaitCall();
        assertThat(listCall.head()).startsWith("GET /api/targets HTTP/1.1");
        answerList(listCall, withSnapshotFieldLast(list(9, endpoint, otherEndpoint)), 9);
        assertAllServedBy(endpoint, "again");
        assertStopsCleanlyWithoutSilentDiscovery();
    }

    @Test
    void keepsLastListWhenNewListIsMalformedOrTooLong() throws Exception {
        maxListBytesSetting = ", \"mostListBytes\": 3000000";
        start("");
        String list = list(5, endpoint, otherEndpoint);
        assertThat(list.length()).isBetween(2_500_000, 3_000_000);
        HttpMessage watch = answerList(discovery.awaitCall(), list, 5);
        assertAllServedBy(endpoint, "first");
        String swappedList = list(6, otherEndpoint, endpoint);
        for (String malformed : new String[] {
            swappedList.replaceFirst("\"in_service\"(?=[^}]*}\\s*])", "\"zz\""),
            swappedList.substring(0, swappedList.length() - 1) + "]",
            swappedList.replace(name(LISTED_ENDPOINTS - 1) + "\"", name(0) + "\"")
        }) {
            assertThat(malformed).isNotEqualTo(swappedList);
            watch.respond("200 OK", "", malformed);
            watch = discovery.awaitCall();
            assertThat(watch.head()).startsWith("GET /api/targets?from=5&");
        }
        assertAllServedBy(endpoint, "still");
        HttpMessage lastWatch = watch;
        BackgroundTask.start(() -> lastWatch.respond("200 OK", "", " ".repeat(3_000_001)));
        relay.awaitLog("discovery's list is too long: body of 3000001 bytes is longer than 3000000, last good list "
                + "kept; raise membership.mostListBytes in the operator's file, or have fewer endpoints listed");
        HttpMessage listCall = discovery.awaitCall();
        assertThat(listCall.head()).startsWith("GET /api/targets HTTP/1.1");
        assertAllServedBy(endpoint, "still longer");
        answerList(listCall, swappedList, 6);
        assertAllServedBy(otherEndpoint, "then");
        assertStopsCleanlyWithoutSilentDiscovery();
        assertThat(relay.log()).contains("lists too long=1");
    }

    @Test
    void servesRequestsWhileListArrives() throws Exception {
        start("");
        HttpMessage watch = answerList(discovery.awaitCall(), list(5, endpoint, otherEndpoint), 5);
        String list = list(6, otherEndpoint, endpoint);
        OutputStream out = startChunkedResponse(watch);
        int half = list.length() / 2;
        writeChunk(out, list.substring(0, half));
        assertAllServedBy(endpoint, "meanwhile");
        writeChunk(out, list.substring(half));
        endChunks(out);
        assertThat(discovery.awaitCall().head()).startsWith("GET /api/targets?from=6&");
        assertAllServedBy(otherEndpoint, "after");
        assertStopsCleanlyWithoutSilentDiscovery();
    }

    @Test
    void reportsListAndSubsetInStatusCommand() throws Exception {
        try (ControlService control = new ControlService()) {
            control.offer(
                    1,
                    "a",
                    1,
                    "{\"format\": 1, \"routes\": [{\"name\": \"r\", \"path\": \"/read\", \"class\": " + "\"read\"}]}");
            String listener = "127.0.0.1:" + RelayProcess.freePort();
            start(", \"control\": {\"services\": [\"" + control.address() + "\"]}, \"listener\": \"" + listener + "\"");
            answerList(discovery.awaitCall(), list(5, endpoint, otherEndpoint), 5);
            control.awaitReport("1/1");
            Process status = RelayUnderTest.command("status", "--at", listener)
                    .redirectErrorStream(true)
                    .start();
            String output = new String(status.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(status.waitFor()).as(output).isZero();
            assertThat(output)
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
        assertStopsCleanlyWithoutSilentDiscovery();
    }
}
