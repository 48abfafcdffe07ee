package gatelock.decision;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Outlier detection: attempts that are long overdue, endpoints that fail much, and zones that are lost. Outliers are
 * ejected, which means that they get only a few retriable requests, unless most endpoints look bad.
 */
final class OutlierDetector {
    /** An attempt is overdue after this time plus a multiple of what its work usually takes. */
    private static final long OVERDUE_BASE_US = 300_000;

    private static final double OVERDUE_FACTOR = 3;

    /** An endpoint looks bad past this share of failures; a zone with a lower share of time-outs is healthy. */
    private static final double MAX_FAILURE_SHARE = 0.35;

    /** If more than this share of the endpoints looks bad, the endpoints are not the cause and none is ejected. */
    private static final double MAX_EJECTED_SHARE = 0.6;

    /** A zone is lost if more than this share of its attempts had no answer. */
    private static final double LOST_ZONE_SHARE = MAX_EJECTED_SHARE;

    private static final double MIN_ZONE_ATTEMPTS = 2.5;
    private static final double ZONE_TIME_CONSTANT_US = 2.0 * DecisionClock.SECOND_US;

    private final DecisionContext context;
    private final EndpointRegistry registry;
    private final AdmissionControl admission;
    private final RetryBudget retryBudget;
    private final Set<Attempt> attemptsInFlight = new LinkedHashSet<>();
    private final TimeoutTracker zoneTimeouts = new TimeoutTracker(ZONE_TIME_CONSTANT_US);
    private boolean ejectionAllowed = true;

    OutlierDetector(
            DecisionContext context, EndpointRegistry registry, AdmissionControl admission, RetryBudget retryBudget) {
        this.context = context;
        this.registry = registry;
        this.admission = admission;
        this.retryBudget = retryBudget;
    }

    void attemptSent(Attempt attempt) {
        attemptsInFlight.add(attempt);
    }

    void attemptEnded(Attempt attempt) {
        attemptsInFlight.remove(attempt);
    }

    /** Counts how an attempt in a zone went. */
    void recordZoneOutcome(int zone, boolean timedOut) {
        zoneTimeouts.add(context.nowUs(), zone, timedOut);
    }

    /** Looks at all attempts, zones and endpoints; called at every tick. */
    void check() {
        List.copyOf(attemptsInFlight).forEach(this::checkOverdue);
        // Guards against a zone that is cut off or gone before the list says so: all its endpoints would be tried.
        // Could harm where its bad endpoints had the few attempts: a tenth of the retriable ones still goes there.
        zoneTimeouts.update(context.nowUs(), MIN_ZONE_ATTEMPTS, LOST_ZONE_SHARE, MAX_FAILURE_SHARE);
        int endpoints = 0;
        int unhealthy = 0;
        for (BuildState build : registry.builds()) {
            for (EndpointState endpoint : build.readyEndpoints()) {
                if (!zoneTimeouts.isLost(endpoint.entry().zone())) {
                    endpoints++;
                    unhealthy += isUnhealthy(endpoint) ? 1 : 0;
                }
            }
        }
        ejectionAllowed = unhealthy <= MAX_EJECTED_SHARE * endpoints;
    }

    /** Whether an endpoint gets only the few requests that show whether it has recovered. */
    boolean isEjected(EndpointState endpoint) {
        return ejectionAllowed && isUnhealthy(endpoint);
    }

    /** Guards against an endpoint that fails much or leaves attempts overdue, whatever the cause. */
    private boolean isUnhealthy(EndpointState endpoint) {
        double failed = endpoint.recentFailures();
        if (zoneTimeouts.isLost(endpoint.entry().zone()) && !endpoint.isWarmingUp()) {
            return true;
        }
        return failed / (failed + endpoint.recentAnswers() + 1) > MAX_FAILURE_SHARE;
    }

    /**
     * Guards against an endpoint that stands still, has vanished, is slow, or loses this relay's attempts, alone or not: an
     * attempt that is long overdue. It uses no capacity any more and counts against the endpoint. If most endpoints are
     * well, what may run elsewhere is cancelled and goes on there; the rest waits. Could harm where announced work says
     * little of the time it takes.
     */
    private void checkOverdue(Attempt attempt) {
        EndpointState endpoint = attempt.endpoint();
        RequestState request = attempt.request();
        double expectedUs = endpoint.conservativeSlowness() * request.costUs();
        if (attempt.isOverdue()
                || context.clock().justStalled()
                || context.latency().isLateEverywhere(request.route())
                || context.nowUs() - attempt.sentUs() <= OVERDUE_BASE_US + OVERDUE_FACTOR * expectedUs) {
            return;
        }
        attempt.markOverdue();
        admission.attemptOverdue();
        endpoint.recordFailure();
        recordZoneOutcome(endpoint.entry().zone(), true);
        if (mayMoveToOtherEndpoint(request)) {
            attempt.markCancelled();
            context.actions().cancelAttempt(request.id(), attempt.number());
        }
    }

    private boolean mayMoveToOtherEndpoint(RequestState request) {
        return !request.isConcluded()
                && !request.isNonRetriable()
                && context.settings().cancellationSupported()
                && ejectionAllowed
                && retryBudget.covers(1);
    }
}
