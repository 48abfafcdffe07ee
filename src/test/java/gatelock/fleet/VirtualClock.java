package gatelock.fleet;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The simulated time of a fleet and its event queue. Events run in the order of their time. Events due at the same time
 * run in the order in which they were scheduled, so that the same seed always produces the same sequence of events.
 */
final class VirtualClock {
    static final long MILLISECOND_US = 1_000;
    static final long SECOND_US = 1_000_000;
    private static final long START_US = 100 * SECOND_US;

    private record Event(long atUs, long sequence, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atUs).thenComparingLong(Event::sequence));
    private long nowUs = START_US;
    private long nextSequence;

    /** Returns the current simulated time. */
    long nowUs() {
        return nowUs;
    }

    /** Runs the action once {@code delayUs} have passed. */
    void schedule(long delayUs, Runnable action) {
        events.add(new Event(nowUs + delayUs, nextSequence++, action));
    }

    /** Runs every event that is due within the next {@code durationUs} and advances the clock by that time. */
    void runFor(long durationUs) {
        long untilUs = nowUs + durationUs;
        while (!events.isEmpty() && events.peek().atUs <= untilUs) {
            Event event = events.poll();
            nowUs = event.atUs;
            event.action.run();
        }
        nowUs = untilUs;
    }
}
