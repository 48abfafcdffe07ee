package gatelock.decision;

import java.util.HashMap;
import java.util.Map;

/** One-way keys: the newest build that has answered each key, below which its requests no longer go. */
final class StickyBuilds {
    private final Map<Long, Integer> newestByKey = new HashMap<>();

    void recordAnswer(long key, int build) {
        newestByKey.merge(key, build, Math::max);
    }

    /** What a build has answered goes to no build before it, unless that build was withdrawn. */
    boolean allows(long key, int build, RolloutState rollout) {
        int minBuild = newestByKey.getOrDefault(key, build);
        return build >= minBuild || rollout.isWithdrawn(minBuild);
    }

    /** Forgets the keys whose floor excludes no build from this one on. */
    void evictUpTo(int oldestBuild) {
        newestByKey.values().removeIf(build -> build <= oldestBuild);
    }
}
