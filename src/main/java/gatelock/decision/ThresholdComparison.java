package gatelock.decision;

import java.util.List;
import java.util.Optional;

/**
 * Compares the bootstrapped confidence intervals of a build's error rate and relative latency with thresholds that are
 * derived from the earlier build.
 */
final class ThresholdComparison {
    /** The specified minimum number of outcomes for a verdict. */
    static final int MIN_OUTCOMES = 20;

    /** The specified latency percentile. */
    static final double PERCENTILE = 0.9;

    /** The specified threshold of the error rate, unless the earlier build causes a higher one. */
    static final double ERROR_THRESHOLD = 0.02;

    /**
     * The factor on the earlier build's values. The specified factor is 1.25, but endpoints of one instance type differ
     * by a fifth.
     */
    static final double MARGIN = 1.5;

    /** The minimum number of the earlier build's outcomes for a mean latency under similar load. */
    static final int MIN_OUTCOMES_PER_LOAD = MIN_OUTCOMES / 2;

    /** Faults are assumed to cause errors at no more than this share of the endpoints. */
    static final double MAX_FAULTY_ENDPOINT_SHARE = 0.25;

    /** The specified endpoint age from which latencies count, unless the settings specify a longer slow start. */
    private static final long WARM_UP_US = 3 * DecisionClock.SECOND_US;

    /** The minimum number of windows for a confident failure, as two windows do not show the variance. */
    private static final int MIN_WINDOWS = 3;

    private final DecisionContext context;

    /** Creates a comparison that draws from the context's random generator. */
    ThresholdComparison(DecisionContext context) {
        this.context = context;
    }

    /**
     * How strictly outcomes are compared.
     *
     * @param margin the factor from the earlier build's values to the thresholds
     * @param widening the factor by which the lower end of an interval is moved away from the median
     * @param minOutcomes the minimum number of outcomes for a verdict
     */
    record Strictness(double margin, double widening, int minOutcomes) {}

    /** Compares a build's outcomes with those of the earlier build. */
    Finding compare(List<OutcomeWindow> windows, List<OutcomeWindow> earlier, Strictness strictness) {
        int outcomes = OutcomeWindow.size(windows);
        if (outcomes < strictness.minOutcomes()) {
            return new Finding(Assessment.NO_VERDICT, new Evidence.Intervals(outcomes, null, null));
        }
        boolean enoughWindows = windows.size() >= MIN_WINDOWS;
        Evidence.Comparison errors = compareErrors(windows, earlier, strictness);
        Evidence errorEvidence = new Evidence.Intervals(outcomes, errors, null);
        if (errors.isAbove() && enoughWindows) {
            return new Finding(Assessment.ERRORS, errorEvidence);
        }
        Optional<Evidence.Comparison> slowness = compareSlowness(windows, earlier, strictness);
        if (slowness.isEmpty()) {
            return new Finding(Assessment.NO_VERDICT, errorEvidence);
        }
        return new Finding(
                assess(errors, slowness.get(), enoughWindows),
                new Evidence.Intervals(outcomes, errors, slowness.get()));
    }

    private static Assessment assess(Evidence.Comparison errors, Evidence.Comparison slowness, boolean enoughWindows) {
        if (slowness.isAbove() && enoughWindows) {
            return Assessment.SLOW;
        }
        return errors.isBelow() && slowness.isBelow() ? Assessment.PASS : Assessment.INCONCLUSIVE;
    }

    private Evidence.Comparison compareErrors(
            List<OutcomeWindow> windows, List<OutcomeWindow> earlier, Strictness strictness) {
        double threshold = errorThreshold(earlier, strictness.margin());
        ErrorCount[] counts = OutcomeWindow.errorCounts(windows);
        Bootstrap.Interval interval = Bootstrap.interval(
                windows.size(),
                strictness.widening(),
                context.random(),
                multiplicities -> Bootstrap.errorShare(counts, multiplicities));
        return new Evidence.Comparison(interval, threshold);
    }

    /** Compares the latencies; empty if too few outcomes have a baseline latency under similar load. */
    private Optional<Evidence.Comparison> compareSlowness(
            List<OutcomeWindow> windows, List<OutcomeWindow> earlier, Strictness strictness) {
        LatencyByLoad baseline = new LatencyByLoad(earlier, MIN_OUTCOMES_PER_LOAD);
        RelativeLatency[] earlierLatencies = baseline.relativeTo(earlier, 0);
        RelativeLatency[] latencies = baseline.relativeTo(windows, warmUpUs());
        if (latencies.length < strictness.minOutcomes() || earlierLatencies.length == 0) {
            return Optional.empty();
        }
        double threshold = strictness.margin() * percentile(earlierLatencies, earlier.size());
        Bootstrap.Interval interval = Bootstrap.interval(
                windows.size(),
                strictness.widening(),
                context.random(),
                multiplicities -> Bootstrap.percentile(latencies, multiplicities, PERCENTILE));
        return Optional.of(new Evidence.Comparison(interval, threshold));
    }

    /**
     * Returns the threshold of the error rate. A fault that affects both builds raises it, so that it is not attributed
     * to the new build; errors of faulty endpoints of the earlier build do not.
     */
    private static double errorThreshold(List<OutcomeWindow> earlier, double margin) {
        ErrorCount[] counts = OutcomeWindow.errorCounts(OutcomeWindow.without(earlier, faultyEndpoints(earlier)));
        double earlierShare = Bootstrap.errorShare(counts, Bootstrap.originalSample(earlier.size()));
        double minThreshold = margin > MARGIN ? margin * ERROR_THRESHOLD : ERROR_THRESHOLD;
        return Math.max(minThreshold, Math.max(margin, MARGIN) * earlierShare);
    }

    /**
     * Returns the earlier build's endpoints with the most errors. Faulty endpoints can be told apart only if the
     * endpoints are known and have enough outcomes; with fewer outcomes, excluding the worst endpoints would exclude
     * the errors themselves.
     */
    private static List<Object> faultyEndpoints(List<OutcomeWindow> earlier) {
        List<Object> worstFirst = OutcomeWindow.worstFirst(earlier, AttemptOutcome::error);
        boolean identifiable = !earlier.isEmpty()
                && worstFirst.get(0) instanceof EndpointState
                && OutcomeWindow.size(earlier) >= LatencyEstimates.PRIOR_WEIGHT * worstFirst.size();
        return worstFirst.subList(0, identifiable ? (int) Math.ceil(worstFirst.size() * MAX_FAULTY_ENDPOINT_SHARE) : 0);
    }

    /** Returns the percentile of latencies in the original sample; 0 if there are none. */
    static double percentile(RelativeLatency[] latencies, int windowCount) {
        return Bootstrap.percentile(latencies, Bootstrap.originalSample(windowCount), PERCENTILE);
    }

    /** Returns the endpoint age from which latencies count. */
    long warmUpUs() {
        return Math.max(WARM_UP_US, context.settings().slowStartUs());
    }
}
