package gatelock.decision;

import java.util.HashMap;
import java.util.Map;

/**
 * Remembers for each sticky key the newest build that answered it. Requests with this key no longer go to earlier
 * builds.
 */
final class StickyBuilds {
    private final Map<Long, Integer> newestByKey = new HashMap<>();

    /** Records that a build has answered a request with this key. */
    void recordAnswer(long key, int build) {
        newestByKey.merge(key, build, Math::max);
    }

    /**
     * Whether requests with this key may go to a build: it must not be earlier than the newest build that answered the
     * key, unless that build was withdrawn.
     */
    boolean allows(long key, int build, RolloutState rollout) {
        int minBuild = newestByKey.getOrDefault(key, build);
        return build >= minBuild || rollout.isWithdrawn(minBuild);
    }

    /** Removes the keys that exclude no build from {@code oldestBuild} on. */
    void evictUpTo(int oldestBuild) {
        newestByKey.values().removeIf(build -> build <= oldestBuild);
    }
}
