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
 * All client connections, each in one state, and the one place that says whether one of them may be ended. A
 * connection that owes its client an answer is never ended here, and one that stands without a request only after
 * a
 * look at what has come on it and was not read yet.
 *
 * <p>Guards against a relay that is late: a request may lie unread while the timer that ends its connection is
 * due.
 * Should hold for any order of arrivals, timers and answers. Costs a client that is really idle nothing, and
 * one that
 * drips bytes at most one more look.
 *
 * @param <C> a connection; equal only to itself
 */
public final class ClientConnections<C> {
    /**
     * Guards against clients that say nothing, or never come to the end of a head or body, and those that
     * don't
     * read their answer: a connection has so long until its first request is whole, or a later one from its first
     * byte.
     * Should hold against any way of keeping a connection for nothing; could harm a client on a network so
     * slow
     * that one request takes as long.
     */
    public static final long WHOLE_WITHIN_US = 2_500_000;
    /** Between requests: so long from an answer. Guards against clients that ask once and stay. */
    public static final long IDLE_US = 2_000_000;
    /** A usual client says something sooner than this. */
    static final long SOON_US = 300_000;
    /** So many are looked at to make room for one; beyond that nothing goes this time. */
    private static final int LOOKED_AT = 8;

    /** What stands on a connection. */
    public enum State {
        /** Nothing has come on it yet. */
        SILENT,
        /** A request has begun to come: its head, or its body. */
        COMING,
        /** A request is whole and owed its answer. */
        OWED,
        /** An answer is on its way out, or a refusal. */
        ANSWERING,
        /** Its last answer has left, and nothing has come since. */
        BETWEEN
    }

    /** Why a connection is ended. */
    public enum Why {
        SILENT("clients closed, no whole req"),
        UNFINISHED("clients closed, no whole req"),
        ANSWER_UNREAD("clients closed, answer unread"),
        IDLE("clients closed, idle"),
        ROOM_SILENT("clients closed for room, silent"),
        ROOM_IDLE("clients closed for room, idle"),
        LEAVING("clients closed, leaving"),
        REFUSED("clients closed, refused"),
        LEFT("clients closed, gone first");

        private final String counted;

        Why(String counted) {
            this.counted = counted;
        }
    }

    /** The connections themselves. */
    public interface Sockets<C> {
        /** Whether anything has come that was not read yet; if so it is to be read next. */
        boolean unread(C connection);

        /** Ends it; {@link ClientConnections#gone} follows, now or later. */
        void end(C connection, State state, Why why);
    }

    private static final class Standing {
        private State state = State.SILENT;
        private long byUs;
        /** Bytes of a next request came before the last answer had left. */
        private boolean early;
        /** Was overdue at the last look. */
        private boolean spared;
    }

    private final Counters counters;
    private final Sockets<C> sockets;
    private final int withEase;
    private final int most;
    private final Map<C, Standing> all = new HashMap<>();
    /** Those of each state, the longest there first; in each, times to be done by only go up. */
    private final Map<State, Set<C>> by = new EnumMap<>(State.class);

    /**
     * @param withEase connections held at a time; beyond that idle ones make room
     * @param most beyond that all that wait for a first request do
     */
    public ClientConnections(Counters counters, Sockets<C> sockets, int withEase, int most) {
        this.counters = counters;
        this.sockets = sockets;
        this.withEase = withEase;
        this.most = most;
        for (State state : State.values()) {
            by.put(state, new LinkedHashSet<>());
        }
    }

    public int size() {
        return all.size();
    }

    /** All that stand now. */
    List<C> connections() {
        return new ArrayList<>(all.keySet());
    }

    /** Its state, or null once it is gone. */
    public State state(C connection) {
        Standing standing = all.get(connection);
        return standing == null ? null : standing.state;
    }

    /** One was accepted. */
    public void came(long nowUs, C connection) {
        counters.add("client connections");
        Standing standing = new Standing();
        standing.byUs = nowUs + WHOLE_WITHIN_US;
        all.put(connection, standing);
        by.get(State.SILENT).add(connection);
    }

    /** Bytes from the client were read, whatever they mean. */
    public void bytes(long nowUs, C connection) {
        Standing standing = all.get(connection);
        if (standing == null) {
            return;
        }
        switch (standing.state) {
            case SILENT -> move(connection, standing, State.COMING, standing.byUs);
            case BETWEEN -> move(connection, standing, State.COMING, nowUs + WHOLE_WITHIN_US);
            case OWED, ANSWERING -> standing.early = true;
            case COMING -> {}
        }
    }

    /** A request is whole: until it is answered, its connection stays. */
    public void whole(C connection) {
        Standing standing = all.get(connection);
        if (standing != null) {
            counters.holds(standing.state == State.COMING, "a req whole on a connection on which none was coming");
            move(connection, standing, State.OWED, Long.MAX_VALUE);
        }
    }

    /** An answer begins to go out, to a whole request or as a refusal. */
    public void answering(long nowUs, C connection) {
        Standing standing = all.get(connection);
        if (standing != null) {
            move(connection, standing, State.ANSWERING, nowUs + IDLE_US);
        }
    }

    /** The last byte of an answer has left; {@code more}: bytes behind its request were read together with it. */
    public void answered(long nowUs, C connection, boolean more) {
        Standing standing = all.get(connection);
        if (standing != null && (standing.early || more)) {
            standing.early = false;
            move(connection, standing, State.COMING, nowUs + WHOLE_WITHIN_US);
        } else if (standing != null) {
            move(connection, standing, State.BETWEEN, nowUs + IDLE_US);
        }
    }

    /** It has ended, whoever ended it. */
    public void gone(C connection) {
        Standing standing = all.remove(connection);
        if (standing != null) {
            by.get(standing.state).remove(connection);
        }
    }

    private void move(C connection, Standing standing, State to, long byUs) {
        by.get(standing.state).remove(connection);
        standing.state = to;
        standing.byUs = byUs;
        standing.spared = false;
        by.get(to).add(connection);
    }

    /**
     * Ends those whose time is up. What is in the middle of something is ended at the second look after that:
     * in
     * between the relay has read and written what it could.
     */
    public void endOverdue(long nowUs) {
        for (State state : List.of(State.SILENT, State.COMING, State.ANSWERING, State.BETWEEN)) {
            for (C connection : overdue(state, nowUs)) {
                Standing standing = all.get(connection);
                boolean midway = state == State.COMING || state == State.ANSWERING;
                if (midway && !standing.spared) {
                    standing.spared = true;
                } else {
                    end(
                            nowUs,
                            connection,
                            switch (state) {
                                case SILENT -> Why.SILENT;
                                case COMING -> Why.UNFINISHED;
                                case ANSWERING -> Why.ANSWER_UNREAD;
                                default -> Why.IDLE;
                            });
                }
            }
        }
    }

    /**
     * Of a first request the time runs from accept, of a later one from its first byte: only these are not in
     * order.
     */
    private List<C> overdue(State state, long nowUs) {
        List<C> due = new ArrayList<>();
        for (C connection : by.get(state)) {
            if (all.get(connection).byUs <= nowUs) {
                due.add(connection);
            } else if (state != State.COMING) {
                break;
            }
        }
        return due;
    }

    /**
     * Guards against connections that keep others from being accepted, or clients from opening one more.
     * Beyond
     * what is held with ease, those that are silent for a while go first, then those between requests; beyond the
     * most,
     * any that is silent; the longest waiting first. A connection that has just come is silent only until its
     * request is read. Could harm a client whose first request is slow to come while very many others connect.
     */
    public void makeRoom(long nowUs) {
        if (all.size() > withEase
                && !endFirst(nowUs, State.SILENT, nowUs + WHOLE_WITHIN_US - SOON_US, Why.ROOM_SILENT)
                && !endFirst(nowUs, State.BETWEEN, Long.MAX_VALUE, Why.ROOM_IDLE)
                && all.size() > most) {
            endFirst(nowUs, State.SILENT, Long.MAX_VALUE, Why.ROOM_SILENT);
        }
    }

    /** Ends the longest in a state that was to be done before that time; tells whether one went. */
    private boolean endFirst(long nowUs, State state, long beforeUs, Why why) {
        for (int looked = 0; looked < LOOKED_AT; looked++) {
            Iterator<C> first = by.get(state).iterator();
            if (!first.hasNext()) {
                return false;
            }
            C connection = first.next();
            if (all.get(connection).byUs >= beforeUs) {
                return false;
            }
            if (end(nowUs, connection, why)) {
                return true;
            }
        }
        return false;
    }

    /** Ends those on which nothing is under way. */
    public void endIdle(long nowUs) {
        for (State state : List.of(State.SILENT, State.BETWEEN)) {
            for (C connection : new ArrayList<>(by.get(state))) {
                end(nowUs, connection, Why.LEAVING);
            }
        }
    }

    /**
     * Ends one if that may be; tells whether it did. A client that left and one that was refused may be ended
     * in
     * any state: nothing is owed there.
     */
    public boolean end(long nowUs, C connection, Why why) {
        Standing standing = all.get(connection);
        if (standing == null) {
            return false;
        }
        boolean owesNothing = why == Why.LEFT || why == Why.REFUSED;
        if (!owesNothing && standing.state == State.OWED) {
            counters.holds(false, "a connection to be ended that is owed an answer");
            return false;
        }
        boolean standsStill = standing.state == State.SILENT || standing.state == State.BETWEEN;
        if (!owesNothing && standsStill && sockets.unread(connection)) {
            counters.add("clients kept, a req lay unread");
            bytes(nowUs, connection);
            return false;
        }
        counters.add(why.counted);
        State was = standing.state;
        gone(connection);
        sockets.end(connection, was, why);
        return true;
    }
}
