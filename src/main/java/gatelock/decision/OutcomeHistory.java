package gatelock.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The latest windows of one build's outcomes, and a snapshot of the windows that were current when a new build was
 * first listed.
 */
final class OutcomeHistory {
    private final int maxWindows;
    private final int maxOutcomes;
    private final RandomGenerator random;
    private final ArrayDeque<OutcomeWindow> windows = new ArrayDeque<>();
    private List<OutcomeWindow> snapshot = List.of();
    private int outcomesAddedToLatest;

    /**
     * Creates a history that keeps {@code maxWindows} windows. Of the outcomes that are added to a window one by one it
     * keeps a uniform sample of {@code maxOutcomes}.
     */
    OutcomeHistory(int maxWindows, int maxOutcomes, RandomGenerator random) {
        this.maxWindows = maxWindows;
        this.maxOutcomes = maxOutcomes;
        this.random = random;
    }

    /** Adds an outcome to the window with this number, which is the latest one or a new one. */
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

    /** Adds a complete window, unless it is empty. */
    void add(OutcomeWindow window) {
        if (!window.outcomes().isEmpty()) {
            windows.add(window);
        }
        if (windows.size() > maxWindows) {
            windows.poll();
        }
    }

    /** Whether there are no windows. */
    boolean isEmpty() {
        return windows.isEmpty();
    }

    /** Returns all kept windows, the oldest first. */
    List<OutcomeWindow> all() {
        return List.copyOf(windows);
    }

    /** Returns the number of the latest window, or 0 if there is none. */
    long lastNumber() {
        return windows.isEmpty() ? 0 : windows.peekLast().number();
    }

    /** Returns the windows with this number or a later one. */
    List<OutcomeWindow> since(long number) {
        return windows.stream().filter(window -> window.number() >= number).toList();
    }

    /** Stores the current windows for {@link #snapshot}. */
    void takeSnapshot() {
        snapshot = List.copyOf(windows);
    }

    /** Returns the windows as they were when the latest snapshot was taken. */
    List<OutcomeWindow> snapshot() {
        return snapshot;
    }
}
