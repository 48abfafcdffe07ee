package gatelock.decision;

import gatelock.api.RoutePolicy;

/**
 * Load shedding: what this relay may have in flight over all endpoints, and how much of that a request may use, by its
 * priority weight and its tenant's quota.
 */
final class AdmissionControl {
    /** In flight for all relays together, for each place, whatever the measured rate. */
    private static final double FLOOR_PER_PLACE = 6;

    /** The limit grows up to this factor while answers take less than this share of the objective. */
    private static final double QUICK_FACTOR = 3;

    private static final double QUICK_SHARE = 0.55;

    /** The share of the capacity that the least valuable requests may use. */
    private static final double MIN_SHARE = 0.5;

    /** A tenant is over its quota beyond this many times of it. */
    private static final double QUOTA_TOLERANCE = 1.1;

    /** The share of the limit for a route that is late at every endpoint. */
    private static final double LATE_ROUTE_SHARE = 0.15;

    private final DecisionContext context;
    private final EndpointRegistry registry;
    private final DecayingSum[] tenantRequests;
    private final double topValue;
    private final int[] routeInFlight;
    private int inFlight;

    AdmissionControl(DecisionContext context, EndpointRegistry registry) {
        this.context = context;
        this.registry = registry;
        this.tenantRequests = DecayingSum.arrayOf(context.settings().tenants().size(), Throughput.RATE_MEMORY_US);
        this.topValue = context.settings().routes().stream()
                .mapToDouble(RoutePolicy::priorityWeight)
                .max()
                .orElse(1);
        this.routeInFlight = new int[context.settings().routes().size()];
    }

    void requestArrived(int tenant) {
        if (tenant < tenantRequests.length) {
            tenantRequests[tenant].add(context.nowUs(), 1);
        }
    }

    void attemptSent(Attempt attempt) {
        inFlight++;
        routeInFlight[attempt.request().route()]++;
    }

    /** An attempt has ended; one that was overdue has left the total before. */
    void attemptEnded(Attempt attempt) {
        inFlight -= attempt.isOverdue() ? 0 : 1;
        routeInFlight[attempt.request().route()]--;
    }

    /** An attempt became overdue: it no longer counts among all in flight. */
    void attemptOverdue() {
        inFlight--;
    }

    /** Whether one more attempt of a request is within the limits; fractions of a place are decided at random. */
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

    /** How much of a capacity this request may use, by its value relative to the most valuable route's. */
    double capacityShare(RequestState request) {
        double value = topValue > 0 ? request.policy().priorityWeight() / topValue : 1;
        if (isOverQuota(request.tenant())) {
            value *= context.settings().overQuotaFactor();
        }
        return MIN_SHARE + (1 - MIN_SHARE) * value;
    }

    /** Whether a tenant is past its quota, if all relays see as much of it as this one. */
    private boolean isOverQuota(int tenant) {
        if (tenant >= tenantRequests.length) {
            return false;
        }
        double perS =
                tenantRequests[tenant].count(context.nowUs()) * DecisionClock.SECOND_US / Throughput.RATE_MEMORY_US;
        double quotaPerS = context.settings().tenants().get(tenant).quotaPerS();
        return perS * context.settings().relayCount() > quotaPerS * QUOTA_TOLERANCE;
    }

    /** What may be in flight over all endpoints: measured rate times time, and this relay's share of a floor. */
    private double limit(RoutePolicy route) {
        double perUs = context.throughput().answersPerUs();
        double objectiveShare = context.latency().bestShareOfObjective();
        double quick = Math.max(1, Math.min(QUICK_FACTOR, QUICK_SHARE / objectiveShare));
        double backlog = perUs * context.clock().recentStallUs();
        double inTime = perUs * route.latencyObjectiveUs() * EndpointCapacity.OBJECTIVE_SHARE;
        double floor = FLOOR_PER_PLACE * registry.places() / context.settings().relayCount();
        return quick * (floor + inTime) + backlog;
    }
}
