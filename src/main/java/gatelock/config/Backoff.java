package gatelock.config;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: each delay is drawn uniformly between nothing and a bound that doubles with each
 * failure. The jitter keeps many relays that lost the same control service from coming back to it at the same moment.
 */
public final class Backoff {
    /** Bounds the shift of the doubling, which a long row of failures would otherwise overflow. */
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

    /** Counts one more failure and draws the delay before the next attempt, in microseconds; at least 1. */
    public long nextDelayUs() {
        long boundUs = Math.min(maxBoundUs, initialBoundUs << Math.min(consecutiveFailures, MAX_DOUBLINGS));
        consecutiveFailures++;
        return random.nextLong(Math.max(1, boundUs)) + 1;
    }

    /** Forgets the failures after a success. */
    public void reset() {
        consecutiveFailures = 0;
    }

    /** Returns the number of failures since the last success. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }
}
