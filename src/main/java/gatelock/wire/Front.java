package gatelock.wire;

import gatelock.kept.Counters;

import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;

import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;
import org.xnio.channels.StreamSinkChannel;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The listener: client connections, how many there may be and how long one may keep a req from being whole,
 * readiness, and taking leave.
 */
public final class Front {
    private static final int BUFFER_BYTES = 4096;
    private static final int BACKLOG = 256;
    private static final int SPARE = 8;
    private static final long LOOK_AGAIN_US = 50_000;
    /**
     * Guards against clients that say nothing, or never come to the end of a head or body, and those that don't
     * read their answer: a connection has so long until its first req is whole, or a body after its head. Should
     * hold against any way of keeping a connection for nothing; could harm a client on a network so slow that
     * one req takes as long.
     */
    private static final long WHOLE_WITHIN_US = 2_500_000;
    /** A usual client says something sooner than this. */
    private static final long SOON_US = 300_000;
    /** Between reqs: so long from an answer. Guards against clients that ask once and stay. */
    private static final long IDLE_US = 2_000_000;
    /** A refusal of a req that is not whole may be read for so long before the connection ends. */
    private static final long READABLE_US = 500_000;

    private final Turn turn;
    private final Counters counters;
    private final int most;
    private final int withEase;
    /** All client connections; one that is owed an answer has null. */
    private final Map<StreamConnection, Waiting> clients = new HashMap<>();
    /** Those that never sent a whole req, and those between reqs, the longest waiting first. */
    private final Set<StreamConnection> silent = new LinkedHashSet<>();
    private final Set<StreamConnection> between = new LinkedHashSet<>();
    /** Those of which a later req's head has come, but not its body. */
    private final Set<StreamConnection> bodies = new LinkedHashSet<>();
    private AcceptingChannel<StreamConnection> listener;
    private HttpHandler takeIn;
    private boolean ready;
    private boolean leaving;
    private long lookedUs;

    /** A connection that owes a whole req by then; its last exchange, or null where none came yet. */
    private record Waiting(long byUs, HttpServerExchange last) {
        boolean idle() {
            return last == null || last.isComplete();
        }
    }

    /**
     * @param withEase client connections held at a time; beyond that idle ones make room
     * @param most beyond that all that wait for a first req do, and further ones are not accepted
     */
    public Front(Turn turn, Counters counters, int withEase, int most) {
        this.turn = turn;
        this.counters = counters;
        this.withEase = withEase;
        this.most = most;
    }

    /** Listens, and tells where; until {@link #admit} says that it is ready, a relay is not ready for clients. */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        OptionMap http = OptionMap.builder().set(UndertowOptions.MAX_HEADER_SIZE, 16 * 1024)
            .set(UndertowOptions.ALWAYS_SET_DATE, false).set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false).getMap();
        HttpOpenListener opened = new HttpOpenListener(
            new DefaultByteBufferPool(true, BUFFER_BYTES, 200, 0, 0), http);
        opened.setRootHandler(this::handle);
        OptionMap socket = OptionMap.builder().set(Options.TCP_NODELAY, true).set(Options.REUSE_ADDRESSES, true)
            .set(Options.BACKLOG, BACKLOG).set(Options.CONNECTION_HIGH_WATER, most + SPARE)
            .set(Options.CONNECTION_LOW_WATER, most + SPARE - 1).getMap();
        listener = turn.thread().getWorker().createStreamConnectionServer(address,
            ChannelListeners.openListenerAdapter(connection -> accepted(connection, opened)), socket);
        listener.resumeAccepts();
        turn.in(LOOK_AGAIN_US, this::closeOverdue);
        return listener.getLocalAddress(InetSocketAddress.class);
    }

    /** How many client connections there are. */
    public int size() {
        return clients.size();
    }

    private void accepted(StreamConnection connection, HttpOpenListener opened) {
        counters.add("client connections");
        clients.put(connection, new Waiting(turn.nowUs() + WHOLE_WITHIN_US, null));
        silent.add(connection);
        opened.handleEvent(connection);
        // Undertow has set its own listener, which must go on hearing of the end.
        ChannelListener<? super StreamConnection> undertows = connection.getCloseListener();
        connection.setCloseListener(c -> {
            gone(c);
            ChannelListeners.invokeChannelListener(c, undertows);
        });
        if (!connection.isOpen()) {
            gone(connection);
        } else if (clients.size() > withEase) {
            makeRoom();
        }
    }

    private void gone(StreamConnection connection) {
        clients.remove(connection);
        owesNothing(connection);
    }

    private void owesNothing(StreamConnection connection) {
        silent.remove(connection);
        between.remove(connection);
        bodies.remove(connection);
    }

    private static StreamConnection connection(HttpServerExchange exchange) {
        return ((HttpServerConnection) exchange.getConnection()).getChannel();
    }

    /** Names who takes reqs in from now on. */
    public void admit(HttpHandler takeIn, boolean ready) {
        this.takeIn = takeIn;
        this.ready = ready;
    }

    private void handle(HttpServerExchange exchange) throws Exception {
        String path = exchange.getRequestPath();
        if (path.startsWith("/-/")) {
            boolean isReady = path.equals("/-/ready");
            exchange.setStatusCode(isReady && ready && !leaving || path.equals("/-/healthy") ? 200 : isReady ? 503
                : 404);
            last(exchange);
            exchange.endExchange();
        } else {
            StreamConnection connection = connection(exchange);
            if (between.remove(connection)) {
                // The head is here; its body may take as long again.
                clients.put(connection, new Waiting(turn.nowUs() + WHOLE_WITHIN_US, exchange));
                bodies.add(connection);
            }
            takeIn.handleRequest(exchange);
        }
    }

    /** A req is whole: until it is answered, its connection owes nothing. */
    void whole(HttpServerExchange exchange) {
        StreamConnection connection = connection(exchange);
        owesNothing(connection);
        clients.replace(connection, null);
    }

    /** An answer goes out: from now on the connection owes the next req; when leaving, it ends with this one. */
    void last(HttpServerExchange exchange) {
        StreamConnection connection = connection(exchange);
        if (clients.containsKey(connection)) {
            owesNothing(connection);
            clients.put(connection, new Waiting(turn.nowUs() + IDLE_US, exchange));
            between.add(connection);
        }
        if (leaving) {
            exchange.setPersistent(false);
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
    }

    /**
     * Answers a req that is not whole and never will be read. Undertow would read the rest before it answers;
     * here the answer goes first, what is still sent is left unread, and soon the connection ends.
     */
    void refuseUnread(HttpServerExchange exchange) {
        exchange.setPersistent(false);
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, "0");
        last(exchange);
        turn.in(READABLE_US, () -> IoUtils.safeClose(exchange.getConnection()));
        try {
            StreamSinkChannel out = exchange.getResponseChannel();
            out.shutdownWrites();
            out.flush();
        } catch (IOException e) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private void closeOverdue() {
        long nowUs = turn.nowUs();
        // A relay that comes late to this may not have read what clients sent in time.
        boolean punctual = nowUs - lookedUs < 2 * LOOK_AGAIN_US;
        lookedUs = nowUs;
        for (Set<StreamConnection> some : List.of(silent, between, bodies)) {
            while (punctual && !some.isEmpty()) {
                StreamConnection first = some.iterator().next();
                Waiting waiting = clients.get(first);
                if (waiting.byUs > nowUs) {
                    break;
                }
                counters.add(some == between ? "clients closed, idle" : "clients closed, no whole req");
                some.remove(first);
                IoUtils.safeClose(first);
            }
        }
        turn.in(LOOK_AGAIN_US, this::closeOverdue);
    }

    /**
     * Guards against connections that keep others from being accepted, or clients from opening one more. Beyond
     * what is held with ease, those that are silent for a while go first, then those between reqs; beyond the most,
     * any that is silent; the longest waiting first. A connection that has just come is silent only until its
     * req is read. Could harm a client whose first req is slow to come while very many others connect.
     */
    private void makeRoom() {
        long saidNothingBy = turn.nowUs() + WHOLE_WITHIN_US - SOON_US;
        StreamConnection goes = silent.stream().findFirst().filter(c -> clients.get(c).byUs < saidNothingBy)
            .or(() -> between.stream().filter(c -> clients.get(c).idle()).findFirst())
            .or(() -> silent.stream().filter(c -> clients.size() > most).findFirst()).orElse(null);
        if (goes != null) {
            counters.add(silent.contains(goes) ? "clients closed for room, silent" : "clients closed for room, idle");
            IoUtils.safeClose(goes);
        }
    }

    /**
     * Takes leave: serves what still comes for a while, then closes connections between reqs and ends when
     * all that was taken is answered.
     */
    public void leave(long stillComingUs, Runnable then) {
        leaving = true;
        turn.in(stillComingUs, () -> {
            IoUtils.safeClose(listener);
            closeWhenDone(then);
        });
    }

    private void closeWhenDone(Runnable then) {
        for (Map.Entry<StreamConnection, Waiting> e : new ArrayList<>(clients.entrySet())) {
            if (e.getValue() != null && e.getValue().idle()) {
                IoUtils.safeClose(e.getKey());
            }
        }
        if (clients.isEmpty()) {
            then.run();
        } else {
            turn.in(LOOK_AGAIN_US, () -> closeWhenDone(then));
        }
    }
}
