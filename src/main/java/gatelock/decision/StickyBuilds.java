package gatelock.decision;

import gatelock.api.DecisionEngine;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers for each sticky key the newest build that answered it. Requests with this key no longer go to earlier
 * builds.
 *
 * <p>Clients choose the keys, so their number is bounded. While the newest build is a canary, no key is forgotten: once
 * there are too many, requests with other keys do not go to the canary, and so need not be remembered. Afterwards the
 * oldest key is forgotten for each new one. This can send a request to an earlier build than its key has seen, which
 * takes more keys than the maximum before the earlier build is gone.
 */
final class StickyBuilds {
    /** The number of keys from which on a canary gets no others. */
    static final int MAX_KEYS = 100_000;
    /** Leaves room for the keys of requests that are in flight to a canary when the maximum is reached. */
    static final int IN_FLIGHT_MARGIN = 1_024;

    private final Map<Long, Integer> newestByKey = new LinkedHashMap<>();

    /** Records that a build has answered a request with this key. */
    void recordAnswer(long key, int build) {
        newestByKey.merge(key, build, Math::max);
        if (newestByKey.size() > MAX_KEYS + IN_FLIGHT_MARGIN) {
            Iterator<Long> oldest = newestByKey.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /**
     * Whether requests with this key may go to a build: it must not be earlier than the newest build that answered the
     * key, unless that build was withdrawn.
     */
    boolean allows(long key, int build, RolloutState rollout) {
        Integer minBuild = newestByKey.get(key);
        if (minBuild == null) {
            return key == DecisionEngine.NO_KEY || newestByKey.size() < MAX_KEYS || !rollout.isCanary(build);
        }
        return build >= minBuild || rollout.isWithdrawn(minBuild);
    }

    /** Removes the keys that exclude no build from {@code oldestBuild} on. */
    void evictUpTo(int oldestBuild) {
        newestByKey.values().removeIf(build -> build <= oldestBuild);
    }

    /** Returns the number of keys. */
    int size() {
        return newestByKey.size();
    }
}
