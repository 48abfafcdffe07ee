package gatelock.decision;

import java.util.Arrays;

/**
 * A sum and a count that decay exponentially: what was added one memory ago counts 1/e. Reading decays too, so that the
 * last bits of a figure depend on when it was read.
 */
final class DecayingSum {
    private final double memoryUs;
    private double sum;
    private double count;
    private long decayedAtUs;

    DecayingSum(double memoryUs) {
        this.memoryUs = memoryUs;
    }

    /** So many empty sums of one memory. */
    static DecayingSum[] arrayOf(int length, double memoryUs) {
        DecayingSum[] sums = new DecayingSum[length];
        Arrays.setAll(sums, i -> new DecayingSum(memoryUs));
        return sums;
    }

    private void decayTo(long nowUs) {
        double remaining = nowUs > decayedAtUs ? Math.exp((decayedAtUs - nowUs) / memoryUs) : 1;
        sum *= remaining;
        count *= remaining;
        decayedAtUs = nowUs;
    }

    void add(long nowUs, double value) {
        decayTo(nowUs);
        sum += value;
        count += 1;
    }

    double sum(long nowUs) {
        decayTo(nowUs);
        return sum;
    }

    double count(long nowUs) {
        decayTo(nowUs);
        return count;
    }

    /** The mean, or the fallback where less than half a value is left. */
    double mean(long nowUs, double fallback) {
        decayTo(nowUs);
        return count >= 0.5 ? sum / count : fallback;
    }

    /** The mean, shrunk towards a prior that weighs as much as so many values. */
    double shrunkMean(long nowUs, double prior, double weight) {
        decayTo(nowUs);
        return (sum + weight * prior) / (count + weight);
    }
}
