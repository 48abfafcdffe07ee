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
    /** An idle bucket that was not used for so long is dropped. */
    private static final long IDLE_TIMEOUT_US = 600_000_000;
    /** Beyond so many buckets, idle ones are dropped at once, the least recently used first. */
    private static final int MAX_BUCKETS = 100_000;
    /** How many of the least recently used buckets are looked at when one is created. */
    private static final int EVICTION_CANDIDATES = 4;

    /** In the order of use, the least recently used first. */
    private final LinkedHashMap<LimitBucket.Key, LimitBucket> buckets = new LinkedHashMap<>(16, 0.75f, true);

    private final Map<String, LimitPolicy.Scope> scopes = new HashMap<>();
    /** Limits whose scope a version has changed: their new buckets do not begin with a burst. */
    private final Set<String> rescopedLimits = new HashSet<>();

    /** Returns the bucket for a request, with that policy applied. */
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
     * Guards against an unbounded number of buckets, by tenants or by the routes of many versions. Harms a limit whose
     * bucket is dropped beyond {@link #MAX_BUCKETS}: it begins with a full burst again.
     */
    private void evict(long nowUs) {
        Iterator<LimitBucket> leastRecentlyUsed = buckets.values().iterator();
        for (int i = 0; i < EVICTION_CANDIDATES && leastRecentlyUsed.hasNext(); i++) {
            LimitBucket bucket = leastRecentlyUsed.next();
            boolean expired = nowUs - bucket.refilledUs() > IDLE_TIMEOUT_US;
            if (bucket.isIdle() && (expired || buckets.size() > MAX_BUCKETS)) {
                leastRecentlyUsed.remove();
            }
        }
    }

    /** Notes which limits have another scope in a new version, and forgets limits that are gone. */
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

    /** Returns all buckets, as a copy. */
    List<LimitBucket> all() {
        return List.copyOf(buckets.values());
    }

    /** Returns how many requests are in flight under a limit, in all its buckets together. */
    int inFlight(String limit) {
        int inFlight = 0;
        for (LimitBucket bucket : buckets.values()) {
            if (bucket.key().limit().equals(limit)) {
                inFlight += bucket.inFlight();
            }
        }
        return inFlight;
    }

    int size() {
        return buckets.size();
    }
}
