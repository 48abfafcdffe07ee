package gatelock.decision;

import gatelock.api.AttemptResult;
import gatelock.api.DecisionEngine;
import gatelock.api.LoadReport;
import gatelock.api.RequestConstraints;
import gatelock.api.RequestHandle;
import gatelock.api.RoutePolicy;
import java.util.ArrayList;
import java.util.List;

/** A request from its arrival until its last attempt has ended; what happens to it is decided by the router. */
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
     * @param key its subject, or {@link DecisionEngine#NO_KEY}
     * @param deadlineUs when its client stops waiting
     * @param announcedUs its announced work, or 0 where nothing valid was announced
     * @param constraints what was set for it beyond the settings; consulted only for less than would be done without
     */
    record Arrival(
            String id,
            int route,
            int tenant,
            long key,
            long deadlineUs,
            long announcedUs,
            RequestConstraints constraints) {}

    /** A request of known or estimated work; the token identifies its deadline's timer. */
    RequestState(
            RequestRouter router, DecisionClock clock, Arrival arrival, RoutePolicy policy, long costUs, long token) {
        this.router = router;
        this.clock = clock;
        this.arrival = arrival;
        this.policy = policy;
        this.costUs = costUs;
        this.token = token;
    }

    String id() {
        return arrival.id();
    }

    int route() {
        return arrival.route();
    }

    int tenant() {
        return arrival.tenant();
    }

    long key() {
        return arrival.key();
    }

    boolean hasKey() {
        return arrival.key() != DecisionEngine.NO_KEY;
    }

    RequestConstraints constraints() {
        return arrival.constraints();
    }

    RoutePolicy policy() {
        return policy;
    }

    /** Its work, announced or usual for its route, as time on a standard core. */
    long costUs() {
        return costUs;
    }

    boolean hasAnnouncedCost() {
        return arrival.announcedUs() > 0;
    }

    long token() {
        return token;
    }

    List<Attempt> attempts() {
        return attempts;
    }

    Attempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    boolean isFirstAttempt() {
        return attempts.isEmpty();
    }

    boolean isRetriable() {
        return policy.retrySafety() == RoutePolicy.RetrySafety.RETRIABLE;
    }

    boolean isNonRetriable() {
        return policy.retrySafety() == RoutePolicy.RetrySafety.NON_RETRIABLE;
    }

    /** Whether endpoints drop a repeat of it, some of them or all. */
    private boolean isDeduplicated() {
        return policy.retrySafety() == RoutePolicy.RetrySafety.DEDUPED;
    }

    boolean isPastDeadline() {
        return clock.nowUs() >= arrival.deadlineUs();
    }

    /** Whether it has its final answer, or nobody waits for one any more. */
    boolean isConcluded() {
        return concluded;
    }

    void conclude() {
        concluded = true;
    }

    boolean hasAttemptsInFlight() {
        return inFlight > 0;
    }

    void attemptSent(Attempt attempt) {
        attempts.add(attempt);
        inFlight++;
    }

    void attemptEnded() {
        inFlight--;
    }

    /** Whether no endpoint has worked on it. */
    boolean neverRan() {
        return attempts.stream().allMatch(Attempt::neverRan);
    }

    /** Whether it is harmless if the client sends it again, to any endpoint. */
    boolean isHarmlessToRepeat() {
        return neverRan() || isRetriable() || (isDeduplicated() && policy.dedupScope() == RoutePolicy.DedupScope.ALL);
    }

    boolean wasTriedAt(EndpointState endpoint) {
        return attempts.stream().anyMatch(attempt -> attempt.endpoint() == endpoint);
    }

    /** Rule 2: whether an attempt may go to this endpoint after so many earlier attempts. */
    boolean mayBeSentTo(EndpointState endpoint, int earlierAttempts) {
        return isRetriable()
                || attempts.stream()
                        .limit(earlierAttempts)
                        .allMatch(earlier -> earlier.neverRan() || isRepeatDropped(earlier, endpoint));
    }

    /** Whether the endpoint surely drops a repeat of this attempt; a fifth of its memory's time is left as a margin. */
    private boolean isRepeatDropped(Attempt earlier, EndpointState endpoint) {
        return isDeduplicated()
                && clock.nowUs() - earlier.sentUs() < policy.dedupWindowUs() * 8 / 10
                && sharesMemory(earlier.endpoint(), endpoint);
    }

    private boolean sharesMemory(EndpointState one, EndpointState other) {
        return switch (policy.dedupScope()) {
            case ALL -> true;
            case ZONE -> one.entry().zone() == other.entry().zone();
            case CELL -> one.entry().cell() == other.entry().cell();
        };
    }

    @Override
    public void attemptEnded(
            long nowUs, int attemptNo, AttemptResult result, long tookUs, boolean over, LoadReport load) {
        clock.advanceTo(nowUs);
        Attempt attempt = attempts.get(attemptNo);
        attempt.end(result);
        router.attemptEnded(attempt, tookUs, over, load);
    }

    @Override
    public boolean mayStart(long nowUs, int attemptNo) {
        clock.advanceTo(nowUs);
        return router.maySend(attempts.get(attemptNo));
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
