package gatelock.http;

import gatelock.net.EventLoop;
import gatelock.state.ClientConnections;
import gatelock.state.Counters;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;
import org.xnio.channels.StreamSinkChannel;

/**
 * The listener: client connections, how many there may be and how long one may keep a request from being whole,
 * readiness, and taking leave.
 */
public final class ClientListener {
    private static final System.Logger LOG = System.getLogger("gatelock.http");
    private static final int BUFFER_BYTES = 4096;
    private static final int BACKLOG = 256;
    private static final int SPARE = 8;
    private static final long LOOK_AGAIN_US = 50_000;
    /** A refusal of a request that is not whole may be read for so long before the connection ends. */
    private static final long READABLE_US = 500_000;
    /** After SIGTERM new connections go on coming for so long. */
    private static final long STILL_COMING_US = 600_000;
    /** A relay that leaves has its last answer out so long before it may be killed. */
    private static final long SPARE_US = 150_000;
    /** The last requests that a relay takes when it leaves have so long. */
    private static final long LAST_REQS_US = 600_000;

    private final EventLoop turn;
    private final int most;
    private final ClientConnections<StreamConnection> clients;
    private final Map<StreamConnection, ClientReadConduit> inflows = new HashMap<>();
    private AcceptingChannel<StreamConnection> listener;
    private HttpHandler takeIn;
    private boolean ready;
    private boolean notReady;
    private boolean leaving;
    private long answeredByUs = Long.MAX_VALUE;

    /**
     * @param withEase client connections held at a time; beyond that idle ones make room
     * @param most beyond that all that wait for a first request do, and further ones are not accepted
     */
    public ClientListener(EventLoop turn, Counters counters, int withEase, int most) {
        this.turn = turn;
        this.most = most;
        this.clients = new ClientConnections<>(
                counters,
                new ClientConnections.Sockets<>() {
                    @Override
                    public boolean unread(StreamConnection connection) {
                        return inflows.get(connection).unread();
                    }

                    @Override
                    public void end(
                            StreamConnection connection, ClientConnections.State state, ClientConnections.Why why) {
                        LOG.log(
                                Level.DEBUG,
                                () -> "client " + connection.getPeerAddress() + " closed, " + state + ", " + why);
                        IoUtils.safeClose(connection);
                    }
                },
                withEase,
                most);
    }

    /**
     * Listens, and tells where; until {@link #admit} says that it is ready, a relay is not ready for clients.
     */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        OptionMap http = OptionMap.builder()
                .set(UndertowOptions.MAX_HEADER_SIZE, 16 * 1024)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .getMap();
        HttpOpenListener opened = new HttpOpenListener(new DefaultByteBufferPool(true, BUFFER_BYTES, 200, 0, 0), http);
        opened.setRootHandler(this::handle);
        OptionMap socket = OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, BACKLOG)
                .set(Options.CONNECTION_HIGH_WATER, most + SPARE)
                .set(Options.CONNECTION_LOW_WATER, most + SPARE - 1)
                .getMap();
        listener = turn.thread()
                .getWorker()
                .createStreamConnectionServer(
                        address,
                        ChannelListeners.openListenerAdapter(connection -> accepted(connection, opened)),
                        socket);
        listener.resumeAccepts();
        turn.in(LOOK_AGAIN_US, this::closeOverdue);
        return listener.getLocalAddress(InetSocketAddress.class);
    }

    /** How many client connections there are. */
    public int size() {
        return clients.size();
    }

    private void accepted(StreamConnection connection, HttpOpenListener opened) {
        ClientReadConduit inflow = new ClientReadConduit(
                connection.getSourceChannel().getConduit(), () -> clients.bytes(turn.nowUs(), connection));
        connection.getSourceChannel().setConduit(inflow);
        inflows.put(connection, inflow);
        clients.came(turn.nowUs(), connection);
        opened.handleEvent(connection);
        // Undertow has set its own listener, which must go on hearing of the end.
        ChannelListener<? super StreamConnection> undertows = connection.getCloseListener();
        connection.setCloseListener(c -> {
            gone(c);
            ChannelListeners.invokeChannelListener(c, undertows);
        });
        if (!connection.isOpen()) {
            gone(connection);
        } else {
            clients.makeRoom(turn.nowUs());
        }
    }

    private void gone(StreamConnection connection) {
        clients.gone(connection);
        inflows.remove(connection);
    }

    private static StreamConnection connection(HttpServerExchange exchange) {
        return ((HttpServerConnection) exchange.getConnection()).getChannel();
    }

    /** Names who takes requests in from now on. */
    public void admit(HttpHandler takeIn, boolean ready) {
        this.takeIn = takeIn;
        this.ready = ready;
    }

    private void handle(HttpServerExchange exchange) throws Exception {
        String path = exchange.getRequestPath();
        if (path.startsWith("/-/")) {
            boolean isReady = path.equals("/-/ready");
            exchange.setStatusCode(
                    isReady && ready && !notReady || path.equals("/-/healthy") ? 200 : isReady ? 503 : 404);
            last(exchange);
            exchange.endExchange();
        } else {
            // Read together with the request before it, it came without a read of its own.
            clients.bytes(turn.nowUs(), connection(exchange));
            takeIn.handleRequest(exchange);
        }
    }

    /** A request is whole: until it is answered, its connection stays. */
    void whole(HttpServerExchange exchange) {
        clients.whole(connection(exchange));
    }

    /**
     * An answer goes out, and the connection owes the next request once it has left; when leaving, it ends with
     * this.
     */
    void last(HttpServerExchange exchange) {
        StreamConnection connection = connection(exchange);
        clients.answering(turn.nowUs(), connection);
        exchange.addExchangeCompleteListener((done, next) -> {
            boolean more = ((HttpServerConnection) done.getConnection()).getExtraBytes() != null;
            clients.answered(turn.nowUs(), connection, more);
            next.proceed();
        });
        if (leaving) {
            exchange.setPersistent(false);
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
    }

    /** A connection carries a session from now on: its life is no more a matter of requests. */
    public void upgraded(HttpServerExchange exchange) {
        clients.gone(connection(exchange));
    }

    /** The client has left, or broke off its own request. */
    void left(HttpServerExchange exchange) {
        clients.end(turn.nowUs(), connection(exchange), ClientConnections.Why.LEFT);
    }

    /**
     * Answers a request that is not whole and never will be read. Undertow would read the rest before it answers;
     * here the answer goes first, what is still sent is left unread, and soon the connection ends.
     */
    void refuseUnread(HttpServerExchange exchange) {
        exchange.setPersistent(false);
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, "0");
        last(exchange);
        StreamConnection connection = connection(exchange);
        turn.in(READABLE_US, () -> clients.end(turn.nowUs(), connection, ClientConnections.Why.REFUSED));
        try {
            StreamSinkChannel out = exchange.getResponseChannel();
            out.shutdownWrites();
            out.flush();
        } catch (IOException e) {
            clients.end(turn.nowUs(), connection, ClientConnections.Why.REFUSED);
        }
    }

    private void closeOverdue() {
        clients.endOverdue(turn.nowUs());
        turn.in(LOOK_AGAIN_US, this::closeOverdue);
    }

    /** Until when all that is taken must be answered: for ever, but for a relay that leaves. */
    long answeredByUs() {
        return answeredByUs;
    }

    /**
     * Takes leave. New connections are taken for a while, since the front in between hears late of it; those
     * that
     * stand are served on for as long as a request can still be answered before the process is ended for good;
     * then
     * answers end their connections, and it is over when none is left.
     *
     * @param killedUs from now on, how long the process is left alive at the least
     */
    public void leave(long killedUs, Runnable then) {
        notReady = true;
        answeredByUs = turn.nowUs() + killedUs - SPARE_US;
        long stayUs = Math.max(STILL_COMING_US, killedUs - SPARE_US - LAST_REQS_US);
        turn.in(STILL_COMING_US, () -> {
            IoUtils.safeClose(listener);
            endWhenDone(then);
        });
        turn.in(stayUs, () -> leaving = true);
    }

    private void endWhenDone(Runnable then) {
        if (leaving) {
            clients.endIdle(turn.nowUs());
        }
        if (clients.size() == 0) {
            then.run();
        } else {
            turn.in(LOOK_AGAIN_US, () -> endWhenDone(then));
        }
    }
}
