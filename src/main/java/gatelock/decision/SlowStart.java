package gatelock.decision;

/**
 * Slow start of cold and canary endpoints: a budget of work at each, for all relays together. Each relay sends its part of
 * the work that one place bears, times what an endpoint of its age surely can do; the parts add up to a multiple of what
 * the fleet completes. A part of less than one request accumulates, from a random start.
 */
final class SlowStart {
    /** Times the work of one place that a canary endpoint may be sent. */
    private static final double CANARY_MULTIPLE = 1.5;

    /** The part used of the multiple that the site allows cold endpoints. */
    private static final double COLD_MULTIPLE_SHARE = 0.75;

    private final DecisionContext context;
    private final EndpointRegistry registry;

    SlowStart(DecisionContext context, EndpointRegistry registry) {
        this.context = context;
        this.registry = registry;
    }

    /** Whether an endpoint that is cold or canary has any of its budget left; others have none and need none. */
    boolean allows(EndpointState endpoint) {
        boolean isLimited = endpoint.isWarmingUp() || endpoint.isCanary();
        return !isLimited || hasBudget(endpoint);
    }

    private boolean hasBudget(EndpointState endpoint) {
        double coldMultiple = Math.min(
                CANARY_MULTIPLE, COLD_MULTIPLE_SHARE * context.settings().slowStartOverloadFactor());
        double multiple = endpoint.isWarmingUp() ? coldMultiple : CANARY_MULTIPLE;
        LatencyEstimates latency = context.latency();
        double workRate = context.throughput().workRate();
        double rate = multiple
                * warmCapacityShare(endpoint)
                * workRate
                / registry.fleetSize()
                * latency.slownessOfInstanceType(LatencyEstimates.ALL_INSTANCE_TYPES)
                / latency.slownessOfInstanceType(endpoint.entry().instanceType());
        return endpoint.workBudget().refill(rate, context.nowUs());
    }

    /** The part of its capacity that an endpoint of this age surely has. */
    private double warmCapacityShare(EndpointState endpoint) {
        long ageUs = context.nowUs() - endpoint.entry().startedAtUs();
        double progress = endpoint.isWarmingUp()
                ? Math.max(0.0, (double) ageUs) / context.settings().slowStartUs()
                : 1;
        double initialShare = context.settings().slowStartCapacityShare();
        return initialShare + (1 - initialShare) * progress;
    }
}
