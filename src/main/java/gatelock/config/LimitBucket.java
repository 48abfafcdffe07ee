package gatelock.config;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The state of one limit within its scope (all requests, a route, a tenant, or a tenant's requests on a route): its
 * token bucket, its count of requests in flight, and its queue.
 */
final class LimitBucket {
    /**
     * The estimated time to capacity of a limit that has reached its maximum in flight; an estimate is needed because
     * the end of the requests in flight is unknown.
     */
    private static final long IN_FLIGHT_RETRY_US = 100_000;

    /**
     * Identifies a bucket.
     *
     * @param limit name of the limit
     * @param route name of the route, or an empty string if the limit is not per route
     * @param tenant index of the tenant, or -1 if the limit is not per tenant
     */
    record Key(String limit, String route, int tenant) {}

    private final Key key;
    private LimitPolicy policy;
    private double tokens;
    private long lastRefillUs;
    private int inFlight;
    private final TenantFairQueue<RequestLimiter.Ticket> queue = new TenantFairQueue<>();
    /**
     * Other buckets whose queues hold requests that also need this bucket, with the number of such requests. They are
     * checked when this bucket frees capacity.
     */
    private final Map<LimitBucket, Integer> dependents = new LinkedHashMap<>();

    /** Creates a bucket with {@code tokens} tokens and nothing in flight. */
    LimitBucket(Key key, LimitPolicy policy, long nowUs, double tokens) {
        this.key = key;
        this.policy = policy;
        this.lastRefillUs = nowUs;
        this.tokens = tokens;
    }

    /** Returns the key that identifies the bucket. */
    Key key() {
        return key;
    }

    /** Returns the policy that applies now. */
    LimitPolicy policy() {
        return policy;
    }

    /** Returns the number of requests in flight. */
    int inFlight() {
        return inFlight;
    }

    /** Returns the queue of requests that wait for this bucket. */
    TenantFairQueue<RequestLimiter.Ticket> queue() {
        return queue;
    }

    /** Returns whether no request is in flight or queued. */
    boolean isIdle() {
        return inFlight == 0 && queue.isEmpty();
    }

    /** Returns when the bucket was last refilled, which every use of it does. */
    long lastRefillUs() {
        return lastRefillUs;
    }

    /** Adds the tokens accrued since the last call, at the rate of the current policy. */
    private void refill(long nowUs) {
        if (!policy.hasRate()) {
            tokens = policy.burst();
        } else if (nowUs > lastRefillUs) {
            tokens = Math.min(policy.burst(), tokens + (nowUs - lastRefillUs) * policy.ratePerUs());
        }
        lastRefillUs = Math.max(lastRefillUs, nowUs);
    }

    /** Applies the policy of another version from now on; tokens and requests in flight carry over. */
    void applyPolicy(long nowUs, LimitPolicy next) {
        if (next.equals(policy)) {
            return;
        }
        refill(nowUs);
        // Without a rate before, no tokens were accrued, so the new rate starts with at most one token and not a burst.
        boolean rateIsNew = !policy.hasRate() && next.hasRate();
        tokens = rateIsNew ? Math.min(1, next.burst()) : Math.min(tokens, next.burst());
        policy = next;
    }

    /** Returns whether a request may be admitted now, disregarding queued requests. */
    boolean hasCapacity(long nowUs) {
        refill(nowUs);
        return (!policy.hasRate() || tokens >= 1) && isBelowMaxInFlight();
    }

    /** Returns whether another request may be in flight. */
    boolean isBelowMaxInFlight() {
        return inFlight < policy.maxInFlight();
    }

    /** Consumes a token and counts one more request in flight. */
    void acquire() {
        tokens -= 1;
        inFlight++;
    }

    /** Counts one request less in flight. */
    void release() {
        inFlight--;
    }

    /** Estimates the time in microseconds until a request may be admitted, disregarding queued requests. */
    long timeToCapacityUs(long nowUs) {
        refill(nowUs);
        boolean lacksToken = policy.hasRate() && tokens < 1;
        long refillUs = lacksToken ? (long) Math.ceil((1 - tokens) / policy.ratePerUs()) : 0;
        return isBelowMaxInFlight() ? refillUs : Math.max(refillUs, IN_FLIGHT_RETRY_US);
    }

    /** Estimates the time in microseconds until a new request may be admitted after all queued requests. */
    long retryAfterUs(long nowUs) {
        long queueUs = policy.hasRate() ? (long) (queue.size() / policy.ratePerUs()) : 0;
        return timeToCapacityUs(nowUs) + queueUs;
    }

    /** Records that a request in the other bucket's queue also needs this bucket. */
    void addDependent(LimitBucket other) {
        dependents.merge(other, 1, Integer::sum);
    }

    /** Records that a request that also needs this bucket has left the other bucket's queue. */
    void removeDependent(LimitBucket other) {
        dependents.computeIfPresent(other, (bucket, count) -> count > 1 ? count - 1 : null);
    }

    /** Returns the other buckets whose queues hold requests that also need this bucket. */
    Set<LimitBucket> dependents() {
        return dependents.keySet();
    }
}
