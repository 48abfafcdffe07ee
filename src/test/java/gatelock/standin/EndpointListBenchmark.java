package gatelock.standin;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.Histogram;

/**
 * Measures one relay with the platform's flags on a list of 200,000 endpoints, with and without a subset, and on
 * one of 10,000: time until it is ready, memory, CPU time at the usual rate of list changes, and response times of requests
 * after the changes. Not a test: run by {@code make measure-list}, from the directory of the project. Arguments: numbers of
 * the rows to measure (all rows if none is given), then {@code write COMMIT} to write the rows to
 * docs/capacity/relay-scope.json.
 */
public final class EndpointListBenchmark {
    /** The platform configuration whose run line has the JVM flags; {@code -Ddeploy} names another file. */
    private static final Path DEPLOY = Path.of(System.getProperty("deploy", "deploy/balancer.toml"));

    private static final int ENDPOINT_SERVERS = 4;
    private static final int IDLE_S = 15;
    private static final int CHANGES_S = 30;
    private static final int SERVICES = 7_200;
    private static final int REQUESTS_S = 5;
    /**
     * The interval between two changes on an ordinary day: half a restart per second, with three changes per restart, and
     * 0.014 failures per second.
     */
    private static final int CHANGE_INTERVAL_MS = 667;

    private static final Pattern LIST_LOG_LINE =
            Pattern.compile("list \\d+ of (\\d+) endpoints in (\\d+) services, (\\d+) in scope");

    /**
     * The list and the settings that one row of the result is measured with.
     *
     * @param endpoints number of endpoints in the list
     * @param membership settings of the subset in the operator's file, or null for no subset
     */
    private record Scenario(int endpoints, String membership) {}

    private static final List<Scenario> SCENARIOS = List.of(
            new Scenario(200_000, null),
            new Scenario(10_000, null),
            new Scenario(200_000, "\"most\": 1024, \"perService\": 4"),
            new Scenario(200_000, "\"most\": 7300, \"perService\": 4"),
            new Scenario(10_000, "\"most\": 1024, \"perService\": 4"));

    private EndpointListBenchmark() {}

    /** Measures the rows that the arguments name and prints them as JSON. */
    public static void main(String[] args) throws Exception {
        List<Map<String, Object>> rows = new ArrayList<>();
        List<Integer> selectedRows = new ArrayList<>();
        String commit = null;
        for (int i = 0; i < args.length; i++) {
            if (args[i].equals("write")) {
                commit = args[++i];
            } else {
                selectedRows.add(Integer.parseInt(args[i]));
            }
        }
        for (int i = 0; i < SCENARIOS.size(); i++) {
            if (selectedRows.isEmpty() || selectedRows.contains(i)) {
                rows.add(row(SCENARIOS.get(i)));
                System.out.println(JSON.std.asString(rows.get(rows.size() - 1)));
            }
        }
        if (commit != null) {
            writeRows(commit, rows);
        }
        System.exit(0);
    }

    private static void writeRows(String commit, List<Map<String, Object>> rows) throws Exception {
        Instant now = Instant.now().truncatedTo(ChronoUnit.SECONDS);
        Map<String, Object> run = new LinkedHashMap<>();
        run.put("id", now.toString().replaceAll("[-:]", "") + "-" + commit);
        run.put("date", now.toString());
        run.put("commit", commit);
        run.put("cores", Runtime.getRuntime().availableProcessors());
        run.put("java", System.getProperty("java.version"));
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("run", run);
        all.put("rows", rows);
        Files.createDirectories(Path.of("docs/capacity"));
        Files.writeString(
                Path.of("docs/capacity/relay-scope.json"),
                JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT).asString(all) + "\n");
    }

    private static Map<String, Object> row(Scenario scenario) throws Exception {
        Path directory = Files.createTempDirectory("gatelock-list");
        int port = RelayProcess.freePort();
        try (FakeDeployment deployment = new FakeDeployment(ENDPOINT_SERVERS)) {
            String example =
                    deployment.configuration(Files.readString(Path.of("examples/relay.json")), "127.0.0.1:" + port);
            List<String> addresses = new ArrayList<>();
            for (int i = 0; i < ENDPOINT_SERVERS; i++) {
                addresses.add(deployment.address(i));
            }
            try (LongListDiscovery list =
                    new LongListDiscovery(scenario.endpoints, i -> entry(i, addresses, "in_service", 0, 1))) {
                String configuration = example.replaceFirst(
                        "\"discovery\": \"[^\"]*:[0-9]+\"", "\"discovery\": \"" + list.address("relay") + "\"");
                List<String> arguments =
                        scenario.membership == null ? List.of() : operatorArguments(directory, scenario);
                List<String> flags = RelayProcess.flags(DEPLOY);
                try (RelayProcess relay = RelayProcess.start(directory, port, configuration, flags, arguments)) {
                    return measure(scenario, addresses, list, relay);
                }
            }
        }
    }

    private static List<String> operatorArguments(Path directory, Scenario scenario) throws IOException {
        Path operator = directory.resolve("operator.json");
        Files.writeString(
                operator,
                "{\"membership\": {\"leastHolders\": 0, " + scenario.membership
                        + ", \"number\": 17, \"zone\": \"east\", \"service\": {\"label\": \"service\"}}}");
        return List.of("--operator", operator.toString());
    }

    private static String entry(int i, List<String> addresses, String status, long sinceMs, int build) {
        return LongListDiscovery.entry(
                i,
                addresses.get(i % addresses.size()),
                i % 3 == 0 ? "east" : "west",
                "service-" + i % SERVICES,
                status,
                sinceMs,
                build);
    }

    private static Map<String, Object> measure(
            Scenario scenario, List<String> addresses, LongListDiscovery list, RelayProcess relay) throws Exception {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("units", scenario.endpoints);
        row.put("membership", scenario.membership == null ? "off" : "{" + scenario.membership + "}");
        row.put("readyMs", relay.awaitReadyMs(60_000));
        row.put("readyCpuMs", relay.cpuUs() / 1_000);
        Matcher listed = LIST_LOG_LINE.matcher(relay.log());
        row.put("inScope", listed.find() ? Integer.parseInt(listed.group(3)) : null);
        row.put("listBytes", list.bytesOut());
        row.put("lists", list.snapshotCalls());
        // Excludes work that follows from the start: compilation, and collection of the garbage of the warm-up.
        TimeUnit.SECONDS.sleep(5);
        long cpuUs = relay.cpuUs();
        TimeUnit.SECONDS.sleep(IDLE_S);
        double idleCores = (relay.cpuUs() - cpuUs) / 1e6 / IDLE_S;
        row.put("quietCorePercent", round(idleCores * 100));
        long bytes = list.bytesOut();
        cpuUs = relay.cpuUs();
        long index = applyChanges(addresses, list, scenario.endpoints);
        double changingCores = (relay.cpuUs() - cpuUs) / 1e6 / CHANGES_S;
        row.put("changesCorePercent", round(changingCores * 100));
        row.put("changesBytesPerS", (list.bytesOut() - bytes) / CHANGES_S);
        row.put("followed", !list.awaitWatches(index, 1, 5_000).isEmpty());
        Histogram us = ConfigUpdateBenchmark.load(relay.port, REQUESTS_S);
        row.put("reqs200", us.getTotalCount());
        row.put("reqsP99Ms", round(us.getValueAtPercentile(99) / 1e3));
        row.put("residentMb", round(relay.residentMb()));
        row.put("peakResidentMb", round(relay.peakResidentMb()));
        row.put("oldHeapMb", round(relay.oldHeapMb()));
        row.put("liveHeapMb", round(liveHeapMb(relay)));
        row.put("saysTooLong", relay.log().contains("discovery's list is too long"));
        row.put("saysSilent", relay.log().contains("discovery is silent"));
        return row;
    }

    /** Returns the size of the live heap, or -1 if it is unknown; the class histogram collects all garbage first. */
    private static double liveHeapMb(RelayProcess relay) throws IOException, InterruptedException {
        Matcher total = Pattern.compile("(?m)^Total\\s+\\d+\\s+(\\d+)").matcher(relay.jcmd("GC.class_histogram"));
        return total.find() ? Long.parseLong(total.group(1)) / 1024.0 / 1024.0 : -1;
    }

    private static double round(double value) {
        return Math.round(value * 100) / 100.0;
    }

    /** Changes the list at the rate of an ordinary day for 30 s; returns the index of the last change. */
    private static long applyChanges(List<String> addresses, LongListDiscovery list, int size)
            throws InterruptedException {
        long fromNs = System.nanoTime();
        long index = list.index();
        for (int i = 0; i * (long) CHANGE_INTERVAL_MS < CHANGES_S * 1_000L; i++) {
            long dueNs = fromNs + TimeUnit.MILLISECONDS.toNanos(i * (long) CHANGE_INTERVAL_MS);
            TimeUnit.NANOSECONDS.sleep(Math.max(0, dueNs - System.nanoTime()));
            int endpoint = (int) (i / 3 * 7_919L % size);
            long nowMs = System.currentTimeMillis();
            index = switch (i % 3) {
                case 0 -> list.replace(endpoint, entry(endpoint, addresses, "terminating", 0, 1));
                case 1 -> list.remove(endpoint, entry(endpoint, addresses, "terminated", 0, 1));
                default -> list.replace(endpoint, entry(endpoint, addresses, "in_service", nowMs, 1));
            };
            if (i == 20) {
                index = list.remove(size - 1, entry(size - 1, addresses, "terminated", 0, 1));
            }
        }
        TimeUnit.NANOSECONDS.sleep(Math.max(0, fromNs + TimeUnit.SECONDS.toNanos(CHANGES_S) - System.nanoTime()));
        return index;
    }
}
