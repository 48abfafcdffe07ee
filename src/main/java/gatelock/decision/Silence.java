package gatelock.decision;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Of late tries, how many had no answer, by the place where they went. */
final class Silence {
    private final double memoryUs;
    private final Map<Integer, Fading> places = new TreeMap<>();

    Silence(double memoryUs) {
        this.memoryUs = memoryUs;
    }

    void add(long nowUs, int place, boolean silent) {
        places.computeIfAbsent(place, p -> new Fading(memoryUs)).add(nowUs, silent ? 1 : 0);
    }

    /**
     * Places with enough late tries of which more than {@code most} had no answer, if less had none at another.
     */
    Set<Integer> silent(long nowUs, double fewest, double most, double less) {
        boolean another = places.values().stream().anyMatch(f -> f.count(nowUs) >= fewest
            && f.mean(nowUs, 1) < less);
        return places.entrySet().stream().filter(p -> another && p.getValue().count(nowUs) >= fewest
            && p.getValue().mean(nowUs, 0) > most).map(Map.Entry::getKey).collect(Collectors.toSet());
    }
}
