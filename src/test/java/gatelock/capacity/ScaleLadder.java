package gatelock.capacity;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleUnaryOperator;

/** At which share of the target each bound is crossed, before and after the mechanism 'membership by scope'. */
final class ScaleLadder {
    /** Shares below this are not examined: the fleet has half a relay there. */
    static final double MIN_SHARE = 1e-4;

    /** Shares that are examined, evenly spaced on a logarithmic scale. */
    private static final int SAMPLES = 80;
    /** Halvings of the interval in which a bound is crossed. */
    private static final int BISECTIONS = 24;

    private ScaleLadder() {}

    /**
     * A metric on the ladder.
     *
     * @param ratios figure to bound at each step
     * @param ratiosWithSubsets the same once membership by scope is in place
     * @param crossedAt the share of the target at which the bound is first crossed; infinite: not up to the whole
     *     target, NaN: not measured
     * @param crossedAtWithSubsets the same once membership by scope is in place
     */
    record Rung(
            CapacityModel.Metric metric,
            List<Double> ratios,
            List<Double> ratiosWithSubsets,
            double crossedAt,
            double crossedAtWithSubsets) {

        /** The ratio at the last step, the whole target. */
        double lastRatio() {
            return ratios.get(ratios.size() - 1);
        }

        double lastRatioWithSubsets() {
            return ratiosWithSubsets.get(ratiosWithSubsets.size() - 1);
        }
    }

    /** All metrics on the ladder: those crossed first in front, then those not crossed, then those not measured. */
    static List<Rung> rungs(CapacityEvaluator evaluator) {
        return evaluator.model().metrics().stream()
                .filter(metric -> metric.ladderLoad() != null)
                .map(metric -> rung(evaluator, metric))
                .sorted(Comparator.comparingDouble(Rung::crossedAt))
                .toList();
    }

    private static Rung rung(CapacityEvaluator evaluator, CapacityModel.Metric metric) {
        DoubleUnaryOperator ratio =
                share -> evaluator.evaluate(metric, share, metric.ladderLoad()).ratio();
        DoubleUnaryOperator ratioWithSubsets = share -> evaluator
                .evaluateWithSubsets(metric, share, metric.ladderLoad())
                .ratio();
        List<CapacityTarget.Step> steps = evaluator.target().steps();
        return new Rung(
                metric,
                ratiosAt(steps, ratio),
                ratiosAt(steps, ratioWithSubsets),
                crossing(ratio),
                crossing(ratioWithSubsets));
    }

    private static List<Double> ratiosAt(List<CapacityTarget.Step> steps, DoubleUnaryOperator ratio) {
        return steps.stream().map(step -> ratio.applyAsDouble(step.share())).toList();
    }

    /** The least share at which a ratio passes 1; infinite: none up to 1; NaN: not known. */
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

    /** The name of the first step at which a ratio is over 1; empty: none. */
    static Optional<String> firstStepOver(List<CapacityTarget.Step> steps, List<Double> ratios) {
        for (int i = 0; i < ratios.size(); i++) {
            if (ratios.get(i) > 1) {
                return Optional.of(steps.get(i).name());
            }
        }
        return Optional.empty();
    }
}
