package gatelock.capacity;

import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.standin.LoadGenerator;
import gatelock.standin.LongListDiscovery;
import gatelock.state.EndpointAddresses;
import java.io.IOException;
import java.lang.ref.Reference;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Measures, in this process, what the endpoint list costs a relay: heap, processor time and bytes on the wire. */
final class EndpointListCosts {
    /** Each size is twice the previous one, so that hash tables have the same load factor at each size. */
    private static final int[] SIZES = {25_000, 50_000, 100_000, 200_000};

    private static final int[] WIRE_SIZES = {1_000, 10_000, 100_000, 200_000};
    private static final int[] CHANGES = {1, 10, 100};
    private static final int WATCHED_LIST_SIZE = 10_000;
    private static final int MAX_CLASSES = 14;
    private static final long START_US = 1_000_000;

    private final SlopeResults results;

    EndpointListCosts(SlopeResults results) {
        this.results = results;
    }

    // ---- Heap and processor time ---------------------------------------------------------------------------

    /** Measures heap and processor time by the size of the list. */
    void measureHeapAndCpu() throws Exception {
        try (EndpointListHarness warmUp = new EndpointListHarness(2_000, null)) {
            warmUp.medianChangeUs(300);
        }
        measureHeap();
        measureCpu();
    }

    private void measureHeap() throws IOException {
        List<Fit.Point> heap = new ArrayList<>();
        List<ClassHistogram> histograms = new ArrayList<>();
        for (int size : SIZES) {
            ClassHistogram histogram = relayStateHistogram(size);
            histograms.add(histogram);
            heap.add(new Fit.Point(size, histogram.totalBytes()));
        }
        results.addSlope(
                new SlopeResults.Description(
                        "heapPerUnit",
                        "live heap of what a relay holds of its list, addresses and decisions; no req has gone to "
                                + "a unit yet, and no connection stands",
                        "units",
                        "bytes",
                        "Slopes.units: class histogram, Addresses and ReleaseGate"),
                heap);
        int last = SIZES.length - 1;
        addClasses(histograms.get(last).since(histograms.get(0)), SIZES[last] - SIZES[0]);
    }

    private static ClassHistogram relayStateHistogram(int size) throws IOException {
        ClassHistogram before = ClassHistogram.ofThisProcess();
        Object state = relayState(size);
        try {
            return ClassHistogram.ofThisProcess().since(before);
        } finally {
            Reference.reachabilityFence(state);
        }
    }

    /** Creates the state that a relay holds for a number of endpoints: their addresses and a decision engine. */
    private static Object relayState(int size) throws IOException {
        EndpointAddresses addresses = new EndpointAddresses();
        DecisionEngine engine = DecisionHarness.newEngine(new DecisionHarness(1), List.of());
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            Endpoint endpoint = new Endpoint(LongListDiscovery.name(i), 1, i % 2, 0, i % 10, Endpoint.Health.READY, 0);
            addresses.put(RelayHarness.loopback(20_000 + i % 20_000), endpoint);
            endpoints.add(endpoint);
        }
        engine.start(START_US);
        engine.endpointsUpdated(START_US, DecisionEngine.EndpointUpdateType.FULL, endpoints);
        return List.of(addresses, engine);
    }

    private void addClasses(ClassHistogram difference, int endpoints) {
        difference.bytes().entrySet().stream()
                .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
                .limit(MAX_CLASSES)
                .forEach(entry -> results.addClass(entry.getKey(), entry.getValue() / (double) endpoints));
    }

    private void measureCpu() throws Exception {
        List<Fit.Point> changes = new ArrayList<>();
        List<Fit.Point> reads = new ArrayList<>();
        for (int size : SIZES) {
            try (EndpointListHarness harness = new EndpointListHarness(size, null)) {
                reads.add(new Fit.Point(size, harness.fullReadUs()));
                changes.add(new Fit.Point(size, harness.medianChangeUs(size > 50_000 ? 30 : 100)));
                if (harness.fullReads() > 1) {
                    results.note("units", "the whole list was read " + harness.fullReads() + " times at " + size);
                }
            }
        }
        results.addSlope(
                new SlopeResults.Description(
                        "cpuPerListChangeUs",
                        "processor time of the I/O thread for one change of one entry: a watch's answer "
                                + "read, addresses and decisions told, the next watch asked for; collection of garbage "
                                + "not counted",
                        "units",
                        "us",
                        "Slopes.units: thread CPU time, real sockets, the bound on lists lifted, one restart after "
                                + "the other, the median"),
                changes);
        results.addSlope(
                new SlopeResults.Description(
                        "cpuPerEntryReadUs",
                        "processor time of the I/O thread to read and take in a whole list; collection of "
                                + "garbage not counted",
                        "units",
                        "us",
                        "Slopes.units: thread CPU time, real sockets, the bound on lists lifted"),
                reads);
    }

    // ---- Bytes ---------------------------------------------------------------------------------------------

    /** Measures the bytes on the wire of whole lists and of watches. */
    void measureBytes() throws IOException {
        String method = "Slopes.bytes: bodies and heads of call and answer on a socket, as the stand-in writes them";
        measureListBytes(method);
        measureWatchBytes(method);
    }

    private void measureListBytes(String method) throws IOException {
        List<Fit.Point> full = new ArrayList<>();
        for (int size : WIRE_SIZES) {
            try (LongListDiscovery list = newList(size);
                    Socket socket = connect(list)) {
                full.add(new Fit.Point(size, exchangeBytes(socket, "")));
            }
        }
        results.addSlope(
                new SlopeResults.Description(
                        "bytesPerEntry", "a whole list, the call for it included", "units", "bytes", method),
                full);
    }

    private void measureWatchBytes(String method) throws IOException {
        List<Fit.Point> changed = new ArrayList<>();
        List<Fit.Point> empty = new ArrayList<>();
        try (LongListDiscovery list = newList(WATCHED_LIST_SIZE);
                Socket socket = connect(list)) {
            for (int changes : CHANGES) {
                long changedBytes = 0;
                long emptyBytes = 0;
                for (int i = 0; i < changes; i++) {
                    long from = list.index();
                    emptyBytes += exchangeBytes(socket, "?from=" + from + "&hold_ms=0");
                    list.replace(i, EndpointListHarness.entry(i, i + 1));
                    changedBytes += exchangeBytes(socket, "?from=" + from + "&hold_ms=2000");
                }
                changed.add(new Fit.Point(changes, changedBytes));
                empty.add(new Fit.Point(changes, emptyBytes));
            }
        }
        results.addSlope(
                new SlopeResults.Description(
                        "bytesPerChange",
                        "a watch answered with one entry, its call included",
                        "changes",
                        "bytes",
                        method),
                changed);
        results.addSlope(
                new SlopeResults.Description(
                        "bytesPerEmptyWatch",
                        "a watch answered with none after its hold of 2 s, its call included",
                        "watches",
                        "bytes",
                        method),
                empty);
    }

    private static LongListDiscovery newList(int size) {
        return new LongListDiscovery(size, number -> EndpointListHarness.entry(number, 0));
    }

    private static Socket connect(LongListDiscovery list) throws IOException {
        return LoadGenerator.open(RelayHarness.port(list.address("r")));
    }

    /** Sends a request to discovery and returns the bytes of the request and its response. */
    private static long exchangeBytes(Socket socket, String query) throws IOException {
        String request = "GET /api/targets" + query + " HTTP/1.1\r\nHost: discovery\r\n\r\n";
        return request.length() + LoadGenerator.exchange(socket, request).bytes();
    }
}
