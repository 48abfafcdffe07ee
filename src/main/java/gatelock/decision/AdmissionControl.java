package gatelock.decision;

import gatelock.api.RoutePolicy;

/**
 * Load shedding: limits how many requests this relay may have in flight over all endpoints, and how much of that limit
 * a request may use, by its priority weight and its tenant's quota.
 */
final class AdmissionControl {
    /** All relays together may always have this many requests in flight per endpoint, whatever the measured rate. */
    private static final double MIN_IN_FLIGHT_PER_ENDPOINT = 6;

    /**
     * The limit grows by up to this factor while the expected latency is below {@link #LOW_LATENCY_SHARE} of the
     * objective.
     */
    private static final double MAX_LIMIT_FACTOR = 3;

    private static final double LOW_LATENCY_SHARE = 0.55;

    /** The share of the capacity that requests of the lowest value may use. */
    private static final double MIN_CAPACITY_SHARE = 0.5;

    /** A tenant exceeds its quota if its rate is above this multiple of it. */
    private static final double QUOTA_TOLERANCE = 1.1;

    /** The share of the limit that a route may use whose requests are late at every endpoint. */
    private static final double LATE_ROUTE_SHARE = 0.15;

    private final DecisionContext context;
    private final EndpointRegistry registry;
    private final DecayingSum[] tenantRequests;
    private final double maxPriorityWeight;
    private final int[] routeInFlight;
    private int inFlight;

    /** Creates the admission control of a relay without requests in flight. */
    AdmissionControl(DecisionContext context, EndpointRegistry registry) {
        this.context = context;
        this.registry = registry;
        this.tenantRequests =
                DecayingSum.arrayOf(context.settings().tenants().size(), Throughput.RATE_TIME_CONSTANT_US);
        this.maxPriorityWeight = context.settings().routes().stream()
                .mapToDouble(RoutePolicy::priorityWeight)
                .max()
                .orElse(1);
        this.routeInFlight = new int[context.settings().routes().size()];
    }

    /** Counts a request of a tenant. */
    void requestArrived(int tenant) {
        if (tenant < tenantRequests.length) {
            tenantRequests[tenant].add(context.nowUs(), 1);
        }
    }

    /** Counts an attempt that is sent now. */
    void attemptSent(Attempt attempt) {
        inFlight++;
        routeInFlight[attempt.request().route()]++;
    }

    /** Counts an attempt that has ended. An overdue attempt was removed from the total when it became overdue. */
    void attemptEnded(Attempt attempt) {
        inFlight -= attempt.isOverdue() ? 0 : 1;
        routeInFlight[attempt.request().route()]--;
    }

    /** Removes an attempt from the total because it became overdue. */
    void attemptOverdue() {
        inFlight--;
    }

    /**
     * Whether one more attempt of a request is within the limits. The fractional part of a limit is rounded at random.
     */
    boolean admits(RequestState request) {
        double limit = capacityShare(request) * limit(request.policy());
        boolean isWithinTotal = inFlight + context.random().nextDouble() < limit;
        if (!isWithinTotal) {
            return false;
        }
        int route = request.route();
        return !context.latency().isLateEverywhere(route)
                || routeInFlight[route] + context.random().nextDouble() < limit * LATE_ROUTE_SHARE;
    }

    /** Returns the share of a capacity that a request may use, by its value relative to the highest priority weight. */
    double capacityShare(RequestState request) {
        double value = maxPriorityWeight > 0 ? request.policy().priorityWeight() / maxPriorityWeight : 1;
        if (isOverQuota(request.tenant())) {
            value *= context.settings().overQuotaFactor();
        }
        return MIN_CAPACITY_SHARE + (1 - MIN_CAPACITY_SHARE) * value;
    }

    /** Whether a tenant exceeds its quota, assuming that every relay receives as many of its requests as this one. */
    private boolean isOverQuota(int tenant) {
        if (tenant >= tenantRequests.length) {
            return false;
        }
        double perS = tenantRequests[tenant].count(context.nowUs())
                * DecisionClock.SECOND_US
                / Throughput.RATE_TIME_CONSTANT_US;
        double quotaPerS = context.settings().tenants().get(tenant).quotaPerS();
        return perS * context.settings().relayCount() > quotaPerS * QUOTA_TOLERANCE;
    }

    /**
     * Returns the limit on requests in flight over all endpoints: the measured rate times a share of the objective,
     * plus this relay's share of the minimum.
     */
    private double limit(RoutePolicy route) {
        double perUs = context.throughput().answersPerUs();
        double objectiveShare = context.latency().bestShareOfObjective();
        double limitFactor = Math.max(1, Math.min(MAX_LIMIT_FACTOR, LOW_LATENCY_SHARE / objectiveShare));
        double backlog = perUs * context.clock().recentStallUs();
        double withinObjective = perUs * route.latencyObjectiveUs() * EndpointCapacity.OBJECTIVE_SHARE;
        double minInFlight = MIN_IN_FLIGHT_PER_ENDPOINT
                * registry.fleetSize()
                / context.settings().relayCount();
        return limitFactor * (minInFlight + withinObjective) + backlog;
    }
}
