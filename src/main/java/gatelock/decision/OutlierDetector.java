package gatelock.decision;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Outlier detection: finds attempts that are long overdue, endpoints with a high failure rate, and lost zones. Outliers
 * are ejected, so that they receive only a few retriable requests, unless most endpoints are unhealthy.
 */
final class OutlierDetector {
    /** An attempt is overdue after this time plus {@link #OVERDUE_FACTOR} times its expected latency. */
    private static final long OVERDUE_BASE_US = 300_000;

    private static final double OVERDUE_FACTOR = 3;

    /**
     * An endpoint is unhealthy if its share of failures is above this. A zone is healthy if its share of timeouts is
     * below it.
     */
    private static final double MAX_FAILURE_SHARE = 0.35;

    /** If more than this share of the endpoints is unhealthy, the cause is not in the endpoints and none is ejected. */
    private static final double MAX_EJECTED_SHARE = 0.6;

    /** A zone is lost if more than this share of its attempts got no answer. */
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

    /** Creates a detector that has not found any outlier. */
    OutlierDetector(
            DecisionContext context, EndpointRegistry registry, AdmissionControl admission, RetryBudget retryBudget) {
        this.context = context;
        this.registry = registry;
        this.admission = admission;
        this.retryBudget = retryBudget;
    }

    /** Tracks an attempt that is sent now. */
    void attemptSent(Attempt attempt) {
        attemptsInFlight.add(attempt);
    }

    /** Stops tracking an attempt that has ended. */
    void attemptEnded(Attempt attempt) {
        attemptsInFlight.remove(attempt);
    }

    /** Records whether an attempt in a zone timed out. */
    void recordZoneOutcome(int zone, boolean timedOut) {
        zoneTimeouts.add(context.nowUs(), zone, timedOut);
    }

    /** Checks all attempts, zones and endpoints; called at every tick. */
    void check() {
        List.copyOf(attemptsInFlight).forEach(this::checkOverdue);
        // Guards against a zone that is cut off or down before the endpoint list shows it: every one of its endpoints
        // would be tried. Can wrongly eject a zone whose few attempts went to bad endpoints; a tenth of the retriable
        // requests still goes there.
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

    /** Whether an endpoint receives only the few requests that show whether it has recovered. */
    boolean isEjected(EndpointState endpoint) {
        return ejectionAllowed && isUnhealthy(endpoint);
    }

    /** Whether an endpoint fails often, leaves attempts overdue or is in a lost zone, whatever the cause. */
    private boolean isUnhealthy(EndpointState endpoint) {
        double failed = endpoint.recentFailures();
        if (zoneTimeouts.isLost(endpoint.entry().zone()) && !endpoint.isWarmingUp()) {
            return true;
        }
        return failed / (failed + endpoint.recentAnswers() + 1) > MAX_FAILURE_SHARE;
    }

    /**
     * Marks an attempt as overdue if it has taken much longer than expected. Guards against endpoints that are stalled,
     * unreachable or slow, or that lose this relay's attempts, whether one or several are affected. An overdue attempt
     * no longer uses capacity and counts as a failure of its endpoint. If most endpoints are healthy and the request
     * may be executed elsewhere, the attempt is cancelled so that the request can be retried; otherwise it continues.
     * Can do harm if the announced cost is a poor estimate of the latency.
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
