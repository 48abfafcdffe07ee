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
 * Measures the compiled table against a plain list, and what a version costs until it is in force. Not a
 * test: run by
 * {@code make measure-plan}; its table is kept in docs/measurements/versioned-configuration.md.
 */
public final class ConfigBenchmark {
    private static final int BATCH = 100;
    private static int sink;

    private ConfigBenchmark() {}

    public static void main(String[] args) {
        lookups();
        applies();
    }

    private static String path(SplittableRandom random, int entries) {
        return "/s" + random.nextInt(Math.max(1, entries / 100)) + "/t" + random.nextInt(10) + "/u"
                + random.nextInt(10);
    }

    private static void lookups() {
        System.out.println("| entries | way | ns a lookup, p50 | p99 | bytes held |");
        System.out.println("| --- | --- | --- | --- | --- |");
        for (int entries : new int[] {10, 1_000, 100_000}) {
            SplittableRandom random = new SplittableRandom(17);
            List<RouteMatch> matches = new ArrayList<>();
            List<Integer> places = new ArrayList<>();
            for (int i = 0; i < entries; i++) {
                matches.add(new RouteMatch(
                        i % 7 == 0 ? "one.lk" : "*",
                        RouteMatch.segments(path(random, entries)),
                        i % 5 == 0 ? Set.of("GET") : Set.of(),
                        i % 11 == 0 ? Map.of("x-a", "1") : Map.of()));
                places.add(i);
            }
            long before = used();
            RouteTable<Integer> table = new RouteTable<>(matches, places);
            long bytes = used() - before;
            List<RequestAttributes> asked = new ArrayList<>();
            for (int i = 0; i < 4_096; i++) {
                asked.add(new RequestAttributes("GET", "one.lk", path(random, entries) + "/more", n -> null));
            }
            say(entries, "trie", bytes, asked, a -> table.first(a));
            say(entries, "plain list", 0, asked, a -> plain(matches, a));
        }
    }

    private static Integer plain(List<RouteMatch> matches, RequestAttributes asked) {
        List<String> path = RouteMatch.segments(asked.path());
        for (int i = 0; i < matches.size(); i++) {
            RouteMatch m = matches.get(i);
            if (path.size() >= m.segments().size()
                    && path.subList(0, m.segments().size()).equals(m.segments())
                    && m.fitsBeside(asked)) {
                return i;
            }
        }
        return null;
    }

    private interface Lookup {
        Integer of(RequestAttributes asked);
    }

    private static void say(int entries, String way, long bytes, List<RequestAttributes> asked, Lookup lookup) {
        Histogram ns = new Histogram(3);
        long untilNs = System.nanoTime() + 3_000_000_000L;
        for (int round = 0; System.nanoTime() < untilNs; round++) {
            long fromNs = System.nanoTime();
            for (int i = 0; i < BATCH; i++) {
                Integer found = lookup.of(asked.get((round * BATCH + i) & 4_095));
                sink += found == null ? 1 : found;
            }
            if (System.nanoTime() > untilNs - 2_000_000_000L) {
                ns.recordValue((System.nanoTime() - fromNs) / BATCH);
            }
        }
        System.out.printf(
                "| %d | %s | %d | %d | %s |%n",
                entries, way, ns.getValueAtPercentile(50), ns.getValueAtPercentile(99), bytes == 0 ? "" : "" + bytes);
    }

    private static long used() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static void applies() {
        System.out.println();
        System.out.println("| entries | bytes of text | ms to read, check and compile | us of the I/O "
                + "thread to swap, p50 | most |");
        System.out.println("| --- | --- | --- | --- | --- |");
        for (int entries : new int[] {10, 1_000, 100_000}) {
            byte[] bytes = SampleConfigs.version(entries);
            ConfigCompiler compiler = new ConfigCompiler(SampleConfigs.GROUNDS);
            Admission admission = new Admission(1);
            List<Endpoint> endpoints = new ArrayList<>();
            for (int i = 0; i < 1_000; i++) {
                endpoints.add(new Endpoint("u" + i, 1, i % 2, 0, 0, Endpoint.Health.READY, 0));
            }
            admission.listed(1, DecisionEngine.ListForm.FULL, endpoints, Map.of());
            Histogram compile = new Histogram(3);
            Histogram swap = new Histogram(3);
            for (int i = 0; i < 12; i++) {
                long fromNs = System.nanoTime();
                ConfigCompiler.Compiled compiled = compiler.compile(ConfigVersion.Epoch.NONE, i + 1, bytes);
                long readyNs = System.nanoTime();
                admission.beside(i + 2, compiled.plan());
                admission.follow(i + 2, compiled.plan());
                if (i > 1) {
                    compile.recordValue((readyNs - fromNs) / 1_000_000);
                    swap.recordValue((System.nanoTime() - readyNs) / 1_000);
                }
            }
            System.out.printf(
                    "| %d | %d | %d | %d | %d |%n",
                    entries,
                    bytes.length,
                    compile.getValueAtPercentile(50),
                    swap.getValueAtPercentile(50),
                    swap.getMaxValue());
        }
    }
}
