package gatelock.config;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** All buckets of all limits, created on demand and bounded in number. */
final class LimitBuckets {
    /** The time after which an idle bucket that was not used is evicted. */
    private static final long IDLE_TIMEOUT_US = 600_000_000;
    /** With more buckets than this, idle buckets are evicted immediately, the least recently used first. */
    private static final int MAX_BUCKETS = 100_000;
    /** The number of least recently used buckets that are examined for eviction when a bucket is created. */
    private static final int EVICTION_CANDIDATES = 4;

    /** All buckets in order of access, the least recently used first. */
    private final LinkedHashMap<LimitBucket.Key, LimitBucket> buckets = new LinkedHashMap<>(16, 0.75f, true);

    private final Map<String, LimitPolicy.Scope> scopes = new HashMap<>();
    /**
     * Limits whose scope a version has changed; their new buckets start with at most one token instead of a full burst.
     */
    private final Set<String> rescopedLimits = new HashSet<>();

    /** Returns the bucket for a request, created if necessary, with the given policy applied. */
    LimitBucket find(long nowUs, LimitPolicy policy, String route, int tenant) {
        LimitBucket.Key key = new LimitBucket.Key(
                policy.name(),
                policy.scope().isPerRoute() ? route : "",
                policy.scope().isPerTenant() ? tenant : -1);
        LimitBucket bucket = buckets.get(key);
        if (bucket != null) {
            bucket.applyPolicy(nowUs, policy);
            return bucket;
        }
        boolean rescoped = rescopedLimits.contains(policy.name());
        double tokens = rescoped ? Math.min(1, policy.burst()) : policy.burst();
        bucket = new LimitBucket(key, policy, nowUs, tokens);
        buckets.put(key, bucket);
        evict(nowUs);
        return bucket;
    }

    /**
     * Evicts idle buckets. Guards against unbounded growth caused by many tenants or by the routes of many versions. A
     * bucket that is evicted early because there are more than {@link #MAX_BUCKETS} starts again with a full burst.
     */
    private void evict(long nowUs) {
        Iterator<LimitBucket> leastRecentlyUsed = buckets.values().iterator();
        for (int i = 0; i < EVICTION_CANDIDATES && leastRecentlyUsed.hasNext(); i++) {
            LimitBucket bucket = leastRecentlyUsed.next();
            boolean expired = nowUs - bucket.lastRefillUs() > IDLE_TIMEOUT_US;
            if (bucket.isIdle() && (expired || buckets.size() > MAX_BUCKETS)) {
                leastRecentlyUsed.remove();
            }
        }
    }

    /** Records which limits have a different scope in a new version, and forgets limits that it does not define. */
    void updateScopes(Map<String, LimitPolicy> limits) {
        rescopedLimits.retainAll(limits.keySet());
        scopes.keySet().retainAll(limits.keySet());
        limits.forEach((name, limit) -> {
            LimitPolicy.Scope previous = scopes.put(name, limit.scope());
            if (previous != null && previous != limit.scope()) {
                rescopedLimits.add(name);
            }
        });
    }

    /** Returns a copy of the list of all buckets. */
    List<LimitBucket> all() {
        return List.copyOf(buckets.values());
    }

    /** Returns the number of requests in flight under a limit, summed over all of its buckets. */
    int inFlight(String limit) {
        int inFlight = 0;
        for (LimitBucket bucket : buckets.values()) {
            if (bucket.key().limit().equals(limit)) {
                inFlight += bucket.inFlight();
            }
        }
        return inFlight;
    }

    /** Returns the number of buckets. */
    int size() {
        return buckets.size();
    }
}
