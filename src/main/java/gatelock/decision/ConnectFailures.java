package gatelock.decision;

/** How often connects fail at endpoints not canary, and how many failed attempts were errors rather than silence. */
final class ConnectFailures {
    /** Connections are scarce if more than this share of connects fails. */
    private static final double SCARCE_SHARE = 0.05;

    private final DecisionClock clock;
    private final DecayingSum refusals = new DecayingSum(Throughput.WORK_MEMORY_US);
    private final DecayingSum errors = new DecayingSum(Throughput.WORK_MEMORY_US);

    ConnectFailures(DecisionClock clock) {
        this.clock = clock;
    }

    /** An attempt at an endpoint not canary has ended. */
    void recordConnect(boolean refused) {
        refusals.add(clock.nowUs(), refused ? 1 : 0);
    }

    /** An attempt has failed, with an error or without an answer or a connection. */
    void recordFailure(boolean isError) {
        errors.add(clock.nowUs(), isError ? 1 : 0);
    }

    /** The share of failed attempts that were errors of an endpoint; 1 where none failed recently. */
    double errorShareOfFailures() {
        return errors.mean(clock.nowUs(), 1);
    }

    /**
     * Guards against endpoints that accept few connections, for whatever cause: connects fail also where no build is
     * canary. Then this relay keeps to connections that stand, failed connects say nothing of a build, and going on to
     * another endpoint costs little. Could harm where a released build crashes: its failed connects no longer call it
     * back.
     */
    boolean connectionsAreScarce() {
        return refusals.mean(clock.nowUs(), 0) > SCARCE_SHARE;
    }
}
