package gatelock.decision;

import java.util.ArrayList;
import java.util.List;

/** One build: its ready endpoints, what its cap allows, and the outcomes of attempts at it. */
final class BuildState {
    /** The page's slices: outcomes are bootstrapped over slices of this length. */
    static final long SLICE_US = DecisionClock.SECOND_US;

    /** How many slices are kept; all that are kept of the earlier build are compared. */
    private static final int KEPT_SLICES = 20;

    /** Outcomes kept of a slice; a fair sample of more keeps a comparison quick. */
    private static final int KEPT_OUTCOMES = 300;

    private final int number;
    private final DecisionContext context;
    private final List<EndpointState> readyEndpoints = new ArrayList<>();
    private final OutcomeHistory ownOutcomes;
    private final OutcomeHistory sampledOutcomes;
    private final ExposureBudget exposure;
    private final DecayingSum slowness = new DecayingSum(LatencyEstimates.SLOWNESS_MEMORY_US);
    private final DecayingSum queueLengths = new DecayingSum(Throughput.RATE_MEMORY_US);

    BuildState(int number, DecisionContext context) {
        this.number = number;
        this.context = context;
        int routes = context.settings().routes().size();
        this.ownOutcomes = new OutcomeHistory(KEPT_SLICES, KEPT_OUTCOMES, context.random());
        this.sampledOutcomes = new OutcomeHistory(KEPT_SLICES * routes, 0, context.random());
        int slots = context.settings().rollout().capPerRoute() ? routes : 1;
        this.exposure = new ExposureBudget(slots, context.settings().rollout().freeAttempts());
    }

    int number() {
        return number;
    }

    /** The endpoints that are ready, in an order that selection shuffles. */
    List<EndpointState> readyEndpoints() {
        return readyEndpoints;
    }

    /** The outcomes of this relay's own attempts. */
    OutcomeHistory ownOutcomes() {
        return ownOutcomes;
    }

    /** The outcomes that the release controller sampled from all relays. */
    OutcomeHistory sampledOutcomes() {
        return sampledOutcomes;
    }

    /** Rule 5: what the cap has earned. */
    ExposureBudget exposure() {
        return exposure;
    }

    /** The slowness of warm endpoints. */
    DecayingSum slowness() {
        return slowness;
    }

    /** How many of this relay's requests were in flight at an endpoint when another was sent there. */
    DecayingSum queueLengths() {
        return queueLengths;
    }

    /** A request has arrived: its route earns the cap's part of an attempt. */
    void earnExposure(int route) {
        exposure.earn(route, context.rollout().capOf(number));
    }

    /** An attempt or message goes to this build: a canary's budget pays for it. */
    void spendExposure(int route) {
        if (isCanary()) {
            exposure.spend(route);
        }
    }

    boolean isCanary() {
        return context.rollout().isCanary(number);
    }

    boolean isOpen() {
        return context.rollout().isOpen(number);
    }

    /** Adds an outcome of this relay's own to the present slice. */
    void recordOutcome(EndpointState endpoint, boolean failed, boolean late, double slowness, double load) {
        long nowUs = context.nowUs();
        long startUs = endpoint.entry().startedAtUs();
        long ageUs = startUs > 0 ? nowUs - startUs : Long.MAX_VALUE;
        ownOutcomes.add(
                nowUs / SLICE_US,
                new AttemptOutcome(endpoint, endpoint.entry().instanceType(), failed, late, slowness, load, ageUs));
    }

    /** The latest start of its ready endpoints, 0 where there are none. */
    long latestStartUs() {
        return readyEndpoints.stream()
                .mapToLong(endpoint -> endpoint.entry().startedAtUs())
                .max()
                .orElse(0);
    }

    /** The median age of its ready endpoints at a time, 0 where there are none. */
    long medianAgeUs(long atUs) {
        return readyEndpoints.stream()
                .map(endpoint -> atUs - endpoint.entry().startedAtUs())
                .sorted()
                .skip(readyEndpoints.size() / 2)
                .findFirst()
                .orElse(0L);
    }
}
