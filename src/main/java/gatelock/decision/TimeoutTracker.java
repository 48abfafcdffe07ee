package gatelock.decision;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The share of recent attempts without an answer, by zone, and the zones that are considered lost because of it. */
final class TimeoutTracker {
    private final double timeConstantUs;
    private final Map<Integer, DecayingSum> timeoutsByZone = new TreeMap<>();
    private Set<Integer> lostZones = Set.of();

    /** Creates a tracker without attempts. */
    TimeoutTracker(double timeConstantUs) {
        this.timeConstantUs = timeConstantUs;
    }

    /** Records whether an attempt in a zone timed out. */
    void add(long nowUs, int zone, boolean timedOut) {
        timeoutsByZone
                .computeIfAbsent(zone, z -> new DecayingSum(timeConstantUs))
                .add(nowUs, timedOut ? 1 : 0);
    }

    /**
     * Marks a zone as lost if more than {@code lostShare} of its attempts got no answer and it has at least {@code
     * minAttempts} attempts, provided that the share of another zone is below {@code healthyShare}. A lost zone remains
     * lost until its endpoints answer again or its attempts have decayed.
     */
    void update(long nowUs, double minAttempts, double lostShare, double healthyShare) {
        boolean anyHealthy = timeoutsByZone.values().stream().anyMatch(zone -> zone.mean(nowUs, 1) < healthyShare);
        Set<Integer> lost = new HashSet<>();
        if (anyHealthy) {
            timeoutsByZone.forEach((zone, timeouts) -> {
                boolean mostlyUnanswered = timeouts.mean(nowUs, 0) > lostShare;
                if (mostlyUnanswered && (lostZones.contains(zone) || timeouts.count(nowUs) >= minAttempts)) {
                    lost.add(zone);
                }
            });
        }
        lostZones = lost;
    }

    /** Whether the zone was lost at the latest update. */
    boolean isLost(int zone) {
        return lostZones.contains(zone);
    }
}
