package gatelock.decision;

/** The time of the current call, in microseconds of the caller's clock, and the latest stall of this relay. */
final class DecisionClock {
    static final long SECOND_US = 1_000_000;

    /** The relay itself has stalled if there was no call for this long, which is more than two ticks. */
    private static final long STALL_THRESHOLD_US = 600_000;

    /** How long after a stall the requests that queued up during it get additional capacity. */
    private static final long BACKLOG_US = SECOND_US;

    private long nowUs;
    private long startUs;
    private long stallEndUs = Long.MIN_VALUE / 2;
    private long stallUs;

    /**
     * Sets the time of the call that begins, and detects a stall of this relay. Latencies reported in the call that
     * ends a stall are high through no fault of the endpoints.
     */
    void advanceTo(long callUs) {
        if (callUs - nowUs > STALL_THRESHOLD_US && nowUs > 0) {
            stallEndUs = callUs;
            stallUs = callUs - nowUs;
        }
        nowUs = callUs;
    }

    /** Marks the current call as the start of the relay. */
    void markStart() {
        startUs = nowUs;
    }

    /** Returns the time of the current call. */
    long nowUs() {
        return nowUs;
    }

    /** Returns the time at which the relay started. */
    long startUs() {
        return startUs;
    }

    /**
     * Whether the current call is the first one after a stall, so that measured latencies tell nothing about endpoints.
     */
    boolean justStalled() {
        return stallEndUs == nowUs;
    }

    /** Returns the length of a stall that ended within the last second; 0 if there was none. */
    long recentStallUs() {
        return nowUs - stallEndUs < BACKLOG_US ? stallUs : 0;
    }
}
