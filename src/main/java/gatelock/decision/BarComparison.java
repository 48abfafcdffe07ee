package gatelock.decision;

import java.util.List;
import java.util.Optional;

/** Compares a build's bootstrapped intervals of errors and of relative latency with bars set by the earlier build. */
final class BarComparison {
    /** The page's least number of outcomes for a verdict. */
    static final int MIN_OUTCOMES = 20;

    /** The page's percentile of latency. */
    static final double PERCENTILE = 0.9;

    /** The page's bar of errors, where the earlier build sets no higher one. */
    static final double ERROR_BAR = 0.02;

    /** The margin on the earlier build's figures; the page's is 1.25, but endpoints of one kind differ by a fifth. */
    static final double MARGIN = 1.5;

    /** A mean under like load needs so many of the earlier build's outcomes. */
    static final int MIN_OUTCOMES_PER_LOAD = MIN_OUTCOMES / 2;

    /** Faults strike at most this share of the endpoints with errors. */
    static final double FAULTY_SHARE = 0.25;

    /** The page's age from which an endpoint's latency counts, unless the site says that it is warm only later. */
    private static final long WARM_UP_US = 3 * DecisionClock.SECOND_US;

    /** A confident fail needs so many slices: two can't show a spread. */
    private static final int MIN_SLICES = 3;

    private final DecisionContext context;

    BarComparison(DecisionContext context) {
        this.context = context;
    }

    /**
     * How strictly outcomes are compared.
     *
     * @param margin how many times the earlier build's figures the bars are
     * @param widening how many times as far from the median an interval's lower end is
     * @param minOutcomes with fewer outcomes there is no verdict
     */
    record Strictness(double margin, double widening, int minOutcomes) {}

    /** Compares a build's outcomes with those of the earlier one. */
    Finding compare(List<OutcomeWindow> windows, List<OutcomeWindow> earlier, Strictness strictness) {
        int outcomes = OutcomeWindow.size(windows);
        if (outcomes < strictness.minOutcomes()) {
            return new Finding(Assessment.NO_VERDICT, new Evidence.Intervals(outcomes, null, null));
        }
        boolean enoughSlices = windows.size() >= MIN_SLICES;
        Evidence.Comparison errors = compareErrors(windows, earlier, strictness);
        Evidence errorEvidence = new Evidence.Intervals(outcomes, errors, null);
        if (errors.isAbove() && enoughSlices) {
            return new Finding(Assessment.ERRORS, errorEvidence);
        }
        Optional<Evidence.Comparison> slowness = compareSlowness(windows, earlier, strictness);
        if (slowness.isEmpty()) {
            return new Finding(Assessment.NO_VERDICT, errorEvidence);
        }
        return new Finding(
                assess(errors, slowness.get(), enoughSlices), new Evidence.Intervals(outcomes, errors, slowness.get()));
    }

    private static Assessment assess(Evidence.Comparison errors, Evidence.Comparison slowness, boolean enoughSlices) {
        if (slowness.isAbove() && enoughSlices) {
            return Assessment.SLOW;
        }
        return errors.isBelow() && slowness.isBelow() ? Assessment.PASS : Assessment.CLOSE;
    }

    private Evidence.Comparison compareErrors(
            List<OutcomeWindow> windows, List<OutcomeWindow> earlier, Strictness strictness) {
        double bar = errorBar(earlier, strictness.margin());
        ErrorCount[] counts = OutcomeWindow.errorCounts(windows);
        Bootstrap.Interval interval = Bootstrap.interval(
                windows.size(),
                strictness.widening(),
                context.random(),
                multiplicities -> Bootstrap.errorShare(counts, multiplicities));
        return new Evidence.Comparison(interval, bar);
    }

    /** Empty where too few outcomes have a usual latency under like load to be set against. */
    private Optional<Evidence.Comparison> compareSlowness(
            List<OutcomeWindow> windows, List<OutcomeWindow> earlier, Strictness strictness) {
        LatencyByLoad usual = new LatencyByLoad(earlier, MIN_OUTCOMES_PER_LOAD);
        RelativeLatency[] earlierLatencies = usual.relativeTo(earlier, 0);
        RelativeLatency[] latencies = usual.relativeTo(windows, warmUpUs());
        if (latencies.length < strictness.minOutcomes() || earlierLatencies.length == 0) {
            return Optional.empty();
        }
        double bar = strictness.margin() * percentile(earlierLatencies, earlier.size());
        Bootstrap.Interval interval = Bootstrap.interval(
                windows.size(),
                strictness.widening(),
                context.random(),
                multiplicities -> Bootstrap.percentile(latencies, multiplicities, PERCENTILE));
        return Optional.of(new Evidence.Comparison(interval, bar));
    }

    /** The error bar: what strikes both builds is not held against one, but faulty earlier endpoints are no excuse. */
    private static double errorBar(List<OutcomeWindow> earlier, double margin) {
        ErrorCount[] counts = OutcomeWindow.errorCounts(OutcomeWindow.without(earlier, faultyEndpoints(earlier)));
        double earlierShare = Bootstrap.errorShare(counts, Bootstrap.eachOnce(earlier.size()));
        double leastBar = margin > MARGIN ? margin * ERROR_BAR : ERROR_BAR;
        return Math.max(leastBar, Math.max(margin, MARGIN) * earlierShare);
    }

    /**
     * The earlier build's endpoints with the most errors. Only endpoints of known identity with enough outcomes can be told
     * apart: with fewer, the errors themselves would be left out.
     */
    private static List<Object> faultyEndpoints(List<OutcomeWindow> earlier) {
        List<Object> worstFirst = OutcomeWindow.worstFirst(earlier, AttemptOutcome::error);
        boolean known = !earlier.isEmpty()
                && worstFirst.get(0) instanceof EndpointState
                && OutcomeWindow.size(earlier) >= LatencyEstimates.PRIOR_WEIGHT * worstFirst.size();
        return worstFirst.subList(0, known ? (int) Math.ceil(worstFirst.size() * FAULTY_SHARE) : 0);
    }

    /** The percentile of latencies as observed; 0 where there are none. */
    static double percentile(RelativeLatency[] latencies, int slices) {
        return Bootstrap.percentile(latencies, Bootstrap.eachOnce(slices), PERCENTILE);
    }

    /** The age from which an endpoint's latency counts. */
    long warmUpUs() {
        return Math.max(WARM_UP_US, context.settings().slowStartUs());
    }
}
