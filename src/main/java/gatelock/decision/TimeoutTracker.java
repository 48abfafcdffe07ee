package gatelock.decision;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Of late attempts, how many had no answer, by the place where they went. */
final class TimeoutTracker {
    private final double memoryUs;
    private final Map<Integer, DecayingSum> places = new TreeMap<>();
    private Set<Integer> silent = Set.of();

    TimeoutTracker(double memoryUs) {
        this.memoryUs = memoryUs;
    }

    void add(long nowUs, int place, boolean silent) {
        places.computeIfAbsent(place, p -> new DecayingSum(memoryUs)).add(nowUs, silent ? 1 : 0);
    }

    /**
     * Looks for places with so many late attempts of which more than {@code most} had no answer, if less than
     * {@code less} had none at another place. One that was silent stays so until answers come from it or it
     * was not tried for long.
     */
    void look(long nowUs, double fewest, double most, double less) {
        boolean another = places.values().stream().anyMatch(f -> f.mean(nowUs, 1) < less);
        Set<Integer> before = silent;
        silent = places.entrySet().stream()
                .filter(p -> another
                        && p.getValue().mean(nowUs, 0) > most
                        && (before.contains(p.getKey()) || p.getValue().count(nowUs) >= fewest))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** As found by the last look. */
    Set<Integer> lost() {
        return silent;
    }
}
