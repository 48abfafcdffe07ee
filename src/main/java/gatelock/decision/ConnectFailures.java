package gatelock.decision;

/**
 * Measures how often connects fail at endpoints not running the canary, and which share of all failed attempts were
 * errors instead of missing answers.
 */
final class ConnectFailures {
    /** Connections count as scarce if more than this share of connects fails. */
    private static final double SCARCITY_THRESHOLD = 0.05;

    private final DecisionClock clock;
    private final DecayingSum failedConnects = new DecayingSum(Throughput.WORK_TIME_CONSTANT_US);
    private final DecayingSum errors = new DecayingSum(Throughput.WORK_TIME_CONSTANT_US);

    /** Creates a measurement without values. */
    ConnectFailures(DecisionClock clock) {
        this.clock = clock;
    }

    /** Records whether an attempt at an endpoint not running the canary failed to connect. */
    void recordConnect(boolean failed) {
        failedConnects.add(clock.nowUs(), failed ? 1 : 0);
    }

    /** Records a failed attempt: an error, or a missing answer or connection. */
    void recordFailure(boolean isError) {
        errors.add(clock.nowUs(), isError ? 1 : 0);
    }

    /** Returns the share of failed attempts that were errors of an endpoint; 1 if none failed recently. */
    double errorShareOfFailures() {
        return errors.mean(clock.nowUs(), 1);
    }

    /**
     * Whether endpoints accept only few connections, whatever the cause: connects also fail at builds that are not the
     * canary. In this state the relay prefers open connections, failed connects are not evidence about a build, and a
     * retry at another endpoint costs little. Can delay the rollback of a released build that crashes, as its failed
     * connects no longer count.
     */
    boolean connectionsAreScarce() {
        return failedConnects.mean(clock.nowUs(), 0) > SCARCITY_THRESHOLD;
    }
}
