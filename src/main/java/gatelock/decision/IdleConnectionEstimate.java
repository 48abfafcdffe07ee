package gatelock.decision;

/** Estimates the number of idle connections to one endpoint, each of which is closed after an idle timeout. */
final class IdleConnectionEstimate {
    private int idle;
    private long lastReturnedUs = Long.MIN_VALUE / 2;

    /** Whether an idle connection almost certainly exists. */
    boolean hasIdle(long nowUs, long idleTimeoutUs) {
        return idle > 0 && nowUs - lastReturnedUs < idleTimeoutUs;
    }

    /** Records a request that is sent, on an idle connection if there is one. */
    void acquire(long nowUs, long idleTimeoutUs) {
        idle = hasIdle(nowUs, idleTimeoutUs) ? idle - 1 : 0;
    }

    /** Records a request that has ended and left its connection open. */
    void release(long nowUs, long idleTimeoutUs) {
        idle = (hasIdle(nowUs, idleTimeoutUs) ? idle : 0) + 1;
        lastReturnedUs = nowUs;
    }
}
