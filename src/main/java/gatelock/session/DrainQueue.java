package gatelock.session;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Sessions that have to leave their endpoint or the relay, in the order in which they were added. They are closed at
 * the rate at which the remaining endpoints can open sessions, so that clients that reconnect overload nobody, and at
 * their deadline at the latest.
 */
final class DrainQueue {
    private static final double US_PER_S = 1e6;
    /** Opens saved up for a burst: those of this time at the most. */
    private static final long MAX_BURST_US = 100_000;
    /** At a shutdown each call closes a session beyond the rate with the probability of this time over what is left. */
    private static final long SHUTDOWN_SPREAD_US = 100_000;

    private record Entry(WebSocketSession session, CloseReason reason, long deadlineUs) {}

    private final double opensPerEndpointPerS;
    private final RandomGenerator random;
    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private final Set<WebSocketSession> queued = new HashSet<>();
    /** Closes that may be made now without exceeding the rate. */
    private double budget;

    private long budgetUpdatedUs;

    /** @param opensPerEndpointPerS opens a second that each ready endpoint can bear */
    DrainQueue(double opensPerEndpointPerS, RandomGenerator random) {
        this.opensPerEndpointPerS = opensPerEndpointPerS;
        this.random = random;
    }

    int size() {
        return queued.size();
    }

    /** Adds a session that is open and not queued yet; any other is ignored. */
    void add(WebSocketSession session, CloseReason reason, long deadlineUs) {
        if (session.isOpen() && queued.add(session)) {
            entries.add(new Entry(session, reason, deadlineUs));
        }
    }

    /** Forgets a session that is finished. Its entry has no effect any more and is dropped in its turn. */
    void remove(WebSocketSession session) {
        queued.remove(session);
    }

    /**
     * Closes the sessions whose turn has come.
     *
     * @param readyEndpoints endpoints to which clients may reconnect
     * @param relayShutsDown whether the clients go to other relays, so that the closes are spread until the deadline
     */
    void closeDue(long nowUs, long readyEndpoints, boolean relayShutsDown) {
        double closesPerUs = Math.max(1, readyEndpoints) * opensPerEndpointPerS / US_PER_S;
        double maxBudget = Math.max(1, closesPerUs * MAX_BURST_US);
        budget = Math.min(maxBudget, budget + Math.max(0, nowUs - budgetUpdatedUs) * closesPerUs);
        budgetUpdatedUs = nowUs;
        while (!entries.isEmpty()) {
            Entry next = entries.peek();
            boolean overdue = isOverdue(next, nowUs, closesPerUs, relayShutsDown);
            if (next.session.isOpen() && budget < 1 && !overdue) {
                break;
            }
            entries.remove();
            queued.remove(next.session);
            if (next.session.isOpen()) {
                budget = Math.max(0, budget - 1);
                next.session.end(nowUs, next.reason, reconnectDelayMs(random));
            }
        }
    }

    /**
     * Returns whether a session is closed whatever the budget: its deadline has come, or the relay shuts down, the
     * rate alone would not empty the queue in time, and a draw spreads the closes over the time that is left.
     */
    private boolean isOverdue(Entry entry, long nowUs, double closesPerUs, boolean relayShutsDown) {
        long leftUs = entry.deadlineUs - nowUs;
        if (leftUs <= 0) {
            return true;
        }
        boolean tooManyForRate = entries.size() > leftUs * closesPerUs;
        return tooManyForRate
                && relayShutsDown
                && random.nextDouble() < (double) SHUTDOWN_SPREAD_US / Math.max(SHUTDOWN_SPREAD_US, leftUs);
    }

    /** Draws when a client may reconnect, so that clients that are closed together do not come back together. */
    static long reconnectDelayMs(RandomGenerator random) {
        return 50 + random.nextLong(950);
    }
}
