package gatelock.session;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Sessions that are to be closed because their endpoint is draining or the relay is shutting down, in the order in
 * which they were added. They are closed at the rate at which the remaining endpoints can open sessions, so that
 * reconnecting clients do not overload those endpoints, and at their deadline at the latest.
 */
final class DrainQueue {
    private static final double MICROS_PER_SECOND = 1e6;
    /** Unused closes accumulate for at most this long, which limits the size of a burst. */
    private static final long MAX_BURST_US = 100_000;
    /**
     * During a shutdown, when the rate alone does not suffice, each call closes a session beyond the rate with the
     * probability of this time divided by the time until the deadline.
     */
    private static final long SHUTDOWN_SPREAD_US = 100_000;

    private record Entry(WebSocketSession session, CloseReason reason, long deadlineUs) {}

    private final double opensPerEndpointPerS;
    private final RandomGenerator random;
    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private final Set<WebSocketSession> queued = new HashSet<>();
    /** Number of closes that are currently permitted without exceeding the rate. */
    private double closeBudget;

    private long closeBudgetUpdatedUs;
    /** The time by which all sessions are closed, whatever their own deadline. */
    private long latestDeadlineUs = Long.MAX_VALUE;

    /**
     * Creates an empty queue.
     *
     * @param opensPerEndpointPerS how many sessions per second each ready endpoint can open
     * @param random spreads the closes of a shutdown and the times at which clients reconnect
     */
    DrainQueue(double opensPerEndpointPerS, RandomGenerator random) {
        this.opensPerEndpointPerS = opensPerEndpointPerS;
        this.random = random;
    }

    /** Returns the number of sessions that wait to be closed. */
    int size() {
        return queued.size();
    }

    /** Adds a session. Has no effect if the session is not open or already queued. */
    void add(WebSocketSession session, CloseReason reason, long deadlineUs) {
        if (session.isOpen() && queued.add(session)) {
            entries.add(new Entry(session, reason, deadlineUs));
        }
    }

    /** Closes all sessions, also those that are added later, by this time at the latest. */
    void limitDeadlines(long deadlineUs) {
        latestDeadlineUs = deadlineUs;
    }

    /** Stops counting a finished session. Its entry has no further effect and is dropped when its turn comes. */
    void remove(WebSocketSession session) {
        queued.remove(session);
    }

    /**
     * Closes the sessions whose turn has come.
     *
     * @param readyEndpoints endpoints to which clients may reconnect
     * @param relayShuttingDown whether the relay is shutting down, so that clients reconnect to other relays and closes
     *     beyond the rate are spread over the time until the deadline
     */
    void closeDue(long nowUs, long readyEndpoints, boolean relayShuttingDown) {
        double closesPerUs = Math.max(1, readyEndpoints) * opensPerEndpointPerS / MICROS_PER_SECOND;
        double maxBudget = Math.max(1, closesPerUs * MAX_BURST_US);
        closeBudget = Math.min(maxBudget, closeBudget + Math.max(0, nowUs - closeBudgetUpdatedUs) * closesPerUs);
        closeBudgetUpdatedUs = nowUs;
        while (!entries.isEmpty()) {
            Entry next = entries.peek();
            boolean mustCloseNow = mustCloseNow(next, nowUs, closesPerUs, relayShuttingDown);
            if (next.session.isOpen() && closeBudget < 1 && !mustCloseNow) {
                break;
            }
            entries.remove();
            queued.remove(next.session);
            if (next.session.isOpen()) {
                closeBudget = Math.max(0, closeBudget - 1);
                next.session.end(nowUs, next.reason, reconnectDelayMs(random));
            }
        }
    }

    /**
     * Returns whether a session is closed regardless of the budget. This is the case if its deadline has passed. During
     * a shutdown whose queue cannot be emptied in time at the permitted rate, it is also decided at random, so that the
     * closes are spread over the remaining time.
     */
    private boolean mustCloseNow(Entry entry, long nowUs, double closesPerUs, boolean relayShuttingDown) {
        long remainingUs = Math.min(entry.deadlineUs, latestDeadlineUs) - nowUs;
        if (remainingUs <= 0) {
            return true;
        }
        boolean tooManyForRate = entries.size() > remainingUs * closesPerUs;
        return tooManyForRate
                && relayShuttingDown
                && random.nextDouble() < (double) SHUTDOWN_SPREAD_US / Math.max(SHUTDOWN_SPREAD_US, remainingUs);
    }

    /**
     * Returns a random reconnect delay, so that clients whose sessions are closed together do not reconnect together.
     */
    static long reconnectDelayMs(RandomGenerator random) {
        return 50 + random.nextLong(950);
    }
}
