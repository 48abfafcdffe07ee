package gatelock.decision;

import java.util.Arrays;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Bootstrap resampling over time windows, and exact binomial statistics. A bootstrapped statistic is computed from
 * multiplicities: how often each window was drawn, by its index.
 */
final class Bootstrap {
    private static final int RESAMPLES = 200;

    /** The share of resamples that is cut off at either end of an interval, which makes it a 95% interval. */
    private static final double TAIL_SHARE = 0.025;

    private Bootstrap() {}

    /** A confidence interval. */
    record Interval(double lower, double upper) {}

    /**
     * Returns the 95% confidence interval of a statistic; its lower end is moved away from the median by a factor.
     *
     * @param windowCount the number of windows, which are resampled with replacement
     * @param widening the factor on the distance between the median and the lower end
     */
    static Interval interval(
            int windowCount, double widening, RandomGenerator random, ToDoubleFunction<int[]> statistic) {
        double[] statistics = new double[RESAMPLES];
        for (int resample = 0; resample < RESAMPLES; resample++) {
            int[] multiplicities = new int[windowCount];
            for (int i = 0; i < windowCount; i++) {
                multiplicities[random.nextInt(windowCount)]++;
            }
            statistics[resample] = statistic.applyAsDouble(multiplicities);
        }
        Arrays.sort(statistics);
        int tailResamples = (int) (RESAMPLES * TAIL_SHARE);
        double median = statistics[RESAMPLES / 2];
        return new Interval(
                median - (median - statistics[tailResamples]) * widening, statistics[RESAMPLES - 1 - tailResamples]);
    }

    /** Returns the multiplicities of the original sample, in which each window occurs once. */
    static int[] originalSample(int windowCount) {
        int[] multiplicities = new int[windowCount];
        Arrays.fill(multiplicities, 1);
        return multiplicities;
    }

    /** Returns the share of failed outcomes; 0 if there are no outcomes. */
    static double errorShare(ErrorCount[] counts, int[] multiplicities) {
        double outcomes = 0;
        double failed = 0;
        for (int i = 0; i < multiplicities.length; i++) {
            outcomes += multiplicities[i] * counts[i].outcomes();
            failed += multiplicities[i] * counts[i].failed();
        }
        return failed / Math.max(1, outcomes);
    }

    /** Returns a percentile (0 to 1) of latencies that are sorted in descending order; 0 if there are none. */
    static double percentile(RelativeLatency[] latencies, int[] multiplicities, double percentile) {
        double totalWeight = 0;
        for (RelativeLatency latency : latencies) {
            totalWeight += multiplicities[latency.windowIndex()];
        }
        double weightAbove = 0;
        for (RelativeLatency latency : latencies) {
            weightAbove += multiplicities[latency.windowIndex()];
            if (weightAbove > 0 && weightAbove >= totalWeight * (1 - percentile)) {
                return latency.value();
            }
        }
        return 0;
    }

    /** Returns the binomial probability of at least this number of successes. */
    static double binomialTail(int trials, int successes, double probability) {
        double term = Math.pow(1 - probability, trials);
        double below = 0;
        for (int i = 0; i < successes; i++) {
            below += term;
            term *= (trials - i) / (i + 1.0) * probability / (1 - probability);
        }
        return 1 - below;
    }

    /**
     * Returns the logarithm of the probability with which one voter may be wrong by chance, so that a quorum of the
     * voters is wrong together with at most the given probability.
     */
    static double logErrorLevel(double quorumErrorProbability, int voters, int quorum) {
        double logProbability = Math.log(quorumErrorProbability);
        for (int i = 0; i < Math.min(quorum, voters); i++) {
            logProbability -= Math.log((voters - i) / (i + 1.0));
        }
        return logProbability / quorum;
    }

    /**
     * Returns the normal quantile: the number of standard deviations beyond which one tail has the probability that is
     * given by its logarithm. Uses the rational approximation 26.2.22 of Abramowitz and Stegun.
     */
    static double normalQuantile(double logProbability) {
        double t = Math.sqrt(-2 * Math.min(-1, logProbability));
        return t - (2.30753 + 0.27061 * t) / (1 + 0.99229 * t + 0.04481 * t * t);
    }
}
