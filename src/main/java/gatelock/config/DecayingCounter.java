package gatelock.config;

/** A count that decays exponentially, so that it stands for the recent past. */
final class DecayingCounter {
    private final double timeConstantUs;
    private double count;
    private long updatedUs;

    /** Creates a count of 0, which falls to 1/e in {@code timeConstantUs} microseconds without additions. */
    DecayingCounter(double timeConstantUs) {
        this.timeConstantUs = timeConstantUs;
    }

    /** Returns the count at that time. */
    double read(long nowUs) {
        if (nowUs > updatedUs) {
            count *= Math.exp((updatedUs - nowUs) / timeConstantUs);
            updatedUs = nowUs;
        }
        return count;
    }

    void increment(long nowUs) {
        count = read(nowUs) + 1;
    }
}
