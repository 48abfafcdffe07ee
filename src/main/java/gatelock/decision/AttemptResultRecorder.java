package gatelock.decision;

import gatelock.api.AttemptResult;
import gatelock.api.LoadReport;

/** Records the result of each attempt in the measurements of its endpoint, build, route and zone. */
final class AttemptResultRecorder {
    private final DecisionContext context;
    private final OutlierDetector outliers;
    private final StickyBuilds stickyBuilds;

    /** Creates a recorder that updates the measurements of the context. */
    AttemptResultRecorder(DecisionContext context, OutlierDetector outliers, StickyBuilds stickyBuilds) {
        this.context = context;
        this.outliers = outliers;
        this.stickyBuilds = stickyBuilds;
    }

    /** Records an attempt that ended {@code durationUs} after it was sent. */
    void record(Attempt attempt, long durationUs, LoadReport load) {
        AttemptResult result = attempt.result();
        attempt.endpoint().attemptEnded(attempt, leavesConnectionOpen(result));
        if (result == AttemptResult.NOT_SENT || isCancelledByClient(attempt)) {
            return;
        }
        double latencyPerCost = (double) durationUs / attempt.request().costUs();
        // The additional latency that a route has at every endpoint is not attributed to this endpoint or its build.
        double slowness =
                latencyPerCost / context.latency().routeFactor(attempt.request().route());
        recordConnect(attempt);
        recordZoneOutcome(attempt);
        if (result == AttemptResult.COMPLETED) {
            recordAnswer(attempt, durationUs, slowness);
        } else {
            recordFailure(attempt);
        }
        recordRouteSlowness(attempt, latencyPerCost);
        if (!Double.isNaN(load.queuedRequests())) {
            attempt.endpoint().recordReportedQueue(load.queuedRequests());
        }
        if (isEvidence(result)) {
            recordOutcome(attempt, durationUs, slowness);
        }
    }

    private static boolean isCancelledByClient(Attempt attempt) {
        return attempt.result() == AttemptResult.CANCELLED && !attempt.isCancelled();
    }

    private static boolean leavesConnectionOpen(AttemptResult result) {
        return result == AttemptResult.COMPLETED
                || result == AttemptResult.ERRORED
                || result == AttemptResult.TURNED_AWAY;
    }

    /**
     * Whether an attempt got no answer. It counts as a very slow attempt, not as an error, because load alone can cause
     * it.
     */
    private static boolean isUnanswered(AttemptResult result) {
        return result == AttemptResult.TIMED_OUT || result == AttemptResult.CANCELLED;
    }

    private void recordConnect(Attempt attempt) {
        if (!attempt.endpoint().isCanary()) {
            context.connectFailures().recordConnect(attempt.result() == AttemptResult.NOT_CONNECTED);
        }
    }

    /**
     * Records whether an attempt timed out in its zone. The timeout of an overdue attempt was counted when it became
     * overdue.
     */
    private void recordZoneOutcome(Attempt attempt) {
        AttemptResult result = attempt.result();
        boolean timedOut = result == AttemptResult.TIMED_OUT;
        boolean alreadyCounted = timedOut && attempt.isOverdue();
        if (result != AttemptResult.CANCELLED && result != AttemptResult.NOT_CONNECTED && !alreadyCounted) {
            outliers.recordZoneOutcome(attempt.endpoint().entry().zone(), timedOut);
        }
    }

    private void recordAnswer(Attempt attempt, long durationUs, double slowness) {
        EndpointState endpoint = attempt.endpoint();
        RequestState request = attempt.request();
        endpoint.recordAnswer();
        context.throughput().requestCompleted(request.costUs());
        if (!context.clock().justStalled()) {
            recordSlowness(endpoint, slowness);
        }
        context.latency().recordCost(request.route(), request.hasAnnouncedCost() ? request.costUs() : durationUs);
        int build = endpoint.build().number();
        boolean forwardOnly = context.settings().rollout().forwardOnly();
        if (build >= context.rollout().newestBuild() && forwardOnly && request.hasKey()) {
            stickyBuilds.recordAnswer(request.key(), build);
        }
    }

    private void recordSlowness(EndpointState endpoint, double slowness) {
        endpoint.recordSlowness(slowness);
        if (!endpoint.isWarmingUp()) {
            endpoint.build().slowness().add(context.nowUs(), slowness);
        }
        if (!endpoint.isCanary()) {
            context.latency().recordSlowness(endpoint.entry().instanceType(), slowness);
        }
    }

    private void recordFailure(Attempt attempt) {
        if (!attempt.isOverdue()) {
            attempt.endpoint().recordFailure();
        }
        AttemptResult result = attempt.result();
        boolean isError = !isUnanswered(result) && !isDueToScarceConnections(result);
        context.connectFailures().recordFailure(isError);
    }

    private boolean isDueToScarceConnections(AttemptResult result) {
        return result == AttemptResult.NOT_CONNECTED
                && context.connectFailures().connectionsAreScarce();
    }

    /**
     * Records the slowness of a route. An unanswered attempt counts only if its endpoint has answered others since it
     * was sent: an endpoint that answers nothing tells nothing about one route and would make the route look late
     * everywhere.
     */
    private void recordRouteSlowness(Attempt attempt, double latencyPerCost) {
        AttemptResult result = attempt.result();
        boolean isInformative = result == AttemptResult.COMPLETED
                || (isUnanswered(result) && attempt.endpoint().hasAnsweredSince(attempt.sentUs()));
        if (!attempt.endpoint().isCanary() && !context.clock().justStalled() && isInformative) {
            context.latency().recordRouteSlowness(attempt.request().route(), latencyPerCost);
        }
    }

    /**
     * Whether a result is evidence about its build. A failed connect is not while connections are scarce, and a latency
     * is not if it was measured across a stall of this relay.
     */
    private boolean isEvidence(AttemptResult result) {
        boolean isTimed = isUnanswered(result) || result == AttemptResult.COMPLETED;
        return !isDueToScarceConnections(result) && !(isTimed && context.clock().justStalled());
    }

    private void recordOutcome(Attempt attempt, long durationUs, double slowness) {
        EndpointState endpoint = attempt.endpoint();
        AttemptResult result = attempt.result();
        int otherRelays = context.settings().relayCount() - 1;
        double otherRelaysLoad = otherRelays * endpoint.meanQueueLength();
        double ownLoad = (attempt.queueLength() + endpoint.attemptsInFlight().size()) / 2.0;
        boolean failed = result != AttemptResult.COMPLETED && !isUnanswered(result);
        boolean missedObjective = durationUs > attempt.request().policy().latencyObjectiveUs();
        endpoint.build().recordOutcome(endpoint, failed, missedObjective, slowness, ownLoad + otherRelaysLoad);
    }
}
