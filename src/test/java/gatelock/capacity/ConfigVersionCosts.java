package gatelock.capacity;

import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.config.Admission;
import gatelock.config.ConfigCompiler;
import gatelock.config.ConfigVersion;
import gatelock.config.SampleConfigs;
import gatelock.config.VersionTracker;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Measures, in this process, what a configuration version costs a relay: size of its text, heap and processor time. */
final class ConfigVersionCosts {
    private static final int[] ROUTES = {2_875, 11_500, 23_000, 46_000};
    private static final int ENDPOINTS = 1_000;
    private static final int REPEATS = 3;
    private static final int WARM_UP_ROUTES = 1_000;
    private static final int WARM_UP_REPEATS = 60;
    private static final int KEPT_VERSIONS = 10;

    /** The measured costs of one version. */
    private record Cost(int textBytes, long heapBytes, double cpuUs) {}

    private final SlopeResults results;

    ConfigVersionCosts(SlopeResults results) {
        this.results = results;
    }

    /** Measures the costs by the number of routes and adds their slopes to the results. */
    void measure() {
        costOf(WARM_UP_ROUTES, WARM_UP_REPEATS);
        List<Fit.Point> heap = new ArrayList<>();
        List<Fit.Point> cpu = new ArrayList<>();
        List<Fit.Point> text = new ArrayList<>();
        for (int routes : ROUTES) {
            Cost cost = costOf(routes, REPEATS);
            text.add(new Fit.Point(routes, cost.textBytes));
            heap.add(new Fit.Point(routes, cost.heapBytes));
            cpu.add(new Fit.Point(routes, cost.cpuUs));
        }
        results.addSlope(
                new SlopeResults.Description(
                        "heapPerRoute",
                        "live heap of a version in force and its text; up to 10 earlier texts or 16 MiB of them "
                                + "are kept beside it",
                        "routes",
                        "bytes",
                        "Slopes.versions: class histogram, Admission, Succession"),
                heap);
        results.addSlope(
                new SlopeResults.Description(
                        "cpuPerVersionUs",
                        "processor time to read, check, compile and swap one version; collection of garbage "
                                + "not counted",
                        "routes",
                        "us",
                        "Slopes.versions: thread CPU time, 1,000 units listed"),
                cpu);
        results.addSlope(
                new SlopeResults.Description(
                        "bytesPerVersion",
                        "text of a version as a relay is sent it today, one text for all routes",
                        "routes",
                        "bytes",
                        "Slopes.versions: Samples.version"),
                text);
    }

    /** Returns the costs of a version with a number of routes; the processor time is the median of all repeats. */
    private static Cost costOf(int routes, int repeats) {
        byte[] text = SampleConfigs.version(routes);
        ConfigCompiler compiler = new ConfigCompiler(SampleConfigs.DEPLOYMENT);
        Admission admission = new Admission(1);
        try {
            admission.updateEndpoints(1, DecisionEngine.EndpointUpdateType.FULL, endpoints(), Map.of());
            double cpuUs = medianActivationUs(compiler, admission, text, repeats);
            return new Cost(text.length, heapBytes(compiler, text), cpuUs);
        } finally {
            // Keeps these objects reachable, so that they are not collected between the two histograms.
            Reference.reachabilityFence(List.of(admission, text));
        }
    }

    private static List<Endpoint> endpoints() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.add(new Endpoint("u" + i, 1, i % 2, 0, 0, Endpoint.Health.READY, 0));
        }
        return endpoints;
    }

    private static double medianActivationUs(ConfigCompiler compiler, Admission admission, byte[] text, int repeats) {
        List<Double> us = new ArrayList<>();
        for (int i = 1; i <= repeats; i++) {
            long startedNs = cpuNs();
            ConfigCompiler.Result compiled = compiler.compile(ConfigVersion.Epoch.NONE, i, text);
            admission.checkAgainstActive(i + 1, compiled.config());
            admission.activate(i + 1, compiled.config());
            us.add((cpuNs() - startedNs) / 1e3);
        }
        return us.stream().sorted().skip(repeats / 2).findFirst().orElseThrow();
    }

    private static long heapBytes(ConfigCompiler compiler, byte[] text) {
        ClassHistogram before = ClassHistogram.ofThisProcess();
        Admission admission = new Admission(1);
        VersionTracker tracker = new VersionTracker(KEPT_VERSIONS);
        byte[] ownText = text.clone();
        ConfigCompiler.Result compiled = compiler.compile(ConfigVersion.Epoch.NONE, 1, ownText);
        admission.activate(1, compiled.config());
        tracker.accept(1, compiled.config(), "measured", ownText);
        try {
            return ClassHistogram.ofThisProcess().since(before).totalBytes();
        } finally {
            Reference.reachabilityFence(List.of(admission, tracker));
        }
    }

    private static long cpuNs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
