package gatelock.decision;

/** Connections to one endpoint that stand without a request, each kept for so long. */
final class IdleConnectionEstimate {
    private int idle;
    private long leftUs = Long.MIN_VALUE / 2;

    /** Whether one surely stands. */
    boolean stands(long nowUs, long keptUs) {
        return idle > 0 && nowUs - leftUs < keptUs;
    }

    /** A request goes out, on one that stands if there is any. */
    void use(long nowUs, long keptUs) {
        idle = stands(nowUs, keptUs) ? idle - 1 : 0;
    }

    /** A request has left one that stands on. */
    void leave(long nowUs, long keptUs) {
        idle = (stands(nowUs, keptUs) ? idle : 0) + 1;
        leftUs = nowUs;
    }
}
