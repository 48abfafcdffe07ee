package gatelock.capacity;

import java.util.ArrayList;
import java.util.List;

/** Measures the processor time of the decision engine alone, by the number of endpoints. */
final class DecisionCosts {
    private static final int[] SIZES = {1_000, 10_000, 50_000, 100_000, 200_000};
    private static final int REQUESTS = 8_000;
    private static final int RESTRICTED_REQUESTS = 2_000;
    private static final int TICKS = 40;

    private final SlopeResults results;

    DecisionCosts(SlopeResults results) {
        this.results = results;
    }

    /** Measures the processor time of requests and timer ticks and adds their slopes to the results. */
    void measure() {
        warmUp();
        List<Fit.Point> requests = new ArrayList<>();
        List<Fit.Point> restricted = new ArrayList<>();
        List<Fit.Point> ticks = new ArrayList<>();
        for (int size : SIZES) {
            DecisionHarness harness = new DecisionHarness(size);
            requests.add(new Fit.Point(size, harness.requestUs(false, REQUESTS)));
            ticks.add(new Fit.Point(size, harness.tickUs(TICKS)));
            restricted.add(new Fit.Point(size, new DecisionHarness(size).requestUs(true, RESTRICTED_REQUESTS)));
        }
        String method = "Slopes.module: thread CPU time, ReleaseGate alone, ";
        String requestMethod = method + "4 in flight, 860 a second of its time";
        results.addSlope(
                new SlopeResults.Description(
                        "cpuPerReqByUnitsUs",
                        "processor time of the module alone for one req, take to end, any unit will do",
                        "units",
                        "us",
                        requestMethod),
                requests);
        results.addSlope(
                new SlopeResults.Description(
                        "cpuPerReqScopedPoolUs",
                        "the same where Bounds.reaches restricts each req to the 28 units of a service",
                        "units",
                        "us",
                        requestMethod),
                restricted);
        results.addSlope(
                new SlopeResults.Description(
                        "cpuPerBeatUs",
                        "processor time of one due(BEAT), four a second, after reqs have gone to units",
                        "units",
                        "us",
                        method + "40 beats"),
                ticks);
    }

    private static void warmUp() {
        DecisionHarness harness = new DecisionHarness(1_000);
        harness.requestUs(false, 100_000);
        harness.requestUs(true, 20_000);
        harness.tickUs(300);
    }
}
