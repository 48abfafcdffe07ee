package gatelock.state;

import gatelock.api.AttemptResult;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** Counts since the start, for the operators. */
public final class Counters {
    private final Map<String, Long> counts = new TreeMap<>();
    private final Map<AttemptResult, Long> endings = new EnumMap<>(AttemptResult.class);

    public void add(String what) {
        counts.merge(what, 1L, Long::sum);
    }

    public void ended(AttemptResult ending) {
        endings.merge(ending, 1L, Long::sum);
    }

    /** What must hold: asserted in debug builds, counted in release builds. */
    public void holds(boolean condition, String otherwise) {
        assert condition : otherwise;
        if (!condition) {
            add("broken: " + otherwise);
        }
    }

    @Override
    public String toString() {
        return counts + " tries " + endings;
    }
}
