package gatelock.decision;

/**
 * Slow start of cold endpoints and of canary endpoints: each has a work budget that all relays together respect. Each
 * relay sends an endpoint its share of the work of an average endpoint, multiplied by the share of capacity that an
 * endpoint of this age is certain to have; the shares of all relays add up to a multiple of the work that the fleet
 * completes per endpoint. A share of less than one request accumulates, from a random initial value.
 */
final class SlowStart {
    /** A canary endpoint may be sent this multiple of the work of an average endpoint. */
    private static final double CANARY_MULTIPLE = 1.5;

    /** Of the multiple of its capacity at which a cold endpoint fails, only this share is used. */
    private static final double COLD_MULTIPLE_SHARE = 0.75;

    private final DecisionContext context;
    private final EndpointRegistry registry;

    /** Creates the limits for the endpoints of the registry. */
    SlowStart(DecisionContext context, EndpointRegistry registry) {
        this.context = context;
        this.registry = registry;
    }

    /**
     * Whether an endpoint may receive another request. Only endpoints that are cold or run the canary are limited by
     * their budget.
     */
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

    /** Returns the share of its capacity that an endpoint of this age is certain to have. */
    private double warmCapacityShare(EndpointState endpoint) {
        long ageUs = context.nowUs() - endpoint.entry().startedAtUs();
        double progress = endpoint.isWarmingUp()
                ? Math.max(0.0, (double) ageUs) / context.settings().slowStartUs()
                : 1;
        double initialShare = context.settings().slowStartCapacityShare();
        return initialShare + (1 - initialShare) * progress;
    }
}
