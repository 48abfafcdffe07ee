package gatelock.state;

import static gatelock.state.ClientConnectionState.AWAITING_FIRST_REQUEST;
import static gatelock.state.ClientConnectionState.AWAITING_RESPONSE;
import static gatelock.state.ClientConnectionState.IDLE;
import static gatelock.state.ClientConnectionState.READING_REQUEST;
import static gatelock.state.ClientConnectionState.WRITING_RESPONSE;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * All client connections, each in one {@link ClientConnectionState}. This class alone decides whether a connection may
 * be closed. A connection is never closed while its client is owed a response. A connection without a request in
 * progress is closed only after a check for bytes that have arrived but have not been read.
 *
 * <p>This check guards against a delayed I/O thread: when the timer that closes a connection fires, a request may have
 * arrived without having been read. The check is correct for any order of arrivals, timers and responses. It does not
 * affect idle clients, and a client that sends single bytes causes at most one additional check.
 *
 * @param <C> the connection type; its instances must be equal only to themselves
 */
public final class ClientConnections<C> {
    /**
     * The time in which a request must be complete, measured from accept for the first request and from the first byte
     * for later ones. Guards against clients that send nothing, or that never complete a head or body. A client on a
     * network so slow that one request takes longer than this is disconnected.
     */
    public static final long REQUEST_TIMEOUT_US = 2_500_000;
    /**
     * The maximum time from a response to the next request, and the maximum time for the client to read a response.
     * Guards against clients that send one request and keep the connection open, or that do not read their response.
     */
    public static final long IDLE_TIMEOUT_US = 2_000_000;
    /**
     * Up to the hard limit, a connection that awaits its first request is evicted only if it is older than this:
     * ordinary clients send their first request sooner.
     */
    private static final long EVICTION_MIN_AGE_US = 300_000;
    /**
     * Above the hard limit the same, but shorter. It bounds how often clients that come again as soon as they are
     * evicted can do so.
     */
    private static final long EVICTION_MIN_AGE_OVER_HARD_LIMIT_US = 100_000;
    /** The maximum number of connections that one eviction examines; if none of them may be closed, none is evicted. */
    private static final int MAX_EVICTION_CANDIDATES = 8;

    private static final List<ClientConnectionState> STATES_WITH_TIMEOUT =
            List.of(AWAITING_FIRST_REQUEST, READING_REQUEST, WRITING_RESPONSE, IDLE);

    private static final class Entry {
        private ClientConnectionState state = AWAITING_FIRST_REQUEST;
        private long deadlineUs;
        /** When the connection entered its state. */
        private long sinceUs;

        /** Whether bytes of the next request were read before the current response was completely written. */
        private boolean nextRequestStarted;
        /** Whether the last check found the deadline passed and left the connection open. */
        private boolean overdueAtLastCheck;
    }

    private final Counters counters;
    private final ClientSockets<C> sockets;
    private final int softLimit;
    private int hardLimit;
    private final Map<C, Entry> entries = new HashMap<>();
    /** The connections in each state, in the order in which they entered it. */
    private final Map<ClientConnectionState, Set<C>> byState = new EnumMap<>(ClientConnectionState.class);

    /**
     * Creates an empty set of connections.
     *
     * @param counters counts accepted and closed connections
     * @param sockets gives access to the sockets of the connections
     * @param softLimit the number of connections above which idle connections are evicted, and connections that have
     *     waited for their first request for some time
     * @param hardLimit the number of connections above which any connection without a complete request may be evicted
     */
    public ClientConnections(Counters counters, ClientSockets<C> sockets, int softLimit, int hardLimit) {
        this.counters = counters;
        this.sockets = sockets;
        this.softLimit = softLimit;
        this.hardLimit = hardLimit;
        for (ClientConnectionState state : ClientConnectionState.values()) {
            byState.put(state, new LinkedHashSet<>());
        }
    }

    /** Changes the number of connections above which any connection without a complete request may be evicted. */
    public void setHardLimit(int hardLimit) {
        this.hardLimit = hardLimit;
    }

    /** Returns the number of open connections. */
    public int size() {
        return entries.size();
    }

    /** Returns all open connections. */
    List<C> connections() {
        return new ArrayList<>(entries.keySet());
    }

    /** Returns the state of a connection, or null once it is closed. */
    ClientConnectionState state(C connection) {
        Entry entry = entries.get(connection);
        return entry == null ? null : entry.state;
    }

    /** Returns whether the response to a request on a connection has started and is not completely written. */
    public boolean isWritingResponse(C connection) {
        return state(connection) == WRITING_RESPONSE;
    }

    /** Adds a connection that was accepted. */
    public void accepted(long nowUs, C connection) {
        counters.increment("client connections");
        Entry entry = new Entry();
        entries.put(connection, entry);
        enter(nowUs, AWAITING_FIRST_REQUEST, connection, entry, nowUs + REQUEST_TIMEOUT_US);
    }

    /** Records that bytes from the client were read, even if they do not form a valid request. */
    public void bytesRead(long nowUs, C connection) {
        Entry entry = entries.get(connection);
        if (entry == null) {
            return;
        }
        switch (entry.state) {
            case AWAITING_FIRST_REQUEST -> enter(nowUs, READING_REQUEST, connection, entry, entry.deadlineUs);
            case IDLE -> enter(nowUs, READING_REQUEST, connection, entry, nowUs + REQUEST_TIMEOUT_US);
            case AWAITING_RESPONSE, WRITING_RESPONSE -> entry.nextRequestStarted = true;
            case READING_REQUEST -> {}
        }
    }

    /** Records that a request is complete. Its connection stays open until the response is written. */
    public void requestCompleted(long nowUs, C connection) {
        Entry entry = entries.get(connection);
        if (entry != null) {
            counters.checkInvariant(
                    entry.state == READING_REQUEST, "a req whole on a connection on which none was coming");
            enter(nowUs, AWAITING_RESPONSE, connection, entry, Long.MAX_VALUE);
        }
    }

    /** Records the start of a response: to a complete request, or the rejection of an incomplete one. */
    public void responseStarted(long nowUs, C connection) {
        Entry entry = entries.get(connection);
        if (entry != null) {
            enter(nowUs, WRITING_RESPONSE, connection, entry, nowUs + IDLE_TIMEOUT_US);
        }
    }

    /**
     * Records that the last byte of a response was written.
     *
     * @param nowUs the current time
     * @param connection the connection
     * @param pipelined whether bytes of the next request were read together with the request
     */
    public void responseWritten(long nowUs, C connection, boolean pipelined) {
        Entry entry = entries.get(connection);
        if (entry == null) {
            return;
        }
        if (entry.nextRequestStarted || pipelined) {
            entry.nextRequestStarted = false;
            enter(nowUs, READING_REQUEST, connection, entry, nowUs + REQUEST_TIMEOUT_US);
        } else {
            enter(nowUs, IDLE, connection, entry, nowUs + IDLE_TIMEOUT_US);
        }
    }

    /** Removes a connection that either side has closed, or that was upgraded to another protocol. */
    public void remove(C connection) {
        Entry entry = entries.remove(connection);
        if (entry != null) {
            byState.get(entry.state).remove(connection);
        }
    }

    private void enter(long nowUs, ClientConnectionState state, C connection, Entry entry, long deadlineUs) {
        byState.get(entry.state).remove(connection);
        entry.state = state;
        entry.sinceUs = nowUs;
        entry.deadlineUs = deadlineUs;
        entry.overdueAtLastCheck = false;
        byState.get(state).add(connection);
    }

    /**
     * Closes the connections whose deadline has passed. A connection with a request or response in progress is closed
     * only at the second check after its deadline: between the two checks the relay reads and writes what it can.
     */
    public void closeOverdue(long nowUs) {
        for (ClientConnectionState state : STATES_WITH_TIMEOUT) {
            for (C connection : overdue(state, nowUs)) {
                Entry entry = entries.get(connection);
                if (!state.isInactive() && !entry.overdueAtLastCheck) {
                    entry.overdueAtLastCheck = true;
                } else {
                    close(nowUs, connection, ClientCloseReason.ofTimeoutIn(state));
                }
            }
        }
    }

    private List<C> overdue(ClientConnectionState state, long nowUs) {
        // READING_REQUEST is the only state whose deadlines are not in order of entry: the deadline of a first request
        // is measured from accept, that of a later request from its first byte.
        boolean inOrder = state != READING_REQUEST;
        List<C> overdue = new ArrayList<>();
        for (C connection : byState.get(state)) {
            if (entries.get(connection).deadlineUs <= nowUs) {
                overdue.add(connection);
            } else if (inOrder) {
                break;
            }
        }
        return overdue;
    }

    /**
     * Evicts connections if there are too many. Guards against connections that prevent others from being accepted, and
     * against clients that keep opening connections. Above the soft limit, one is evicted: a connection that has waited
     * for its first request for some time, or an idle one. Above the hard limit as many as there are too many: first
     * those without a complete request, and then those that have not read their response for some time. The oldest are
     * evicted first. A client whose request is slow to arrive while very many others connect may therefore be
     * disconnected, but not before it had a little time.
     */
    public void evictIfOverLimit(long nowUs) {
        if (entries.size() <= softLimit) {
            return;
        }
        long oldUs = nowUs - EVICTION_MIN_AGE_US;
        if (!evictOldest(nowUs, AWAITING_FIRST_REQUEST, oldUs, ClientCloseReason.EVICTED_WITHOUT_REQUEST)) {
            evictOldest(nowUs, IDLE, nowUs, ClientCloseReason.EVICTED_IDLE);
        }
        boolean evicted = true;
        while (evicted && isOverHardLimit()) {
            evicted = evictOldestIncomplete(nowUs)
                    || evictOldest(nowUs, WRITING_RESPONSE, oldUs, ClientCloseReason.RESPONSE_NOT_READ);
        }
    }

    /** Returns whether there are more connections than the hard limit. */
    public boolean isOverHardLimit() {
        return entries.size() > hardLimit;
    }

    /** Closes the connection that has been without a complete request longest, with or without a part of it. */
    private boolean evictOldestIncomplete(long nowUs) {
        long latestSinceUs = nowUs - EVICTION_MIN_AGE_OVER_HARD_LIMIT_US;
        return sinceUsOfOldest(READING_REQUEST) <= sinceUsOfOldest(AWAITING_FIRST_REQUEST)
                ? evictOldest(nowUs, READING_REQUEST, latestSinceUs, ClientCloseReason.EVICTED_INCOMPLETE)
                : evictOldest(nowUs, AWAITING_FIRST_REQUEST, latestSinceUs, ClientCloseReason.EVICTED_WITHOUT_REQUEST);
    }

    private long sinceUsOfOldest(ClientConnectionState state) {
        Iterator<C> oldest = byState.get(state).iterator();
        return oldest.hasNext() ? entries.get(oldest.next()).sinceUs : Long.MAX_VALUE;
    }

    /**
     * Closes the oldest connection that may be closed among those in a state since the given time or longer; returns
     * whether one was closed.
     */
    private boolean evictOldest(long nowUs, ClientConnectionState state, long latestSinceUs, ClientCloseReason reason) {
        for (int examined = 0; examined < MAX_EVICTION_CANDIDATES; examined++) {
            // A candidate that may not be closed is not the first one of this state any more.
            Iterator<C> oldest = byState.get(state).iterator();
            if (!oldest.hasNext()) {
                return false;
            }
            C connection = oldest.next();
            if (entries.get(connection).sinceUs > latestSinceUs) {
                return false;
            }
            if (close(nowUs, connection, reason)) {
                return true;
            }
        }
        return false;
    }

    /** Closes, for shutdown, the connections without a request or response in progress. */
    public void closeInactive(long nowUs) {
        for (ClientConnectionState state : List.of(AWAITING_FIRST_REQUEST, IDLE)) {
            for (C connection : new ArrayList<>(byState.get(state))) {
                close(nowUs, connection, ClientCloseReason.SHUTDOWN);
            }
        }
    }

    /**
     * Closes a connection unless its client is owed a response or has sent bytes that have not been read.
     *
     * @param nowUs the current time
     * @param connection the connection
     * @param reason why it is to be closed; some reasons allow the close in any state
     * @return whether it was closed
     */
    public boolean close(long nowUs, C connection, ClientCloseReason reason) {
        Entry entry = entries.get(connection);
        if (entry == null) {
            return false;
        }
        if (!reason.appliesInAnyState()) {
            if (entry.state == AWAITING_RESPONSE) {
                counters.checkInvariant(false, "a connection to be ended that is owed an answer");
                return false;
            }
            if (entry.state.isInactive() && sockets.hasUnreadBytes(connection)) {
                counters.increment("clients kept, a req lay unread");
                bytesRead(nowUs, connection);
                return false;
            }
            if (reason == ClientCloseReason.EVICTED_INCOMPLETE && sockets.hasUnreadBytes(connection)) {
                // The rest of the request may have arrived, so the client has not been slow since now.
                enter(nowUs, READING_REQUEST, connection, entry, entry.deadlineUs);
                return false;
            }
        }
        counters.increment(reason.counter());
        remove(connection);
        sockets.close(connection, entry.state, reason);
        return true;
    }
}
