package gatelock.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** The latest slices of one build's outcomes, and those that were remembered when a new build came. */
final class OutcomeHistory {
    private final int maxWindows;
    private final int maxOutcomes;
    private final RandomGenerator random;
    private final ArrayDeque<OutcomeWindow> windows = new ArrayDeque<>();
    private List<OutcomeWindow> snapshot = List.of();
    private int outcomesAddedToLatest;

    /** Keeps so many slices, and of the outcomes that are added to a slice one by one a fair sample of so many. */
    OutcomeHistory(int maxWindows, int maxOutcomes, RandomGenerator random) {
        this.maxWindows = maxWindows;
        this.maxOutcomes = maxOutcomes;
        this.random = random;
    }

    /** Adds to the slice of this number, which is the latest one or a new one. */
    void add(long number, AttemptOutcome outcome) {
        if (windows.isEmpty() || windows.peekLast().number() != number) {
            add(new OutcomeWindow(number, new ArrayList<>(List.of(outcome))));
            outcomesAddedToLatest = 1;
            return;
        }
        List<AttemptOutcome> sample = windows.peekLast().outcomes();
        outcomesAddedToLatest++;
        if (sample.size() < maxOutcomes) {
            sample.add(outcome);
            return;
        }
        int index = random.nextInt(outcomesAddedToLatest);
        if (index < maxOutcomes) {
            sample.set(index, outcome);
        }
    }

    /** Adds a whole slice, unless it is empty. */
    void add(OutcomeWindow window) {
        if (!window.outcomes().isEmpty()) {
            windows.add(window);
        }
        if (windows.size() > maxWindows) {
            windows.poll();
        }
    }

    boolean isEmpty() {
        return windows.isEmpty();
    }

    List<OutcomeWindow> all() {
        return List.copyOf(windows);
    }

    /** The number of the latest slice, 0 where there is none. */
    long lastNumber() {
        return windows.isEmpty() ? 0 : windows.peekLast().number();
    }

    /** The slices with this number and later ones. */
    List<OutcomeWindow> since(long number) {
        return windows.stream().filter(window -> window.number() >= number).toList();
    }

    /** Remembers the present slices for {@link #snapshot}. */
    void takeSnapshot() {
        snapshot = List.copyOf(windows);
    }

    /** The slices as they were when the latest snapshot was taken. */
    List<OutcomeWindow> snapshot() {
        return snapshot;
    }
}
