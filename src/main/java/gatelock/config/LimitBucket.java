package gatelock.config;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The state of one limit for one scope (everything, a route, a tenant, or a tenant's requests of a route): its token
 * bucket, what is in flight, and the queue.
 */
final class LimitBucket {
    /** The pause after which to come back to a limit whose bound in flight is reached, as the end of these is unknown. */
    private static final long IN_FLIGHT_RETRY_US = 100_000;

    /**
     * Identifies a bucket.
     *
     * @param limit name of the limit
     * @param route name of the route, or an empty string where the limit is not per route
     * @param tenant index of the tenant, or -1 where the limit is not per tenant
     */
    record Key(String limit, String route, int tenant) {}

    private final Key key;
    private LimitPolicy policy;
    private double tokens;
    private long refilledUs;
    private int inFlight;
    private final TenantFairQueue<RequestLimiter.Ticket> queue = new TenantFairQueue<>();
    /** Buckets in whose queues requests wait that need this bucket too, with the number of these requests. */
    private final Map<LimitBucket, Integer> dependents = new LinkedHashMap<>();

    LimitBucket(Key key, LimitPolicy policy, long nowUs, double tokens) {
        this.key = key;
        this.policy = policy;
        this.refilledUs = nowUs;
        this.tokens = tokens;
    }

    Key key() {
        return key;
    }

    LimitPolicy policy() {
        return policy;
    }

    int inFlight() {
        return inFlight;
    }

    TenantFairQueue<RequestLimiter.Ticket> queue() {
        return queue;
    }

    /** Whether nothing is in flight and nothing waits. */
    boolean isIdle() {
        return inFlight == 0 && queue.isEmpty();
    }

    /** When the bucket was last used. */
    long refilledUs() {
        return refilledUs;
    }

    /** Adds the tokens earned since the last call, at the rate that applied. */
    private void refill(long nowUs) {
        if (!policy.hasRate()) {
            tokens = policy.burst();
        } else if (nowUs > refilledUs) {
            tokens = Math.min(policy.burst(), tokens + (nowUs - refilledUs) * policy.ratePerUs());
        }
        refilledUs = Math.max(refilledUs, nowUs);
    }

    /** Applies another version's policy from now on; tokens and requests in flight stay counted. */
    void applyPolicy(long nowUs, LimitPolicy next) {
        if (next.equals(policy)) {
            return;
        }
        refill(nowUs);
        // Where there was no rate before, there is nothing saved up either: no burst.
        boolean rateIsNew = !policy.hasRate() && next.hasRate();
        tokens = rateIsNew ? Math.min(1, next.burst()) : Math.min(tokens, next.burst());
        policy = next;
    }

    /** Whether a request may pass, leaving aside those that wait. */
    boolean hasCapacity(long nowUs) {
        refill(nowUs);
        return (!policy.hasRate() || tokens >= 1) && isBelowMaxInFlight();
    }

    boolean isBelowMaxInFlight() {
        return inFlight < policy.maxInFlight();
    }

    /** Takes a token and counts a request in flight. */
    void acquire() {
        tokens -= 1;
        inFlight++;
    }

    /** Ends a request in flight. */
    void release() {
        inFlight--;
    }

    /** Estimates how long it takes until a request may pass, in microseconds. */
    long timeToCapacityUs(long nowUs) {
        refill(nowUs);
        boolean lacksToken = policy.hasRate() && tokens < 1;
        long refillUs = lacksToken ? (long) Math.ceil((1 - tokens) / policy.ratePerUs()) : 0;
        return isBelowMaxInFlight() ? refillUs : Math.max(refillUs, IN_FLIGHT_RETRY_US);
    }

    /** Estimates how long it takes until a new request may pass after those that wait, in microseconds. */
    long retryAfterUs(long nowUs) {
        long queueUs = policy.hasRate() ? (long) (queue.size() / policy.ratePerUs()) : 0;
        return timeToCapacityUs(nowUs) + queueUs;
    }

    /** Notes that a request in the other bucket's queue needs this bucket too. */
    void addDependent(LimitBucket other) {
        dependents.merge(other, 1, Integer::sum);
    }

    /** Notes that one such request has left the other bucket's queue. */
    void removeDependent(LimitBucket other) {
        dependents.computeIfPresent(other, (bucket, count) -> count > 1 ? count - 1 : null);
    }

    /** Returns the buckets in whose queues requests wait that need this bucket too. */
    Set<LimitBucket> dependents() {
        return dependents.keySet();
    }
}
