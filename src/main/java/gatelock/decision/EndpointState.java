package gatelock.decision;

import gatelock.api.Endpoint;
import java.util.LinkedHashSet;
import java.util.Set;

/** One endpoint process: its list entry, this relay's attempts in flight at it, and its measurements. */
final class EndpointState {
    /** A connection that was in use this recently is assumed to be open. */
    private static final long RECENT_USE_US = DecisionClock.SECOND_US / 4;

    /** How long a queue length that the endpoint reported is used. */
    private static final long REPORT_TTL_US = DecisionClock.SECOND_US;

    /**
     * With many relays, each of which sees few requests, an endpoint's measurements decay more slowly, at most by this
     * factor.
     */
    private static final double MAX_TIME_CONSTANT_FACTOR = 4;

    private final Endpoint entry;
    private final BuildState build;
    private final DecisionContext context;
    private final WorkBudget workBudget;
    private final Set<Attempt> attemptsInFlight = new LinkedHashSet<>();
    private final DecayingSum slowness;
    private final DecayingSum failures;
    private final DecayingSum answers = new DecayingSum(Throughput.RATE_TIME_CONSTANT_US);
    private final DecayingSum queueLengths = new DecayingSum(Throughput.RATE_TIME_CONSTANT_US);
    private final IdleConnectionEstimate idleConnections = new IdleConnectionEstimate();
    private Endpoint.Health health;
    private long lastAnswerUs = Long.MIN_VALUE / 2;
    private double reportedQueue;
    private long reportedAtUs = Long.MIN_VALUE / 2;

    /**
     * Creates the state of an endpoint process without measurements. Its work budget starts at a random value below
     * zero.
     */
    EndpointState(Endpoint entry, BuildState build, DecisionContext context) {
        this.entry = entry;
        this.build = build;
        this.context = context;
        double debtUs = context.random().nextDouble() * context.latency().meanCostUs();
        this.workBudget = new WorkBudget(-debtUs, context.nowUs());
        double timeConstantUs = LatencyEstimates.SLOWNESS_TIME_CONSTANT_US
                * Math.min(
                        MAX_TIME_CONSTANT_FACTOR,
                        Math.max(1, context.settings().relayCount() / DecisionContext.SMALL_FLEET_RELAYS));
        this.slowness = new DecayingSum(timeConstantUs);
        this.failures = new DecayingSum(timeConstantUs);
    }

    /** Returns its first list entry. Its health may have changed since then, see {@link #isReady}. */
    Endpoint entry() {
        return entry;
    }

    /** Returns its name in the list. */
    String name() {
        return entry.name();
    }

    /** Returns the build that it runs. */
    BuildState build() {
        return build;
    }

    /** Whether it runs a canary build. */
    boolean isCanary() {
        return build.isCanary();
    }

    /** Whether a list entry describes this process, not a restarted one or one that reuses the name. */
    boolean isProcessOf(Endpoint listed) {
        return entry.startedAtUs() == listed.startedAtUs() && build.number() == listed.build();
    }

    /** Sets the health that discovery listed last. */
    void setHealth(Endpoint.Health listedHealth) {
        health = listedHealth;
    }

    /** Whether it accepts requests. */
    boolean isReady() {
        return health == Endpoint.Health.READY;
    }

    /** Whether it has left the list and its last attempt has ended. */
    boolean isRemovable() {
        return health == Endpoint.Health.GONE && attemptsInFlight.isEmpty();
    }

    /** Returns this relay's attempts in flight at it. */
    Set<Attempt> attemptsInFlight() {
        return attemptsInFlight;
    }

    /** Returns the budget that limits the work sent to it while it runs a canary build or is warming up. */
    WorkBudget workBudget() {
        return workBudget;
    }

    /** Records an attempt that is sent now. */
    void attemptSent(Attempt attempt) {
        long nowUs = context.nowUs();
        queueLengths.add(nowUs, attemptsInFlight.size());
        build.queueLengths().add(nowUs, attemptsInFlight.size());
        attemptsInFlight.add(attempt);
        idleConnections.acquire(nowUs, context.settings().idleConnectionUs());
        // A request to a slow build uses more of the budget.
        double relativeSlowness =
                build.slowness().mean(nowUs, 0) / context.latency().slownessOfInstanceType(entry.instanceType());
        workBudget.spend(attempt.request().costUs() * Math.max(1, relativeSlowness));
    }

    /** Records the end of an attempt. */
    void attemptEnded(Attempt attempt, boolean connectionStaysOpen) {
        attemptsInFlight.remove(attempt);
        if (connectionStaysOpen) {
            idleConnections.release(context.nowUs(), context.settings().idleConnectionUs());
        }
    }

    /** Records a successful answer. */
    void recordAnswer() {
        lastAnswerUs = context.nowUs();
        answers.add(context.nowUs(), 1);
    }

    /** Records the latency of an answer divided by the cost of its request. */
    void recordSlowness(double value) {
        slowness.add(context.nowUs(), value);
    }

    /** Records an attempt that failed or is overdue. */
    void recordFailure() {
        failures.add(context.nowUs(), 1);
    }

    /** Records the queue length that the endpoint reported. */
    void recordReportedQueue(double queuedRequests) {
        reportedQueue = queuedRequests;
        reportedAtUs = context.nowUs();
    }

    /** Whether it has answered any request since this time. */
    boolean hasAnsweredSince(long timeUs) {
        return lastAnswerUs > timeUs;
    }

    /** Returns the recent rate of answers to this relay, per microsecond. */
    double answersPerUs() {
        return answers.count(context.nowUs()) / Throughput.RATE_TIME_CONSTANT_US;
    }

    /** Returns the decaying number of attempts that failed or were overdue. */
    double recentFailures() {
        return failures.count(context.nowUs());
    }

    /** Returns the decaying number of answers from which its slowness was measured. */
    double recentAnswers() {
        return slowness.count(context.nowUs());
    }

    /**
     * Returns the estimated mean number of requests that each other relay has in flight here; based on this relay's own
     * number, as the relays send similar loads.
     */
    double meanQueueLength() {
        double buildMean = build.queueLengths().mean(context.nowUs(), 0);
        return queueLengths.shrunkMean(context.nowUs(), buildMean, LatencyEstimates.PRIOR_WEIGHT);
    }

    /** Returns the queue length that the endpoint reported within the last second, else 0. */
    double reportedQueue() {
        return context.nowUs() - reportedAtUs < REPORT_TTL_US ? reportedQueue : 0;
    }

    /** Returns its mean slowness, or that of its instance type if that is higher. */
    double conservativeSlowness() {
        return Math.max(
                slowness.mean(context.nowUs(), 0), context.latency().slownessOfInstanceType(entry.instanceType()));
    }

    /** Returns its mean slowness, shrunk towards that of its instance type. */
    double expectedSlowness() {
        return slowness.shrunkMean(context.nowUs(), context.latency().slownessOfInstanceType(entry.instanceType()), 1);
    }

    /** Whether a connection to it is almost certainly open, because one is or very recently was in use. */
    boolean hasOpenConnection() {
        return !attemptsInFlight.isEmpty() || context.nowUs() - lastAnswerUs < RECENT_USE_US;
    }

    /** Whether a connection to it is almost certainly open and idle. */
    boolean hasIdleConnection() {
        return idleConnections.hasIdle(context.nowUs(), context.settings().idleConnectionUs());
    }

    /** Whether it started so recently that it may still be in slow start. */
    boolean isWarmingUp() {
        return entry.startedAtUs() > 0
                && context.nowUs() - entry.startedAtUs() < context.settings().slowStartUs();
    }
}
