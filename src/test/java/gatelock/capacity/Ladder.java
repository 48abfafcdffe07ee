package gatelock.capacity;

import java.util.Comparator;
import java.util.List;
import java.util.function.DoubleUnaryOperator;

/** At which share of the target each bound is crossed, before and after the mechanism 'membership by scope'. */
final class Ladder {
    /** No share is looked at below this: it is a fleet of half a relay. */
    static final double LEAST = 1e-4;

    private static final int LOOKS = 80;
    private static final int HALVINGS = 24;

    private Ladder() {}

    /**
     * A bound on the ladder: its factor at each step; {@code crossed}: the share of the target at which it is first
     * crossed, infinite: not up to all of it, NaN: not measured.
     */
    record Rung(Lines.Line line, double[] before, double[] after, double crossed, double crossedAfter) {}

    /** All bounds, the one crossed first in front; those not crossed after them, those not measured last. */
    static List<Rung> climb(Capacity capacity) {
        return capacity.lines().lines().stream()
                .filter(l -> l.ladder() != null)
                .map(l -> {
                    DoubleUnaryOperator before =
                            share -> capacity.figure(l, share, l.ladder()).factor();
                    DoubleUnaryOperator after =
                            share -> capacity.after(l, share, l.ladder()).factor();
                    return new Rung(
                            l,
                            at(capacity.target(), before),
                            at(capacity.target(), after),
                            crossing(before),
                            crossing(after));
                })
                .sorted(Comparator.comparingDouble(Rung::crossed))
                .toList();
    }

    private static double[] at(Target target, DoubleUnaryOperator factor) {
        return target.steps().stream()
                .mapToDouble(s -> factor.applyAsDouble(s.share()))
                .toArray();
    }

    /** The least share at which the factor passes 1; infinite: none up to 1; NaN: it is not known. */
    static double crossing(DoubleUnaryOperator factor) {
        if (Double.isNaN(factor.applyAsDouble(1))) {
            return Double.NaN;
        }
        double below = LEAST;
        for (int i = 0; i <= LOOKS; i++) {
            double share = LEAST * Math.pow(1 / LEAST, (double) i / LOOKS);
            if (factor.applyAsDouble(share) > 1) {
                return i == 0 ? LEAST : between(factor, below, share);
            }
            below = share;
        }
        return Double.POSITIVE_INFINITY;
    }

    private static double between(DoubleUnaryOperator factor, double below, double above) {
        double low = below;
        double high = above;
        for (int i = 0; i < HALVINGS; i++) {
            double middle = Math.sqrt(low * high);
            if (factor.applyAsDouble(middle) > 1) {
                high = middle;
            } else {
                low = middle;
            }
        }
        return high;
    }

    /** The first step at which the factor is over 1; null: none. */
    static String step(List<Target.Step> steps, double[] factors) {
        for (int i = 0; i < factors.length; i++) {
            if (factors[i] > 1) {
                return steps.get(i).name();
            }
        }
        return null;
    }
}
