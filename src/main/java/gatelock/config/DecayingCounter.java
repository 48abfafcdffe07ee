package gatelock.config;

/** A counter that decays exponentially, so that it reflects recent events only. */
final class DecayingCounter {
    private final double timeConstantUs;
    private double count;
    private long updatedUs;

    /** Creates a counter at 0; without increments, its value falls to 1/e every {@code timeConstantUs} microseconds. */
    DecayingCounter(double timeConstantUs) {
        this.timeConstantUs = timeConstantUs;
    }

    /** Returns the decayed count at the given time. */
    double read(long nowUs) {
        if (nowUs > updatedUs) {
            count *= Math.exp((updatedUs - nowUs) / timeConstantUs);
            updatedUs = nowUs;
        }
        return count;
    }

    /** Adds 1 to the count at the given time. */
    void increment(long nowUs) {
        count = read(nowUs) + 1;
    }
}
