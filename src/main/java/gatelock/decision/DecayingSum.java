package gatelock.decision;

import java.util.Arrays;

/** A sum and a count that fade: what was added a memory ago counts 1/e. */
final class DecayingSum {
    private final double memoryUs;
    private double sum;
    private double count;
    private long atUs;

    DecayingSum(double memoryUs) {
        this.memoryUs = memoryUs;
    }

    /** So many of one memory. */
    static DecayingSum[] of(int count, double memoryUs) {
        DecayingSum[] all = new DecayingSum[count];
        Arrays.setAll(all, i -> new DecayingSum(memoryUs));
        return all;
    }

    private void fade(long nowUs) {
        double left = nowUs > atUs ? Math.exp((atUs - nowUs) / memoryUs) : 1;
        sum *= left;
        count *= left;
        atUs = nowUs;
    }

    void add(long nowUs, double value) {
        fade(nowUs);
        sum += value;
        count += 1;
    }

    double sum(long nowUs) {
        fade(nowUs);
        return sum;
    }

    double count(long nowUs) {
        fade(nowUs);
        return count;
    }

    double mean(long nowUs, double otherwise) {
        fade(nowUs);
        return count >= 0.5 ? sum / count : otherwise;
    }

    /** The mean, drawn to a figure that weighs as much as so many values. */
    double drawn(long nowUs, double towards, double weight) {
        fade(nowUs);
        return (sum + weight * towards) / (count + weight);
    }
}
