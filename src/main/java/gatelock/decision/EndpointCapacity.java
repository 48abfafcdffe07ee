package gatelock.decision;

/** How many requests this relay may have in flight at one endpoint. */
final class EndpointCapacity {
    /** The share of a request's latency objective for which an endpoint's measured rate may be in flight. */
    static final double OBJECTIVE_SHARE = 0.4;

    /** What may be in flight whatever the measured rate. */
    private static final double FLOOR = 2;

    /** At a canary endpoint, beyond one request: what it answers in this many times the earlier build's time. */
    private static final double CANARY_WAIT = 2;

    private final DecisionContext context;
    private final SlowStart slowStart;

    EndpointCapacity(DecisionContext context, SlowStart slowStart) {
        this.context = context;
        this.slowStart = slowStart;
    }

    /** Whether a request that may use this share of the capacity may go to the endpoint. */
    boolean hasCapacity(EndpointState endpoint, RequestState request, double share) {
        return endpoint.attemptsInFlight().size() < limit(endpoint, request, share) && slowStart.allows(endpoint);
    }

    private double limit(EndpointState endpoint, RequestState request, double share) {
        double perUs = endpoint.answersPerUs();
        double limit = (FLOOR + perUs * request.policy().latencyObjectiveUs() * OBJECTIVE_SHARE) * share;
        if (!endpoint.isCanary()) {
            return limit;
        }
        LatencyEstimates latency = context.latency();
        double slowness = latency.slownessOfKind(endpoint.entry().instanceType());
        return Math.min(limit, 1 + perUs * CANARY_WAIT * slowness * latency.meanCostUs());
    }
}
