package gatelock.decision;

import gatelock.api.Endpoint;
import java.util.LinkedHashSet;
import java.util.Set;

/** One endpoint process: how it is listed, this relay's attempts in flight at it, and what was measured of it. */
final class EndpointState {
    /** A connection that was in use this long ago surely stands. */
    private static final long OPEN_US = DecisionClock.SECOND_US / 4;

    /** A queue that the endpoint reported counts for this long. */
    private static final long REPORT_LIFE_US = DecisionClock.SECOND_US;

    /** Measures of an endpoint fade more slowly where a relay of many sees few requests, at most by this factor. */
    private static final double LONGEST_MEMORY = 4;

    private final Endpoint entry;
    private final BuildState build;
    private final DecisionContext context;
    private final WorkBudget workBudget;
    private final Set<Attempt> attemptsInFlight = new LinkedHashSet<>();
    private final DecayingSum slowness;
    private final DecayingSum failures;
    private final DecayingSum answers = new DecayingSum(Throughput.RATE_MEMORY_US);
    private final DecayingSum queueLengths = new DecayingSum(Throughput.RATE_MEMORY_US);
    private final IdleConnectionEstimate idleConnections = new IdleConnectionEstimate();
    private Endpoint.Health health;
    private long lastAnswerUs = Long.MIN_VALUE / 2;
    private double reportedQueue;
    private long reportedAtUs = Long.MIN_VALUE / 2;

    /** An endpoint process of which nothing was measured; its budget of work starts below zero by a random part. */
    EndpointState(Endpoint entry, BuildState build, DecisionContext context) {
        this.entry = entry;
        this.build = build;
        this.context = context;
        double debtUs = context.random().nextDouble() * context.latency().meanCostUs();
        this.workBudget = new WorkBudget(-debtUs, context.nowUs());
        double memoryUs = LatencyEstimates.SLOWNESS_MEMORY_US
                * Math.min(LONGEST_MEMORY, Math.max(1, context.settings().relayCount() / DecisionContext.FEW_RELAYS));
        this.slowness = new DecayingSum(memoryUs);
        this.failures = new DecayingSum(memoryUs);
    }

    /** As it was listed first; its health may have changed since, see {@link #isReady}. */
    Endpoint entry() {
        return entry;
    }

    String id() {
        return entry.name();
    }

    BuildState build() {
        return build;
    }

    boolean isCanary() {
        return build.isCanary();
    }

    /** Whether a list entry is about this very process, and not one that was restarted or uses the id again. */
    boolean isProcessOf(Endpoint listed) {
        return entry.startedAtUs() == listed.startedAtUs() && build.number() == listed.build();
    }

    void setHealth(Endpoint.Health listedHealth) {
        health = listedHealth;
    }

    boolean isReady() {
        return health == Endpoint.Health.READY;
    }

    /** Whether it has left the list and its last attempt has ended. */
    boolean isForgettable() {
        return health == Endpoint.Health.GONE && attemptsInFlight.isEmpty();
    }

    Set<Attempt> attemptsInFlight() {
        return attemptsInFlight;
    }

    /** Budget of work while it is canary or warming up. */
    WorkBudget workBudget() {
        return workBudget;
    }

    void attemptSent(Attempt attempt) {
        long nowUs = context.nowUs();
        queueLengths.add(nowUs, attemptsInFlight.size());
        build.queueLengths().add(nowUs, attemptsInFlight.size());
        attemptsInFlight.add(attempt);
        idleConnections.acquire(nowUs, context.settings().idleConnectionUs());
        // A slow build's requests cost more.
        double relativeSlowness =
                build.slowness().mean(nowUs, 0) / context.latency().slownessOfKind(entry.instanceType());
        workBudget.spend(attempt.request().costUs() * Math.max(1, relativeSlowness));
    }

    void attemptEnded(Attempt attempt, boolean connectionStaysOpen) {
        attemptsInFlight.remove(attempt);
        if (connectionStaysOpen) {
            idleConnections.release(context.nowUs(), context.settings().idleConnectionUs());
        }
    }

    void recordAnswer() {
        lastAnswerUs = context.nowUs();
        answers.add(context.nowUs(), 1);
    }

    void recordSlowness(double value) {
        slowness.add(context.nowUs(), value);
    }

    void recordFailure() {
        failures.add(context.nowUs(), 1);
    }

    void recordReportedQueue(double waiting) {
        reportedQueue = waiting;
        reportedAtUs = context.nowUs();
    }

    boolean hasAnsweredSince(long timeUs) {
        return lastAnswerUs > timeUs;
    }

    double answersPerUs() {
        return answers.count(context.nowUs()) / Throughput.RATE_MEMORY_US;
    }

    /** How many attempts recently failed or were overdue; decays. */
    double recentFailures() {
        return failures.count(context.nowUs());
    }

    /** From how many recent answers its slowness was measured; decays. */
    double recentAnswers() {
        return slowness.count(context.nowUs());
    }

    /** How many requests of each other relay are in flight here on average, judged by this relay's own. */
    double meanQueueLength() {
        double ofBuild = build.queueLengths().mean(context.nowUs(), 0);
        return queueLengths.shrunkMean(context.nowUs(), ofBuild, LatencyEstimates.PRIOR_WEIGHT);
    }

    /** The queue that the endpoint reported within the last second, else 0. */
    double reportedQueue() {
        return context.nowUs() - reportedAtUs < REPORT_LIFE_US ? reportedQueue : 0;
    }

    /** Its mean slowness, or that of its kind where that is higher. */
    double cautiousSlowness() {
        return Math.max(slowness.mean(context.nowUs(), 0), context.latency().slownessOfKind(entry.instanceType()));
    }

    /** Its mean slowness, shrunk towards that of its kind. */
    double expectedSlowness() {
        return slowness.shrunkMean(context.nowUs(), context.latency().slownessOfKind(entry.instanceType()), 1);
    }

    /** Whether a connection to it surely stands: it is in use, or was an instant ago. */
    boolean hasOpenConnection() {
        return !attemptsInFlight.isEmpty() || context.nowUs() - lastAnswerUs < OPEN_US;
    }

    /** Whether a connection to it surely stands that no request uses. */
    boolean hasIdleConnection() {
        return idleConnections.hasIdle(context.nowUs(), context.settings().idleConnectionUs());
    }

    /** Whether it started less than the time ago within which endpoints surely become warm. */
    boolean isWarmingUp() {
        return entry.startedAtUs() > 0
                && context.nowUs() - entry.startedAtUs() < context.settings().slowStartUs();
    }
}
