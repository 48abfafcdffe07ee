package gatelock.state;

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
 * be closed: never while its client is owed a response, and without a request under way only after a look at the bytes
 * that have arrived but were not read yet.
 *
 * <p>The look guards against a delayed I/O thread: a request may lie unread at the time when the timer that closes its
 * connection fires. It holds for any order of arrivals, timers and responses. It costs an idle client nothing, and a
 * client that sends single bytes at most one more look.
 *
 * @param <C> a connection; equal only to itself
 */
public final class ClientConnections<C> {
    /**
     * The time in which a request must be complete: the first one from accept, a later one from its first byte. Guards
     * against clients that send nothing, or that never complete a head or body. Could harm a client on a network so
     * slow that one request takes as long.
     */
    public static final long REQUEST_TIMEOUT_US = 2_500_000;
    /**
     * The time from a response to the next request, and for the client to read a response. Guards against clients that
     * send one request and stay, or that do not read their response.
     */
    public static final long IDLE_TIMEOUT_US = 2_000_000;
    /** A connection without a request is evicted only when it is older than this; usual clients send one sooner. */
    private static final long EVICTION_MIN_AGE_US = 300_000;
    /** The connections that are examined in order to evict one; if none of them may be closed, none is evicted. */
    private static final int MAX_EVICTION_CANDIDATES = 8;

    private static final List<ClientConnectionState> STATES_WITH_TIMEOUT = List.of(
            ClientConnectionState.AWAITING_FIRST_REQUEST,
            ClientConnectionState.READING_REQUEST,
            ClientConnectionState.WRITING_RESPONSE,
            ClientConnectionState.IDLE);

    private static final class Entry {
        private ClientConnectionState state = ClientConnectionState.AWAITING_FIRST_REQUEST;
        private long deadlineUs;
        /** Whether bytes of the next request were read before the last response was written. */
        private boolean nextRequestBegun;
        /** Whether the deadline had passed at the last check, and the connection was left open. */
        private boolean foundOverdue;
    }

    private final Counters counters;
    private final ClientSockets<C> sockets;
    private final int softLimit;
    private final int hardLimit;
    private final Map<C, Entry> entries = new HashMap<>();
    /** The connections of each state in the order in which they came into it. */
    private final Map<ClientConnectionState, Set<C>> byState = new EnumMap<>(ClientConnectionState.class);

    /**
     * Creates the bookkeeping for no connection yet.
     *
     * @param counters counts accepted and closed connections
     * @param sockets the connections themselves
     * @param softLimit the number of connections above which connections without a request are evicted once they are
     *     idle or no longer new
     * @param hardLimit the number above which any connection that awaits its first request may be evicted
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

    /** The number of open connections. */
    public int size() {
        return entries.size();
    }

    /** All open connections. */
    List<C> connections() {
        return new ArrayList<>(entries.keySet());
    }

    /** The state of a connection, or null once it is closed. */
    ClientConnectionState state(C connection) {
        Entry entry = entries.get(connection);
        return entry == null ? null : entry.state;
    }

    /** A connection was accepted. */
    public void accepted(long nowUs, C connection) {
        counters.increment("client connections");
        Entry entry = new Entry();
        entry.deadlineUs = nowUs + REQUEST_TIMEOUT_US;
        entries.put(connection, entry);
        byState.get(ClientConnectionState.AWAITING_FIRST_REQUEST).add(connection);
    }

    /** Bytes from the client were read, whatever they mean. */
    public void bytesRead(long nowUs, C connection) {
        Entry entry = entries.get(connection);
        if (entry == null) {
            return;
        }
        switch (entry.state) {
            case AWAITING_FIRST_REQUEST ->
                enter(ClientConnectionState.READING_REQUEST, connection, entry, entry.deadlineUs);
            case IDLE -> enter(ClientConnectionState.READING_REQUEST, connection, entry, nowUs + REQUEST_TIMEOUT_US);
            case AWAITING_RESPONSE, WRITING_RESPONSE -> entry.nextRequestBegun = true;
            case READING_REQUEST -> {}
        }
    }

    /** A request is complete: its connection stays open until the response is written. */
    public void requestCompleted(C connection) {
        Entry entry = entries.get(connection);
        if (entry != null) {
            counters.checkInvariant(
                    entry.state == ClientConnectionState.READING_REQUEST,
                    "a req whole on a connection on which none was coming");
            enter(ClientConnectionState.AWAITING_RESPONSE, connection, entry, Long.MAX_VALUE);
        }
    }

    /** A response begins to be written, to a complete request or as the rejection of an incomplete one. */
    public void responseStarted(long nowUs, C connection) {
        Entry entry = entries.get(connection);
        if (entry != null) {
            enter(ClientConnectionState.WRITING_RESPONSE, connection, entry, nowUs + IDLE_TIMEOUT_US);
        }
    }

    /**
     * The last byte of a response was written.
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
        if (entry.nextRequestBegun || pipelined) {
            entry.nextRequestBegun = false;
            enter(ClientConnectionState.READING_REQUEST, connection, entry, nowUs + REQUEST_TIMEOUT_US);
        } else {
            enter(ClientConnectionState.IDLE, connection, entry, nowUs + IDLE_TIMEOUT_US);
        }
    }

    /** Forgets a connection: it was closed by whichever side, or carries another protocol now. */
    public void remove(C connection) {
        Entry entry = entries.remove(connection);
        if (entry != null) {
            byState.get(entry.state).remove(connection);
        }
    }

    private void enter(ClientConnectionState state, C connection, Entry entry, long deadlineUs) {
        byState.get(entry.state).remove(connection);
        entry.state = state;
        entry.deadlineUs = deadlineUs;
        entry.foundOverdue = false;
        byState.get(state).add(connection);
    }

    /**
     * Closes the connections whose deadline has passed. One that is in the middle of a request or response is closed
     * only at the second check after its deadline: in between the relay has read and written what it could.
     */
    public void closeOverdue(long nowUs) {
        for (ClientConnectionState state : STATES_WITH_TIMEOUT) {
            for (C connection : overdue(state, nowUs)) {
                Entry entry = entries.get(connection);
                if (!state.isQuiet() && !entry.foundOverdue) {
                    entry.foundOverdue = true;
                } else {
                    close(nowUs, connection, ClientCloseReason.ofTimeoutIn(state));
                }
            }
        }
    }

    private List<C> overdue(ClientConnectionState state, long nowUs) {
        // The deadline of a first request runs from accept and of a later one from its first byte, so that only the
        // deadlines of this state are not in the order of entry.
        boolean inOrder = state != ClientConnectionState.READING_REQUEST;
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
     * Evicts at most one connection if there are too many. Guards against connections that keep others from being
     * accepted, and against clients that open ever more. Above the soft limit, connections that have waited for their
     * first request for a while go first, then idle ones; above the hard limit, any that awaits its first request; the
     * oldest first. A connection that has just been accepted awaits its first request only until that is read. Could
     * harm a client whose first request is slow to arrive while very many others connect.
     */
    public void evictIfCrowded(long nowUs) {
        if (entries.size() <= softLimit) {
            return;
        }
        long agedBeforeUs = nowUs + REQUEST_TIMEOUT_US - EVICTION_MIN_AGE_US;
        boolean evicted = evictOldest(
                        nowUs,
                        ClientConnectionState.AWAITING_FIRST_REQUEST,
                        agedBeforeUs,
                        ClientCloseReason.EVICTED_WITHOUT_REQUEST)
                || evictOldest(nowUs, ClientConnectionState.IDLE, Long.MAX_VALUE, ClientCloseReason.EVICTED_IDLE);
        if (!evicted && entries.size() > hardLimit) {
            evictOldest(
                    nowUs,
                    ClientConnectionState.AWAITING_FIRST_REQUEST,
                    Long.MAX_VALUE,
                    ClientCloseReason.EVICTED_WITHOUT_REQUEST);
        }
    }

    /** Closes the oldest connection of a state whose deadline is before a time; returns whether one was closed. */
    private boolean evictOldest(
            long nowUs, ClientConnectionState state, long deadlineBeforeUs, ClientCloseReason reason) {
        for (int examined = 0; examined < MAX_EVICTION_CANDIDATES; examined++) {
            // A candidate that may not be closed has changed its state, so that the next one is the first now.
            Iterator<C> oldest = byState.get(state).iterator();
            if (!oldest.hasNext()) {
                return false;
            }
            C connection = oldest.next();
            if (entries.get(connection).deadlineUs >= deadlineBeforeUs) {
                return false;
            }
            if (close(nowUs, connection, reason)) {
                return true;
            }
        }
        return false;
    }

    /** Closes, for shutdown, the connections on which nothing is under way. */
    public void closeQuiet(long nowUs) {
        for (ClientConnectionState state :
                List.of(ClientConnectionState.AWAITING_FIRST_REQUEST, ClientConnectionState.IDLE)) {
            for (C connection : new ArrayList<>(byState.get(state))) {
                close(nowUs, connection, ClientCloseReason.SHUTDOWN);
            }
        }
    }

    /**
     * Closes a connection if that is allowed.
     *
     * @param nowUs the current time
     * @param connection the connection
     * @param reason why it is to be closed
     * @return whether it was closed
     */
    public boolean close(long nowUs, C connection, ClientCloseReason reason) {
        Entry entry = entries.get(connection);
        if (entry == null) {
            return false;
        }
        if (!reason.appliesInAnyState()) {
            if (entry.state == ClientConnectionState.AWAITING_RESPONSE) {
                counters.checkInvariant(false, "a connection to be ended that is owed an answer");
                return false;
            }
            if (entry.state.isQuiet() && sockets.hasUnreadBytes(connection)) {
                counters.increment("clients kept, a req lay unread");
                bytesRead(nowUs, connection);
                return false;
            }
        }
        counters.increment(reason.counter());
        remove(connection);
        sockets.close(connection, entry.state, reason);
        return true;
    }
}
