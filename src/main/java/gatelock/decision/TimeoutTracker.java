package gatelock.decision;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The share of recent attempts without an answer, by zone, and the zones that count as lost for it. */
final class TimeoutTracker {
    private final double timeConstantUs;
    private final Map<Integer, DecayingSum> timeoutsByZone = new TreeMap<>();
    private Set<Integer> lostZones = Set.of();

    TimeoutTracker(double timeConstantUs) {
        this.timeConstantUs = timeConstantUs;
    }

    void add(long nowUs, int zone, boolean timedOut) {
        timeoutsByZone
                .computeIfAbsent(zone, z -> new DecayingSum(timeConstantUs))
                .add(nowUs, timedOut ? 1 : 0);
    }

    /**
     * Marks the zones as lost in which more than {@code lostShare} of the attempts, of which there must be
     * {@code minAttempts}, had no answer, if another zone has less than {@code healthyShare}. A lost zone stays so until
     * answers come from it or its attempts have decayed.
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

    /** Whether the latest update found the zone lost. */
    boolean isLost(int zone) {
        return lostZones.contains(zone);
    }
}
