package gatelock.decision;

/** An estimate of the idle connections to one endpoint, each of which is kept for a given time. */
final class IdleConnectionEstimate {
    private int idle;
    private long lastReturnedUs = Long.MIN_VALUE / 2;

    /** Whether an idle connection surely exists. */
    boolean hasIdle(long nowUs, long idleTimeoutUs) {
        return idle > 0 && nowUs - lastReturnedUs < idleTimeoutUs;
    }

    /** A request goes out, on an idle connection if there is any. */
    void acquire(long nowUs, long idleTimeoutUs) {
        idle = hasIdle(nowUs, idleTimeoutUs) ? idle - 1 : 0;
    }

    /** A request has ended and left its connection open. */
    void release(long nowUs, long idleTimeoutUs) {
        idle = (hasIdle(nowUs, idleTimeoutUs) ? idle : 0) + 1;
        lastReturnedUs = nowUs;
    }
}
