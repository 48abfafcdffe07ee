package gatelock.capacity;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleUnaryOperator;

/**
 * Finds the share of the target at which each bound is crossed, without and with the mechanism 'membership by scope'.
 * The ladder is the sequence of shares of the target at which metrics are evaluated.
 */
final class ScaleLadder {
    /** Smallest share that is examined; at this share the fleet has about half a relay. */
    static final double MIN_SHARE = 1e-4;

    /** Number of intervals between the examined shares, which are evenly spaced on a logarithmic scale. */
    private static final int SAMPLES = 80;
    /** Number of bisections of the interval in which a bound is crossed. */
    private static final int BISECTIONS = 24;

    private ScaleLadder() {}

    /**
     * The ratios of a metric to its bound at the steps of the ladder.
     *
     * @param ratios ratio of the metric to its bound at each step
     * @param ratiosWithSubsets the same ratios with membership by scope
     * @param crossedAt smallest share of the target at which the bound is crossed; infinite if it is not crossed up to
     *     the whole target, NaN if the metric was not measured
     * @param crossedAtWithSubsets the same share with membership by scope
     */
    record ScalingCurve(
            CapacityModel.Metric metric,
            List<Double> ratios,
            List<Double> ratiosWithSubsets,
            double crossedAt,
            double crossedAtWithSubsets) {

        /** Returns the ratio at the last step, the whole target. */
        double lastRatio() {
            return ratios.get(ratios.size() - 1);
        }

        /** Returns the ratio at the last step with membership by scope. */
        double lastRatioWithSubsets() {
            return ratiosWithSubsets.get(ratiosWithSubsets.size() - 1);
        }
    }

    /**
     * Returns the curves of all metrics on the ladder, sorted by the share at which their bound is crossed; bounds that
     * are not crossed come next, then metrics that were not measured.
     */
    static List<ScalingCurve> scalingCurves(CapacityEvaluator evaluator) {
        return evaluator.model().metrics().stream()
                .filter(metric -> metric.ladderLoad() != null)
                .map(metric -> scalingCurve(evaluator, metric))
                .sorted(Comparator.comparingDouble(ScalingCurve::crossedAt))
                .toList();
    }

    private static ScalingCurve scalingCurve(CapacityEvaluator evaluator, CapacityModel.Metric metric) {
        DoubleUnaryOperator ratio =
                share -> evaluator.evaluate(metric, share, metric.ladderLoad()).ratio();
        DoubleUnaryOperator ratioWithSubsets = share -> evaluator
                .evaluateWithSubsets(metric, share, metric.ladderLoad())
                .ratio();
        List<CapacityTarget.Step> steps = evaluator.target().steps();
        return new ScalingCurve(
                metric,
                ratiosAt(steps, ratio),
                ratiosAt(steps, ratioWithSubsets),
                crossing(ratio),
                crossing(ratioWithSubsets));
    }

    private static List<Double> ratiosAt(List<CapacityTarget.Step> steps, DoubleUnaryOperator ratio) {
        return steps.stream().map(step -> ratio.applyAsDouble(step.share())).toList();
    }

    /**
     * Returns the smallest share at which a ratio exceeds 1. It is infinite if the ratio does not exceed 1 up to the
     * whole target, and NaN if the ratio at the whole target is not known.
     */
    static double crossing(DoubleUnaryOperator ratio) {
        if (Double.isNaN(ratio.applyAsDouble(1))) {
            return Double.NaN;
        }
        double below = MIN_SHARE;
        for (int i = 0; i <= SAMPLES; i++) {
            double share = MIN_SHARE * Math.pow(1 / MIN_SHARE, (double) i / SAMPLES);
            if (ratio.applyAsDouble(share) > 1) {
                return i == 0 ? MIN_SHARE : bisect(ratio, below, share);
            }
            below = share;
        }
        return Double.POSITIVE_INFINITY;
    }

    private static double bisect(DoubleUnaryOperator ratio, double below, double above) {
        double low = below;
        double high = above;
        for (int i = 0; i < BISECTIONS; i++) {
            double middle = Math.sqrt(low * high);
            if (ratio.applyAsDouble(middle) > 1) {
                high = middle;
            } else {
                low = middle;
            }
        }
        return high;
    }

    /** Returns the name of the first step at which the ratio exceeds 1, or empty if there is none. */
    static Optional<String> firstStepOver(List<CapacityTarget.Step> steps, List<Double> ratios) {
        for (int i = 0; i < ratios.size(); i++) {
            if (ratios.get(i) > 1) {
                return Optional.of(steps.get(i).name());
            }
        }
        return Optional.empty();
    }
}
