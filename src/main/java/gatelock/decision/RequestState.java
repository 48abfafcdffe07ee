package gatelock.decision;

import gatelock.api.AttemptResult;
import gatelock.api.DecisionEngine;
import gatelock.api.LoadReport;
import gatelock.api.RequestConstraints;
import gatelock.api.RequestHandle;
import gatelock.api.RoutePolicy;
import java.util.ArrayList;
import java.util.List;

/**
 * The state of a request from its arrival until its last attempt has ended. {@link RequestRouter} decides what happens
 * to it.
 */
final class RequestState implements RequestHandle {
    private final RequestRouter router;
    private final DecisionClock clock;
    private final Arrival arrival;
    private final RoutePolicy policy;
    private final long costUs;
    private final long token;
    private final List<Attempt> attempts = new ArrayList<>(2);
    private boolean concluded;
    private int inFlight;

    /**
     * A request as it arrived.
     *
     * @param key its sticky key, or {@link DecisionEngine#NO_KEY}
     * @param deadlineUs when its client stops waiting
     * @param announcedCostUs its announced cost, or 0 if no valid cost was announced
     * @param constraints what was set for it beyond the settings; they can only restrict what the settings allow
     */
    record Arrival(
            String id,
            int route,
            int tenant,
            long key,
            long deadlineUs,
            long announcedCostUs,
            RequestConstraints constraints) {}

    /**
     * Creates the state of a request with its announced or estimated cost; {@code token} identifies its deadline's
     * timer.
     */
    RequestState(
            RequestRouter router, DecisionClock clock, Arrival arrival, RoutePolicy policy, long costUs, long token) {
        this.router = router;
        this.clock = clock;
        this.arrival = arrival;
        this.policy = policy;
        this.costUs = costUs;
        this.token = token;
    }

    /** Returns the request's id. */
    String id() {
        return arrival.id();
    }

    /** Returns the index of its route. */
    int route() {
        return arrival.route();
    }

    /** Returns the index of its tenant, or the number of tenants if it is not known. */
    int tenant() {
        return arrival.tenant();
    }

    /** Returns its sticky key, or {@link DecisionEngine#NO_KEY}. */
    long key() {
        return arrival.key();
    }

    /** Whether it has a sticky key. */
    boolean hasKey() {
        return arrival.key() != DecisionEngine.NO_KEY;
    }

    /** Returns its own constraints. */
    RequestConstraints constraints() {
        return arrival.constraints();
    }

    /** Returns the policy of its route. */
    RoutePolicy policy() {
        return policy;
    }

    /** Returns its cost as processing time on a standard core: the announced one, or else the mean of its route. */
    long costUs() {
        return costUs;
    }

    /** Whether its client announced a valid cost. */
    boolean hasAnnouncedCost() {
        return arrival.announcedCostUs() > 0;
    }

    /** Returns the token of its deadline's timer. */
    long token() {
        return token;
    }

    /** Returns its attempts in the order in which they were sent. */
    List<Attempt> attempts() {
        return attempts;
    }

    /** Returns its latest attempt. */
    Attempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    /** Whether no attempt has been sent yet. */
    boolean isFirstAttempt() {
        return attempts.isEmpty();
    }

    /** Whether it is idempotent and may be retried at any endpoint. */
    boolean isRetriable() {
        return policy.retrySafety() == RoutePolicy.RetrySafety.RETRIABLE;
    }

    /** Whether it must not be executed twice. */
    boolean isNonRetriable() {
        return policy.retrySafety() == RoutePolicy.RetrySafety.NON_RETRIABLE;
    }

    /** Whether all or some endpoints drop duplicates of it by its idempotency key. */
    private boolean isDeduplicated() {
        return policy.retrySafety() == RoutePolicy.RetrySafety.DEDUPED;
    }

    /** Whether its client has stopped waiting. */
    boolean isPastDeadline() {
        return clock.nowUs() >= arrival.deadlineUs();
    }

    /** Whether it has its final answer, or no client waits for one any more. */
    boolean isConcluded() {
        return concluded;
    }

    /** Marks it as one that needs no answer any more. */
    void conclude() {
        concluded = true;
    }

    /** Whether an attempt has not ended yet. */
    boolean hasAttemptsInFlight() {
        return inFlight > 0;
    }

    /** Adds an attempt that is sent now. */
    void attemptSent(Attempt attempt) {
        attempts.add(attempt);
        inFlight++;
    }

    /** Counts an attempt that has ended. */
    void attemptEnded() {
        inFlight--;
    }

    /** Whether none of its attempts can have been executed. */
    boolean neverExecuted() {
        return attempts.stream().allMatch(Attempt::neverExecuted);
    }

    /** Whether the client may safely send it again, to any endpoint. */
    boolean isSafeToRetry() {
        return neverExecuted()
                || isRetriable()
                || (isDeduplicated() && policy.dedupScope() == RoutePolicy.DedupScope.ALL);
    }

    /** Whether an attempt was sent to this endpoint before. */
    boolean wasAttemptedAt(EndpointState endpoint) {
        return attempts.stream().anyMatch(attempt -> attempt.endpoint() == endpoint);
    }

    /**
     * Whether an attempt may go to this endpoint after {@code earlierAttemptCount} earlier attempts. Enforces rule 2: a
     * request that is not idempotent is executed at most once.
     */
    boolean mayBeSentTo(EndpointState endpoint, int earlierAttemptCount) {
        return isRetriable()
                || attempts.stream()
                        .limit(earlierAttemptCount)
                        .allMatch(earlier -> earlier.neverExecuted() || isDuplicateDropped(earlier, endpoint));
    }

    /**
     * Whether the endpoint is certain to drop a duplicate of this attempt. Only 8/10 of the deduplication window are
     * relied on; a fifth is kept as a safety margin.
     */
    private boolean isDuplicateDropped(Attempt earlier, EndpointState endpoint) {
        return isDeduplicated()
                && clock.nowUs() - earlier.sentUs() < policy.dedupWindowUs() * 8 / 10
                && sharesDedupState(earlier.endpoint(), endpoint);
    }

    private boolean sharesDedupState(EndpointState first, EndpointState second) {
        return switch (policy.dedupScope()) {
            case ALL -> true;
            case ZONE -> first.entry().zone() == second.entry().zone();
            case CELL -> first.entry().cell() == second.entry().cell();
        };
    }

    @Override
    public void attemptEnded(
            long nowUs, int attemptNo, AttemptResult result, long durationUs, boolean answered, LoadReport load) {
        clock.advanceTo(nowUs);
        Attempt attempt = attempts.get(attemptNo);
        attempt.end(result);
        router.attemptEnded(attempt, durationUs, answered, load);
    }

    @Override
    public boolean mayStart(long nowUs, int attemptNo) {
        clock.advanceTo(nowUs);
        return router.mayStart(attempts.get(attemptNo));
    }

    @Override
    public void responseNoLongerOwed(long nowUs) {
        clock.advanceTo(nowUs);
        router.conclude(this);
    }

    @Override
    public boolean isSettled() {
        return concluded && inFlight == 0;
    }
}
