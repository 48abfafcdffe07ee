package gatelock.decision;

import java.util.Arrays;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * The bootstrap over slices of time, and the exact binomial figures. A bootstrapped figure is computed from multiplicities:
 * how often each slice was drawn, by its position.
 */
final class Bootstrap {
    private static final int DRAWS = 200;

    /** The share of draws that is left out at either end of an interval, which makes it a 95% interval. */
    private static final double TAIL = 0.025;

    private Bootstrap() {}

    /** The ends of a confidence interval. */
    record Interval(double lower, double upper) {}

    /**
     * The 95% interval of a figure over redrawn slices; its lower end is moved away from the median by a factor.
     *
     * @param slices the number of slices, all of which are redrawn with replacement
     * @param widening how many times as far from the median the lower end is
     */
    static Interval interval(int slices, double widening, RandomGenerator random, ToDoubleFunction<int[]> figure) {
        double[] figures = new double[DRAWS];
        for (int draw = 0; draw < DRAWS; draw++) {
            int[] multiplicities = new int[slices];
            for (int i = 0; i < slices; i++) {
                multiplicities[random.nextInt(slices)]++;
            }
            figures[draw] = figure.applyAsDouble(multiplicities);
        }
        Arrays.sort(figures);
        int cut = (int) (DRAWS * TAIL);
        double median = figures[DRAWS / 2];
        return new Interval(median - (median - figures[cut]) * widening, figures[DRAWS - 1 - cut]);
    }

    /** Each of so many slices drawn once: the figure as it was observed. */
    static int[] eachOnce(int slices) {
        int[] multiplicities = new int[slices];
        Arrays.fill(multiplicities, 1);
        return multiplicities;
    }

    /** The share of failed outcomes; 0 where there are no outcomes. */
    static double errorShare(ErrorCount[] counts, int[] multiplicities) {
        double outcomes = 0;
        double failed = 0;
        for (int i = 0; i < multiplicities.length; i++) {
            outcomes += multiplicities[i] * counts[i].outcomes();
            failed += multiplicities[i] * counts[i].failed();
        }
        return failed / Math.max(1, outcomes);
    }

    /** A percentile (0 to 1) of latencies that are ordered from the highest to the lowest; 0 where there are none. */
    static double percentile(RelativeLatency[] latencies, int[] multiplicities, double percentile) {
        double all = 0;
        for (RelativeLatency latency : latencies) {
            all += multiplicities[latency.slice()];
        }
        double above = 0;
        for (RelativeLatency latency : latencies) {
            above += multiplicities[latency.slice()];
            if (above > 0 && above >= all * (1 - percentile)) {
                return latency.value();
            }
        }
        return 0;
    }

    /** The binomial probability of at least so many cases in so many trials. */
    static double binomialTail(int trials, int cases, double probability) {
        double term = Math.pow(1 - probability, trials);
        double below = 0;
        for (int i = 0; i < cases; i++) {
            below += term;
            term *= (trials - i) / (i + 1.0) * probability / (1 - probability);
        }
        return 1 - below;
    }

    /**
     * The logarithm of how often one voter may be wrong by chance, so that a quorum of them is wrong together no more often
     * than given.
     */
    static double logErrorLevel(double together, int voters, int quorum) {
        double logProbability = Math.log(together);
        for (int i = 0; i < Math.min(quorum, voters); i++) {
            logProbability -= Math.log((voters - i) / (i + 1.0));
        }
        return logProbability / quorum;
    }

    /**
     * The normal quantile: how many standard deviations leave a probability, given by its logarithm, in one tail. The
     * rational approximation is 26.2.22 of Abramowitz and Stegun.
     */
    static double normalQuantile(double logProbability) {
        double t = Math.sqrt(-2 * Math.min(-1, logProbability));
        return t - (2.30753 + 0.27061 * t) / (1 + 0.99229 * t + 0.04481 * t * t);
    }
}
