package gatelock.config;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: each delay is drawn uniformly between zero and a bound that doubles with each
 * failure. The jitter keeps many relays that lost the same control service from reconnecting at the same moment.
 */
public final class Backoff {
    /** Bounds the left shift that doubles the delay, which would otherwise overflow after many failures in a row. */
    private static final int MAX_DOUBLINGS = 30;

    private final long initialBoundUs;
    private final long maxBoundUs;
    private final RandomGenerator random;
    private int consecutiveFailures;

    /**
     * Creates a backoff without failures.
     *
     * @param initialBoundUs bound on the delay after the first failure
     * @param maxBoundUs bound on any delay
     * @param random source of the jitter
     */
    public Backoff(long initialBoundUs, long maxBoundUs, RandomGenerator random) {
        this.initialBoundUs = initialBoundUs;
        this.maxBoundUs = maxBoundUs;
        this.random = random;
    }

    /** Records a failure and returns a random delay before the next attempt, in microseconds and at least 1. */
    public long nextDelayUs() {
        long boundUs = Math.min(maxBoundUs, initialBoundUs << Math.min(consecutiveFailures, MAX_DOUBLINGS));
        consecutiveFailures++;
        return random.nextLong(Math.max(1, boundUs)) + 1;
    }

    /** Resets the failure count after a success. */
    public void reset() {
        consecutiveFailures = 0;
    }

    /** Returns the number of failures since the last success. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }
}
