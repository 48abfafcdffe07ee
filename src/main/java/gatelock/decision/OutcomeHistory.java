package gatelock.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** The latest slices of one build, and those that were kept at one time. */
final class OutcomeHistory {
    private final int most;
    private final int mostOutcomes;
    private final RandomGenerator chance;
    private final ArrayDeque<OutcomeWindow> slices = new ArrayDeque<>();
    private List<OutcomeWindow> before = List.of();
    private int seenInLast;

    /** Keeps so many slices, and of what is added to one by one a fair sample of so many outcomes. */
    OutcomeHistory(int most, int mostOutcomes, RandomGenerator chance) {
        this.most = most;
        this.mostOutcomes = mostOutcomes;
        this.chance = chance;
    }

    /** Adds to the slice of this number, which is the latest or a new one. */
    void add(long number, AttemptOutcome outcome) {
        if (slices.isEmpty() || slices.peekLast().number() != number) {
            add(new OutcomeWindow(number, new ArrayList<>(List.of(outcome))));
            seenInLast = 1;
            return;
        }
        List<AttemptOutcome> held = slices.peekLast().outcomes();
        seenInLast++;
        if (held.size() < mostOutcomes) {
            held.add(outcome);
        } else {
            int place = chance.nextInt(seenInLast);
            if (place < mostOutcomes) {
                held.set(place, outcome);
            }
        }
    }

    /** Adds a slice of its own, unless nothing is in it. */
    void add(OutcomeWindow slice) {
        if (!slice.outcomes().isEmpty()) {
            slices.add(slice);
        }
        if (slices.size() > most) {
            slices.poll();
        }
    }

    boolean isEmpty() {
        return slices.isEmpty();
    }

    List<OutcomeWindow> all() {
        return List.copyOf(slices);
    }

    /** The number of the latest slice, 0 where there is none. */
    long last() {
        return slices.isEmpty() ? 0 : slices.peekLast().number();
    }

    /** The slices with this number and later ones. */
    List<OutcomeWindow> from(long number) {
        return slices.stream().filter(s -> s.number() >= number).toList();
    }

    /** Keeps what there is for {@link #before}. */
    void keep() {
        before = List.copyOf(slices);
    }

    List<OutcomeWindow> before() {
        return before;
    }
}
