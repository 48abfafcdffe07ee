package gatelock.decision;

/** Limits how many requests this relay may have in flight at one endpoint. */
final class EndpointCapacity {
    /**
     * An endpoint may have as many requests in flight as it answers, at the measured rate, in this share of the latency
     * objective.
     */
    static final double OBJECTIVE_SHARE = 0.4;

    /** Always allowed in flight in addition to what the measured rate allows. */
    private static final double MIN_IN_FLIGHT = 2;

    /**
     * A canary endpoint may have in flight one request and what it answers in this many times the expected latency of
     * endpoints that do not run the canary.
     */
    private static final double CANARY_WAIT_FACTOR = 2;

    private final DecisionContext context;
    private final SlowStart slowStart;

    /** Creates the limits from the measurements of the context. */
    EndpointCapacity(DecisionContext context, SlowStart slowStart) {
        this.context = context;
        this.slowStart = slowStart;
    }

    /** Whether a request, which may use the given share of the capacity, may go to the endpoint. */
    boolean hasCapacity(EndpointState endpoint, RequestState request, double share) {
        return endpoint.attemptsInFlight().size() < limit(endpoint, request, share) && slowStart.allows(endpoint);
    }

    private double limit(EndpointState endpoint, RequestState request, double share) {
        double perUs = endpoint.answersPerUs();
        double limit = (MIN_IN_FLIGHT + perUs * request.policy().latencyObjectiveUs() * OBJECTIVE_SHARE) * share;
        if (!endpoint.isCanary()) {
            return limit;
        }
        LatencyEstimates latency = context.latency();
        double slowness = latency.slownessOfInstanceType(endpoint.entry().instanceType());
        return Math.min(limit, 1 + perUs * CANARY_WAIT_FACTOR * slowness * latency.meanCostUs());
    }
}
