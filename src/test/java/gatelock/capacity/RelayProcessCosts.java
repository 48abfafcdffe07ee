package gatelock.capacity;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gatelock.standin.FakeDeployment;
import gatelock.standin.LoadGenerator;
import gatelock.standin.LongListDiscovery;
import gatelock.standin.RelayProcess;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Measures relay processes with long endpoint lists, one at a time and 40 at once. */
final class RelayProcessCosts {
    private static final int[] START_SIZES = {1_000, 2_500, 5_000, 10_000};
    private static final int STARTS = 3;
    private static final int[] LIST_SIZES = {1_000, 10_000, 100_000, 200_000};
    private static final int CLIENTS = 16;
    private static final int REQUESTS_PER_S = 200;
    private static final int SERVING_S = 4;
    private static final int IDLE_S = 3;
    private static final double BYTES_PER_MIB = 1 << 20;

    private static final int MANY_RELAY_COUNT = 40;
    /** Number of relays that are started at the same time. */
    private static final int START_BATCH_SIZE = 8;

    private static final int MANY_LIST_SIZE = 1_000;
    private static final int MANY_CHANGES = 20;
    private static final int MANY_IDLE_S = 4;
    private static final long MANY_TIMEOUT_MS = 10_000;
    private static final long CHANGE_INTERVAL_MS = 100;

    private final SlopeResults results;
    private final RelayHarness harness;

    RelayProcessCosts(SlopeResults results, RelayHarness harness) {
        this.results = results;
        this.harness = harness;
    }

    // ---- One relay -----------------------------------------------------------------------------------------

    /** Measures the start and the resources of one relay at a time, by the size of its list. */
    void measureLongLists() throws Exception {
        List<Fit.Point> starts = new ArrayList<>();
        for (int size : START_SIZES) {
            starts.add(new Fit.Point(size, medianStartMs(size)));
        }
        results.addSlope(
                new SlopeResults.Description(
                        "startPerEntry",
                        "from a process's start to its first 200 on /-/ready, the median of three",
                        "units",
                        "ms",
                        "Slopes.real: processes with the platform's flags, rehearsal included"),
                starts);
        for (int size : LIST_SIZES) {
            results.addRelayProcess(measureLongList(size));
        }
    }

    private long medianStartMs(int size) throws Exception {
        List<Long> startsMs = new ArrayList<>();
        try (FakeDeployment deployment = RelayHarness.newDeployment();
                LongListDiscovery list = RelayHarness.newList(deployment, size)) {
            for (int i = 0; i < STARTS; i++) {
                try (RelayProcess relay = harness.start(deployment, list, "r" + i, 1)) {
                    startsMs.add(RelayHarness.awaitReady(relay));
                    if (list.awaitWatches(1, i + 1, 100).size() <= i) {
                        throw new IOException(
                                "the relay did not accept a list of " + size + " entries; its log: " + relay.log());
                    }
                }
            }
        }
        Collections.sort(startsMs);
        return startsMs.get(STARTS / 2);
    }

    private ObjectNode measureLongList(int size) throws Exception {
        ObjectNode row = JsonNodeFactory.instance.objectNode();
        row.put("entries", size);
        try (FakeDeployment deployment = RelayHarness.newDeployment();
                LongListDiscovery list = RelayHarness.newList(deployment, size);
                RelayProcess relay = harness.start(deployment, list, "r", 1)) {
            long readyMs = relay.awaitReadyMs(RelayHarness.READY_TIMEOUT_MS);
            boolean accepted = !list.awaitWatches(1, 1, 1_000).isEmpty();
            row.put("taken", accepted);
            if (readyMs < 0) {
                row.putNull("readyS");
            } else {
                row.put("readyS", readyMs / 1e3);
                putRequests(row, relay);
                putChangeDelay(row, deployment, list, accepted);
            }
            putResources(row, relay);
            row.put("wholeLists", list.snapshotCalls());
            row.put("brokenOff", list.abortedAnswers());
            row.put(
                    "log",
                    relay.log()
                            .lines()
                            .filter(line -> line.contains("discovery"))
                            .findFirst()
                            .orElse(""));
        }
        return row;
    }

    private static void putRequests(ObjectNode row, RelayProcess relay) throws InterruptedException {
        LoadGenerator.Result served = LoadGenerator.run(new int[] {relay.port}, CLIENTS, REQUESTS_PER_S, SERVING_S);
        row.put("served", served.responseTimesUs().getTotalCount());
        row.put("no200", served.failures());
    }

    /**
     * Measures how long the relay takes to receive a change of the list. The value is null if it does not receive the
     * change within 5 s or has not accepted the list.
     */
    private static void putChangeDelay(
            ObjectNode row, FakeDeployment deployment, LongListDiscovery list, boolean accepted)
            throws InterruptedException {
        long changedNs = System.nanoTime();
        long index = list.replace(7, RelayHarness.entry(deployment, 7, 1));
        Map<String, Long> received = accepted ? list.awaitWatches(index, 1, 5_000) : Map.of();
        if (received.isEmpty()) {
            row.putNull("heardAllMs");
        } else {
            row.put("heardAllMs", SlopeResults.round((received.get("r") - changedNs) / 1e6));
        }
    }

    private static void putResources(ObjectNode row, RelayProcess relay) throws IOException, InterruptedException {
        long cpuBeforeUs = relay.cpuUs();
        TimeUnit.SECONDS.sleep(IDLE_S);
        row.put("idleCpuShare", SlopeResults.round((relay.cpuUs() - cpuBeforeUs) / (IDLE_S * 1e6)));
        row.put("residentMb", SlopeResults.round(relay.residentMb()));
        row.put("cpuS", SlopeResults.round(relay.cpuUs() / 1e6));
        row.put("liveHeapMb", SlopeResults.round(RelayHarness.liveHeapBytes(relay) / BYTES_PER_MIB));
        row.put("oldHeapMb", SlopeResults.round(relay.oldHeapMb()));
    }

    // ---- Many relays ---------------------------------------------------------------------------------------

    /** Measures 40 relays that follow one list: the delay of changes, memory, and processor time when idle. */
    void measureManyRelays() throws Exception {
        List<RelayProcess> relays = new ArrayList<>();
        try (FakeDeployment deployment = RelayHarness.newDeployment();
                LongListDiscovery list = RelayHarness.newList(deployment, MANY_LIST_SIZE)) {
            startMany(relays, deployment, list);
            int relaysWithFirstList =
                    list.awaitWatches(1, MANY_RELAY_COUNT, MANY_TIMEOUT_MS).size();
            double idleCpuShare = idleCpuShare(relays);
            Histogram eachUs = new Histogram(3);
            Histogram lastUs = new Histogram(3);
            for (int change = 1; change <= MANY_CHANGES; change++) {
                measureChange(change, deployment, list, eachUs, lastUs);
                TimeUnit.MILLISECONDS.sleep(CHANGE_INTERVAL_MS);
            }
            List<Double> residentMb = new ArrayList<>();
            for (RelayProcess relay : relays) {
                residentMb.add(SlopeResults.round(relay.residentMb()));
            }
            ObjectNode figures = JsonNodeFactory.instance.objectNode();
            figures.put("relays", MANY_RELAY_COUNT);
            figures.put("entries", MANY_LIST_SIZE);
            figures.put("heardFirstList", relaysWithFirstList);
            figures.put("changes", MANY_CHANGES);
            figures.put("heardP50Ms", eachUs.getValueAtPercentile(50) / 1e3);
            figures.put("heardP99Ms", eachUs.getValueAtPercentile(99) / 1e3);
            figures.put("heardLastMs", eachUs.getMaxValue() / 1e3);
            figures.put("lastOfAChangeP50Ms", lastUs.getValueAtPercentile(50) / 1e3);
            figures.put("residentMbLeast", Collections.min(residentMb));
            figures.put("residentMbMost", Collections.max(residentMb));
            figures.put("idleCpuShareOfEach", SlopeResults.round(idleCpuShare));
            figures.put("bytesOut", list.bytesOut());
            results.setManyRelays(figures);
        } finally {
            for (RelayProcess relay : relays) {
                relay.close();
            }
        }
    }

    private void startMany(List<RelayProcess> relays, FakeDeployment deployment, LongListDiscovery list)
            throws IOException, InterruptedException {
        while (relays.size() < MANY_RELAY_COUNT) {
            int first = relays.size();
            for (int i = first; i < first + START_BATCH_SIZE; i++) {
                relays.add(harness.start(deployment, list, "r" + i, 1));
            }
            for (RelayProcess relay : relays.subList(first, relays.size())) {
                RelayHarness.awaitReady(relay);
            }
        }
    }

    /** Returns the mean share of a core that an idle relay uses. */
    private static double idleCpuShare(List<RelayProcess> relays) throws InterruptedException {
        long[] beforeUs = relays.stream().mapToLong(RelayProcess::cpuUs).toArray();
        long startedNs = System.nanoTime();
        TimeUnit.SECONDS.sleep(MANY_IDLE_S);
        double spanS = (System.nanoTime() - startedNs) / 1e9;
        long usedUs = 0;
        for (int i = 0; i < beforeUs.length; i++) {
            usedUs += relays.get(i).cpuUs() - beforeUs[i];
        }
        return usedUs / 1e6 / spanS / relays.size();
    }

    /** Changes one entry, and records the delay until each relay and until the last relay has received the change. */
    private void measureChange(
            int change, FakeDeployment deployment, LongListDiscovery list, Histogram eachUs, Histogram lastUs)
            throws InterruptedException {
        long changedNs = System.nanoTime();
        long index = list.replace(change, RelayHarness.entry(deployment, change, change));
        Map<String, Long> received = list.awaitWatches(index, MANY_RELAY_COUNT, MANY_TIMEOUT_MS);
        if (received.size() < MANY_RELAY_COUNT) {
            results.note(
                    "many",
                    "change " + change + " reached " + received.size() + " of " + MANY_RELAY_COUNT + " relays in 10 s");
        }
        received.values().forEach(ns -> eachUs.recordValue((ns - changedNs) / 1_000));
        lastUs.recordValue((Collections.max(received.values()) - changedNs) / 1_000);
    }
}
