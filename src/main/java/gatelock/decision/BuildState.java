package gatelock.decision;

import java.util.ArrayList;
import java.util.List;

/** The state of one build: its ready endpoints, the attempts that its cap allows, and the outcomes of its attempts. */
final class BuildState {
    /** The specified window length; outcomes are bootstrapped over windows of this length. */
    static final long WINDOW_US = DecisionClock.SECOND_US;

    /** How many windows are kept. All kept windows of the earlier build are used in a comparison. */
    private static final int MAX_WINDOWS = 20;

    /**
     * The maximum number of outcomes kept per window. Of more outcomes a uniform random sample is kept, so that
     * comparisons stay fast.
     */
    private static final int MAX_OUTCOMES_PER_WINDOW = 300;

    private final int number;
    private final DecisionContext context;
    private final List<EndpointState> readyEndpoints = new ArrayList<>();
    private final OutcomeHistory ownOutcomes;
    private final OutcomeHistory sampledOutcomes;
    private final ExposureBudget exposure;
    private final DecayingSum slowness = new DecayingSum(LatencyEstimates.SLOWNESS_TIME_CONSTANT_US);
    private final DecayingSum queueLengths = new DecayingSum(Throughput.RATE_TIME_CONSTANT_US);

    /** Creates the state of a build without endpoints or outcomes. */
    BuildState(int number, DecisionContext context) {
        this.number = number;
        this.context = context;
        int routes = context.settings().routes().size();
        this.ownOutcomes = new OutcomeHistory(MAX_WINDOWS, MAX_OUTCOMES_PER_WINDOW, context.random());
        this.sampledOutcomes = new OutcomeHistory(MAX_WINDOWS * routes, 0, context.random());
        int slots = context.settings().rollout().capPerRoute() ? routes : 1;
        this.exposure = new ExposureBudget(slots, context.settings().rollout().freeAttempts());
    }

    /** Returns the number of the build. */
    int number() {
        return number;
    }

    /** Returns the ready endpoints, in an order that {@link EndpointSelector} shuffles. */
    List<EndpointState> readyEndpoints() {
        return readyEndpoints;
    }

    /** Returns the outcomes of this relay's own attempts. */
    OutcomeHistory ownOutcomes() {
        return ownOutcomes;
    }

    /** Returns the outcomes that the release controller sampled from all relays. */
    OutcomeHistory sampledOutcomes() {
        return sampledOutcomes;
    }

    /** Returns the budget of attempts that the cap allows (rule 5). */
    ExposureBudget exposure() {
        return exposure;
    }

    /** Returns the slowness of endpoints that are not warming up. */
    DecayingSum slowness() {
        return slowness;
    }

    /** Returns how many of this relay's requests were in flight at an endpoint when another one was sent there. */
    DecayingSum queueLengths() {
        return queueLengths;
    }

    /** Credits the request's route with the share of an attempt that the cap allows for each request. */
    void creditExposure(int route) {
        exposure.credit(route, context.rollout().capOf(number));
    }

    /** Charges an attempt or message to the budget if the build is a canary. */
    void spendExposure(int route) {
        if (isCanary()) {
            exposure.spend(route);
        }
    }

    /** Whether it is not released yet. */
    boolean isCanary() {
        return context.rollout().isCanary(number);
    }

    /** Whether new requests may be sent to it. */
    boolean acceptsNewRequests() {
        return context.rollout().acceptsNewRequests(number);
    }

    /** Adds an outcome of this relay's own attempts to the current window. */
    void recordOutcome(EndpointState endpoint, boolean failed, boolean late, double slowness, double load) {
        long nowUs = context.nowUs();
        long startedAtUs = endpoint.entry().startedAtUs();
        long ageUs = startedAtUs > 0 ? nowUs - startedAtUs : Long.MAX_VALUE;
        ownOutcomes.add(
                nowUs / WINDOW_US,
                new AttemptOutcome(endpoint, endpoint.entry().instanceType(), failed, late, slowness, load, ageUs));
    }

    /** Returns the latest start time of its ready endpoints; 0 if there are none. */
    long latestStartUs() {
        return readyEndpoints.stream()
                .mapToLong(endpoint -> endpoint.entry().startedAtUs())
                .max()
                .orElse(0);
    }

    /** Returns the median age of its ready endpoints at a time; 0 if there are none. */
    long medianAgeUs(long atUs) {
        return readyEndpoints.stream()
                .map(endpoint -> atUs - endpoint.entry().startedAtUs())
                .sorted()
                .skip(readyEndpoints.size() / 2)
                .findFirst()
                .orElse(0L);
    }
}
