package gatelock.decision;

/** The time of the current call, in microseconds of the caller's clock, and the relay's own latest stall. */
final class DecisionClock {
    static final long SECOND_US = 1_000_000;

    /** Without any call for this long, which is two ticks and more, the relay itself has stalled. */
    private static final long STALL_US = 600_000;

    /** How long after a stall its backlog still has capacity of its own. */
    private static final long BACKLOG_US = SECOND_US;

    private long nowUs;
    private long startUs;
    private long stallEndUs = Long.MIN_VALUE / 2;
    private long stallUs;

    /**
     * Sets the time of the call that begins. Guards against this relay having stalled: what is handled in the call that
     * ends a stall is late through no endpoint's fault.
     */
    void advanceTo(long callUs) {
        if (callUs - nowUs > STALL_US && nowUs > 0) {
            stallEndUs = callUs;
            stallUs = callUs - nowUs;
        }
        nowUs = callUs;
    }

    /** Marks the current call as the start of the relay. */
    void markStart() {
        startUs = nowUs;
    }

    long nowUs() {
        return nowUs;
    }

    long startUs() {
        return startUs;
    }

    /** Whether the current call is the first one after a stall, so that measured times say nothing of endpoints. */
    boolean justStalled() {
        return stallEndUs == nowUs;
    }

    /** The length of a stall that ended within the last second; 0 where there was none. */
    long recentStallUs() {
        return nowUs - stallEndUs < BACKLOG_US ? stallUs : 0;
    }
}
