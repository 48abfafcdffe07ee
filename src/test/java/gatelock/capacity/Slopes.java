package gatelock.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Measures the costs of a relay by the number of endpoints, routes, tenants, connections, requests, changes and
 * versions, and how relay processes perform with long lists. This is not a test: {@code make measure-capacity} runs it
 * and writes docs/capacity/slopes.json.
 */
public final class Slopes {
    private static final Logger LOG = Logger.getLogger("gatelock");

    /** One part of the measurement. */
    private interface Part {
        void measure() throws Exception;
    }

    private Slopes() {}

    /** Runs the named parts, or all if none is named, and writes the file. Arguments: {@code FILE [PART...]}. */
    public static void main(String[] args) throws Exception {
        System.setProperty("org.jboss.logging.provider", "jdk");
        // Each measurement ends by closing its connections abruptly; the resulting log lines are not findings.
        LOG.setLevel(Level.OFF);
        SlopeResults results = new SlopeResults(Path.of(args[0]));
        Map<String, Part> parts = parts(results);
        results.describeRun(RelayHarness.flags());
        parts.keySet().forEach(results::markNotRun);
        List<String> only = List.of(args).subList(1, args.length);
        for (Map.Entry<String, Part> part : parts.entrySet()) {
            if (only.isEmpty() || only.contains(part.getKey())) {
                measure(part.getKey(), part.getValue(), results);
            }
        }
        System.exit(0);
    }

    private static Map<String, Part> parts(SlopeResults results) throws IOException {
        RelayHarness harness = new RelayHarness(Files.createTempDirectory("gatelock-slopes"));
        EndpointListCosts listCosts = new EndpointListCosts(results);
        RelayHeapCosts heapCosts = new RelayHeapCosts(results, harness);
        RelayProcessCosts processCosts = new RelayProcessCosts(results, harness);
        Map<String, Part> parts = new LinkedHashMap<>();
        parts.put("reqs", () -> new RequestCosts(results, harness).measure());
        parts.put("units", listCosts::measureHeapAndCpu);
        parts.put("module", () -> new DecisionCosts(results).measure());
        parts.put("versions", () -> new ConfigVersionCosts(results).measure());
        parts.put("bytes", listCosts::measureBytes);
        parts.put("tenants", heapCosts::measureTenants);
        parts.put("connections", heapCosts::measureConnections);
        parts.put("real", processCosts::measureLongLists);
        parts.put("many", processCosts::measureManyRelays);
        return parts;
    }

    private static void measure(String name, Part part, SlopeResults results) throws Exception {
        long startedNs = System.nanoTime();
        results.markStarted(name);
        try {
            part.measure();
            results.markComplete(name);
        } catch (IOException | RuntimeException e) {
            results.note(name, "failed: " + e);
            e.printStackTrace();
        }
        System.out.printf("%s: %.1f s%n", name, (System.nanoTime() - startedNs) / 1e9);
        results.write();
    }
}
