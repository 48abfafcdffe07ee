package gatelock.decision;

import java.util.Arrays;

/**
 * A sum and a count that decay exponentially: after one time constant a value counts 1/e. Reading decays them too, so
 * that the last bits of a result depend on when it was read.
 */
final class DecayingSum {
    private final double timeConstantUs;
    private double sum;
    private double count;
    private long decayedAtUs;

    /** Creates an empty sum. */
    DecayingSum(double timeConstantUs) {
        this.timeConstantUs = timeConstantUs;
    }

    /** Creates an array of empty sums with the same time constant. */
    static DecayingSum[] arrayOf(int length, double timeConstantUs) {
        DecayingSum[] sums = new DecayingSum[length];
        Arrays.setAll(sums, i -> new DecayingSum(timeConstantUs));
        return sums;
    }

    private void decayTo(long nowUs) {
        double remaining = nowUs > decayedAtUs ? Math.exp((decayedAtUs - nowUs) / timeConstantUs) : 1;
        sum *= remaining;
        count *= remaining;
        decayedAtUs = nowUs;
    }

    /** Adds a value. */
    void add(long nowUs, double value) {
        decayTo(nowUs);
        sum += value;
        count += 1;
    }

    /** Returns the decayed sum. */
    double sum(long nowUs) {
        decayTo(nowUs);
        return sum;
    }

    /** Returns the decayed number of values. */
    double count(long nowUs) {
        decayTo(nowUs);
        return count;
    }

    /** Returns the mean, or the fallback if the decayed count is below half a value. */
    double mean(long nowUs, double fallback) {
        decayTo(nowUs);
        return count >= 0.5 ? sum / count : fallback;
    }

    /** Returns the mean, shrunk towards a prior that has the weight of this many values. */
    double shrunkMean(long nowUs, double prior, double weight) {
        decayTo(nowUs);
        return (sum + weight * prior) / (count + weight);
    }
}
