package gatelock.state;

import gatelock.api.AttemptResult;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** Event counts since the start, for the operators. The names are part of the log and of the operators' pages. */
public final class Counters {
    private final Map<String, Long> counts = new TreeMap<>();
    private final Map<AttemptResult, Long> attemptsByResult = new EnumMap<>(AttemptResult.class);

    /** Counts an event of this name. */
    public void increment(String name) {
        counts.merge(name, 1L, Long::sum);
    }

    /** Counts an attempt that ended so. */
    public void attemptEnded(AttemptResult result) {
        attemptsByResult.merge(result, 1L, Long::sum);
    }

    /**
     * Checks an invariant: a violation fails an assertion where assertions are enabled, and is counted elsewhere.
     *
     * @param condition what must hold
     * @param violation the name under which a violation is counted
     */
    public void checkInvariant(boolean condition, String violation) {
        assert condition : violation;
        if (!condition) {
            increment("broken: " + violation);
        }
    }

    @Override
    public String toString() {
        return counts + " tries " + attemptsByResult;
    }
}
