package gatelock.config;

import java.util.random.RandomGenerator;

/**
 * How long to wait before the next attempt: drawn evenly from nothing to a bound that doubles with each
 * failure ("full
 * jitter"), so that many relays that lost the same service don't come back to it together.
 */
public final class Backoff {
    private final long firstUs;
    private final long mostUs;
    private final RandomGenerator chance;
    private int failures;

    public Backoff(long firstUs, long mostUs, RandomGenerator chance) {
        this.firstUs = firstUs;
        this.mostUs = mostUs;
        this.chance = chance;
    }

    /** One more failed; the wait until the next. */
    public long failed() {
        long boundUs = Math.min(mostUs, firstUs << Math.min(failures, 30));
        failures++;
        return chance.nextLong(Math.max(1, boundUs)) + 1;
    }

    public void succeeded() {
        failures = 0;
    }

    public int failures() {
        return failures;
    }
}
