package gatelock.capacity;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gatelock.standin.FakeDeployment;
import gatelock.standin.LoadGenerator;
import gatelock.standin.LongListDiscovery;
import gatelock.standin.RelayProcess;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.HdrHistogram.Histogram;

/** Measures processor time and added latency of requests through a relay process, at several rates. */
final class RequestCosts {
    private static final int CLIENTS = 16;
    private static final int WARM_UP_PER_S = 1_000;
    private static final int WARM_UP_S = 3;
    private static final int[] RATES_PER_S = {100, 300, 1_000};

    private final SlopeResults results;
    private final RelayHarness harness;

    RequestCosts(SlopeResults results, RelayHarness harness) {
        this.results = results;
        this.harness = harness;
    }

    /** Measures all rates and adds their latencies and the slope of processor time to the results. */
    void measure() throws Exception {
        List<Fit.Point> cpu = new ArrayList<>();
        try (FakeDeployment deployment = RelayHarness.newDeployment();
                LongListDiscovery list = RelayHarness.newList(deployment, RelayHarness.SERVING_ENDPOINTS);
                RelayProcess relay = harness.start(deployment, list, "r", 1)) {
            RelayHarness.awaitReady(relay);
            int[] directPorts = new int[RelayHarness.SERVING_ENDPOINTS];
            Arrays.setAll(directPorts, i -> RelayHarness.port(deployment.address(i)));
            LoadGenerator.run(directPorts, CLIENTS, WARM_UP_PER_S, WARM_UP_S);
            LoadGenerator.run(new int[] {relay.port}, CLIENTS, WARM_UP_PER_S, WARM_UP_S);
            for (int perS : RATES_PER_S) {
                cpu.add(measure(relay, directPorts, perS));
            }
        }
        results.addSlope(
                new SlopeResults.Description(
                        "cpuPerReqUs",
                        "processor time of the relay's process for one req served, on real sockets; the "
                                + "intercept is what a second without reqs costs",
                        "reqs a second",
                        "us",
                        "Slopes.reqs: open loop, /proc CPU time of a process with the platform's flags, "
                                + "4 units listed"),
                cpu);
    }

    /** Adds the latency at a rate to the results; returns the requests and the processor time per second. */
    private Fit.Point measure(RelayProcess relay, int[] directPorts, int perS) throws InterruptedException {
        int seconds = perS < 1_000 ? 5 : 8;
        Histogram directUs =
                LoadGenerator.run(directPorts, CLIENTS, perS, seconds).responseTimesUs();
        long cpuBeforeUs = relay.cpuUs();
        long startedNs = System.nanoTime();
        LoadGenerator.Result relayed = LoadGenerator.run(new int[] {relay.port}, CLIENTS, perS, seconds);
        double spanS = (System.nanoTime() - startedNs) / 1e9;
        long cpuUs = relay.cpuUs() - cpuBeforeUs;
        Histogram zeroBaseline = new Histogram(3);
        ObjectNode row = JsonNodeFactory.instance.objectNode();
        row.put("perS", perS);
        row.put("reqs", relayed.responseTimesUs().getTotalCount());
        row.put("no200", relayed.failures());
        putQuantiles(row, relayed.responseTimesUs(), directUs);
        putQuantiles(row.putObject("relayed"), relayed.responseTimesUs(), zeroBaseline);
        putQuantiles(row.putObject("direct"), directUs, zeroBaseline);
        results.addLatency(row);
        return new Fit.Point(relayed.responseTimesUs().getTotalCount() / spanS, cpuUs / spanS);
    }

    /** Puts the quantiles of a histogram, minus those of a baseline, into a row. */
    private static void putQuantiles(ObjectNode row, Histogram latencyUs, Histogram baseline) {
        row.put("p50Us", latencyUs.getValueAtPercentile(50) - baseline.getValueAtPercentile(50));
        row.put("p99Us", latencyUs.getValueAtPercentile(99) - baseline.getValueAtPercentile(99));
        row.put("p999Us", latencyUs.getValueAtPercentile(99.9) - baseline.getValueAtPercentile(99.9));
        row.put("maxUs", latencyUs.getMaxValue() - baseline.getMaxValue());
    }
}
