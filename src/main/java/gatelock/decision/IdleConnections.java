package gatelock.decision;

/** Connections to one unit that stand without a req, and when the last of them was left so. */
final class IdleConnections {
    private final long keptUs;
    private int idle;
    private long leftUs = Long.MIN_VALUE / 2;

    /** A connection stands for so long after it was left. */
    IdleConnections(long keptUs) {
        this.keptUs = keptUs;
    }

    void left(long nowUs) {
        idle = (stand(nowUs) ? idle : 0) + 1;
        leftUs = nowUs;
    }

    void used(long nowUs) {
        idle = stand(nowUs) ? idle - 1 : 0;
    }

    /** Whether one surely stands. */
    boolean stand(long nowUs) {
        return idle > 0 && nowUs - leftUs < keptUs;
    }
}
