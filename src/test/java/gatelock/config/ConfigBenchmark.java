package gatelock.config;

import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;

/**
 * Measures lookups in the route table against a linear search, and the cost of activating a version. Not a test: {@code
 * make measure-plan} runs it; the resulting tables are in docs/measurements/versioned-configuration.md.
 */
public final class ConfigBenchmark {
    private static final int BATCH = 100;
    private static final int REQUESTS = 4_096;
    private static final long WARM_UP_NS = 1_000_000_000L;
    private static final long MEASURED_NS = 2_000_000_000L;
    private static final int WARM_UP_VERSIONS = 2;
    private static final int MEASURED_VERSIONS = 10;

    private ConfigBenchmark() {}

    /** Measures and prints both tables. */
    public static void main(String[] args) {
        measureLookups();
        measureActivation();
    }

    private static String randomPath(SplittableRandom random, int entries) {
        return "/s" + random.nextInt(Math.max(1, entries / 100)) + "/t" + random.nextInt(10) + "/u"
                + random.nextInt(10);
    }

    private static void measureLookups() {
        System.out.println("| entries | way | ns a lookup, p50 | p99 | bytes held |");
        System.out.println("| --- | --- | --- | --- | --- |");
        for (int entries : new int[] {10, 1_000, 100_000}) {
            SplittableRandom random = new SplittableRandom(17);
            List<RouteMatch> matches = new ArrayList<>();
            List<Integer> positions = new ArrayList<>();
            for (int i = 0; i < entries; i++) {
                matches.add(new RouteMatch(
                        i % 7 == 0 ? "one.lk" : "*",
                        RouteMatch.splitPath(randomPath(random, entries)),
                        i % 5 == 0 ? Set.of("GET") : Set.of(),
                        i % 11 == 0 ? Map.of("x-a", "1") : Map.of()));
                positions.add(i);
            }
            long usedBefore = usedHeapBytes();
            RouteTable<Integer> table = new RouteTable<>(matches, positions);
            long bytes = usedHeapBytes() - usedBefore;
            List<RequestAttributes> requests = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                requests.add(
                        new RequestAttributes("GET", "one.lk", randomPath(random, entries) + "/more", name -> null));
            }
            measure(entries, "trie", bytes, requests, table::findFirst);
            measure(entries, "plain list", 0, requests, request -> searchList(matches, request));
        }
    }

    private static Integer searchList(List<RouteMatch> matches, RequestAttributes request) {
        List<String> path = RouteMatch.splitPath(request.path());
        for (int i = 0; i < matches.size(); i++) {
            RouteMatch match = matches.get(i);
            if (path.size() >= match.segments().size()
                    && path.subList(0, match.segments().size()).equals(match.segments())
                    && match.matchesIgnoringPath(request)) {
                return i;
            }
        }
        return null;
    }

    private interface Lookup {
        /** Returns the position of the first route that matches, or null. */
        Integer find(RequestAttributes request);
    }

    private static void measure(
            int entries, String structure, long bytes, List<RequestAttributes> requests, Lookup lookup) {
        Histogram ns = new Histogram(3);
        // The sum is checked at the end, so that the JIT compiler does not eliminate the lookups.
        long checksum = 0;
        long untilNs = System.nanoTime() + WARM_UP_NS + MEASURED_NS;
        for (int round = 0; System.nanoTime() < untilNs; round++) {
            long fromNs = System.nanoTime();
            for (int i = 0; i < BATCH; i++) {
                Integer found = lookup.find(requests.get((round * BATCH + i) & (REQUESTS - 1)));
                checksum += found == null ? 1 : found;
            }
            if (System.nanoTime() > untilNs - MEASURED_NS) {
                ns.recordValue((System.nanoTime() - fromNs) / BATCH);
            }
        }
        if (checksum < 0) {
            throw new AssertionError("a position is negative");
        }
        System.out.printf(
                "| %d | %s | %d | %d | %s |%n",
                entries,
                structure,
                ns.getValueAtPercentile(50),
                ns.getValueAtPercentile(99),
                bytes == 0 ? "" : "" + bytes);
    }

    private static long usedHeapBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static void measureActivation() {
        System.out.println();
        System.out.println("| entries | bytes of text | ms to read, check and compile | us of the I/O "
                + "thread to swap, p50 | most |");
        System.out.println("| --- | --- | --- | --- | --- |");
        for (int entries : new int[] {10, 1_000, 100_000}) {
            byte[] bytes = SampleConfigs.version(entries);
            ConfigCompiler compiler = new ConfigCompiler(SampleConfigs.DEPLOYMENT);
            Admission admission = new Admission(1);
            List<Endpoint> endpoints = new ArrayList<>();
            for (int i = 0; i < 1_000; i++) {
                endpoints.add(new Endpoint("u" + i, 1, i % 2, 0, 0, Endpoint.Health.READY, 0));
            }
            admission.updateEndpoints(1, DecisionEngine.EndpointUpdateType.FULL, endpoints, Map.of());
            Histogram compileMs = new Histogram(3);
            Histogram swapUs = new Histogram(3);
            for (int i = 0; i < WARM_UP_VERSIONS + MEASURED_VERSIONS; i++) {
                long fromNs = System.nanoTime();
                ConfigCompiler.Result compiled = compiler.compile(ConfigVersion.Epoch.NONE, i + 1, bytes);
                long readyNs = System.nanoTime();
                admission.checkAgainstActive(i + 2, compiled.config());
                admission.activate(i + 2, compiled.config());
                if (i >= WARM_UP_VERSIONS) {
                    compileMs.recordValue((readyNs - fromNs) / 1_000_000);
                    swapUs.recordValue((System.nanoTime() - readyNs) / 1_000);
                }
            }
            System.out.printf(
                    "| %d | %d | %d | %d | %d |%n",
                    entries,
                    bytes.length,
                    compileMs.getValueAtPercentile(50),
                    swapUs.getValueAtPercentile(50),
                    swapUs.getMaxValue());
        }
    }
}
