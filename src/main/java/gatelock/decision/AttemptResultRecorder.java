package gatelock.decision;

import gatelock.api.AttemptResult;
import gatelock.api.LoadReport;

/** Records what the end of an attempt tells of its endpoint, build, route and zone. */
final class AttemptResultRecorder {
    private final DecisionContext context;
    private final OutlierDetector outliers;
    private final StickyBuilds stickyBuilds;

    AttemptResultRecorder(DecisionContext context, OutlierDetector outliers, StickyBuilds stickyBuilds) {
        this.context = context;
        this.outliers = outliers;
        this.stickyBuilds = stickyBuilds;
    }

    /** Records an attempt that has ended, {@code tookUs} after it was sent. */
    void record(Attempt attempt, long tookUs, LoadReport load) {
        AttemptResult result = attempt.result();
        attempt.endpoint().attemptEnded(attempt, leavesConnectionOpen(result));
        if (result == AttemptResult.NOT_SENT || isCancelledByClient(attempt)) {
            return;
        }
        double timePerWork = (double) tookUs / attempt.request().costUs();
        // What a route needs on any endpoint, more than others, says nothing of this one or its build.
        double slowness =
                timePerWork / context.latency().routeFactor(attempt.request().route());
        recordConnect(attempt);
        recordInZone(attempt);
        if (result == AttemptResult.COMPLETED) {
            recordAnswer(attempt, tookUs, slowness);
        } else {
            recordFailure(attempt);
        }
        recordRouteSlowness(attempt, timePerWork);
        if (!Double.isNaN(load.queuedRequests())) {
            attempt.endpoint().recordReportedQueue(load.queuedRequests());
        }
        if (isEvidence(result)) {
            recordOutcome(attempt, tookUs, slowness);
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

    /** An attempt without an answer counts as a very slow one, not as an error: load alone can cause it. */
    private static boolean isUnanswered(AttemptResult result) {
        return result == AttemptResult.TIMED_OUT || result == AttemptResult.CANCELLED;
    }

    private void recordConnect(Attempt attempt) {
        if (!attempt.endpoint().isCanary()) {
            context.connectFailures().recordConnect(attempt.result() == AttemptResult.NOT_CONNECTED);
        }
    }

    /** A time-out of an attempt that was overdue counted in its zone then. */
    private void recordInZone(Attempt attempt) {
        AttemptResult result = attempt.result();
        boolean timedOut = result == AttemptResult.TIMED_OUT;
        boolean alreadyCounted = timedOut && attempt.isOverdue();
        if (result != AttemptResult.CANCELLED && result != AttemptResult.NOT_CONNECTED && !alreadyCounted) {
            outliers.recordInZone(attempt.endpoint().entry().zone(), timedOut);
        }
    }

    private void recordAnswer(Attempt attempt, long tookUs, double slowness) {
        EndpointState endpoint = attempt.endpoint();
        RequestState request = attempt.request();
        endpoint.recordAnswer();
        context.throughput().requestCompleted(request.costUs());
        if (!context.clock().justStalled()) {
            recordSlowness(endpoint, slowness);
        }
        context.latency().recordCost(request.route(), request.hasAnnouncedCost() ? request.costUs() : tookUs);
        int build = endpoint.build().number();
        boolean oneWay = context.settings().rollout().forwardOnly();
        if (build >= context.rollout().newestBuild() && oneWay && request.hasKey()) {
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
        boolean isError = !isUnanswered(result) && !isScarceConnection(result);
        context.connectFailures().recordFailure(isError);
    }

    private boolean isScarceConnection(AttemptResult result) {
        return result == AttemptResult.NOT_CONNECTED
                && context.connectFailures().connectionsAreScarce();
    }

    /** An endpoint that is silent to all says nothing of one route: its attempts would make it look late everywhere. */
    private void recordRouteSlowness(Attempt attempt, double timePerWork) {
        AttemptResult result = attempt.result();
        boolean tells = result == AttemptResult.COMPLETED
                || (isUnanswered(result) && attempt.endpoint().hasAnsweredSince(attempt.sentUs()));
        if (!attempt.endpoint().isCanary() && !context.clock().justStalled() && tells) {
            context.latency().recordRouteSlowness(attempt.request().route(), timePerWork);
        }
    }

    /** Whether a result says something of its build: not where connections are scarce, nor of times after a stall. */
    private boolean isEvidence(AttemptResult result) {
        boolean isTimed = isUnanswered(result) || result == AttemptResult.COMPLETED;
        return !isScarceConnection(result) && !(isTimed && context.clock().justStalled());
    }

    private void recordOutcome(Attempt attempt, long tookUs, double slowness) {
        EndpointState endpoint = attempt.endpoint();
        AttemptResult result = attempt.result();
        int otherRelays = context.settings().relayCount() - 1;
        double ofOthers = otherRelays * endpoint.meanQueueLength();
        double own = (attempt.queueLength() + endpoint.attemptsInFlight().size()) / 2.0;
        boolean failed = result != AttemptResult.COMPLETED && !isUnanswered(result);
        boolean late = tookUs > attempt.request().policy().latencyObjectiveUs();
        endpoint.build().recordOutcome(endpoint, failed, late, slowness, own + ofOthers);
    }
}
