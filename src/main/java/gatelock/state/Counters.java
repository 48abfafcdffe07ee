package gatelock.state;

import gatelock.api.AttemptResult;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts events since the start, for operators. The counter names appear in the log and in the operator documentation.
 */
public final class Counters {
    private final Map<String, Long> counts = new TreeMap<>();
    private final Map<AttemptResult, Long> attemptsByResult = new EnumMap<>(AttemptResult.class);

    /** Increments the counter of this name. */
    public void increment(String name) {
        counts.merge(name, 1L, Long::sum);
    }

    /** Counts an attempt that ended with this result. */
    public void attemptEnded(AttemptResult result) {
        attemptsByResult.merge(result, 1L, Long::sum);
    }

    /**
     * Checks an invariant. A violation fails an assertion if assertions are enabled, and is counted otherwise.
     *
     * @param condition the invariant, which must be true
     * @param violation describes the violation; part of the name of its counter
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
