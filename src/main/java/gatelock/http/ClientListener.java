package gatelock.http;

import gatelock.net.EventLoop;
import gatelock.state.ClientCloseReason;
import gatelock.state.ClientConnectionState;
import gatelock.state.ClientConnections;
import gatelock.state.ClientSockets;
import gatelock.state.Counters;
import gatelock.state.DescriptorBudget;
import gatelock.state.MemoryBudget;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.function.IntConsumer;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/**
 * Accepts client connections. Limits their number and the time that an incomplete request may take, answers health
 * checks, and shuts down gracefully.
 */
public final class ClientListener {
    private static final System.Logger LOG = System.getLogger("gatelock.http");

    private static final int BUFFER_BYTES = 4096;
    private static final int MAX_POOLED_BUFFERS = 200;
    private static final int ACCEPT_BACKLOG = 512;
    /** The number of connections that are accepted beyond the hard limit, so that eviction can make room for them. */
    private static final int ACCEPT_MARGIN = 8;
    /** The time between two evictions while there are more connections than the hard limit. */
    private static final long EVICTION_INTERVAL_US = 10_000;

    private static final long CHECK_INTERVAL_US = 50_000;
    /** How long new connections are accepted after SIGTERM. */
    private static final long ACCEPT_AFTER_SIGTERM_US = 600_000;
    /** The response to the last request must be written this long before the process may be killed. */
    private static final long KILL_MARGIN_US = 150_000;
    /** How long the last requests may take that the relay accepts before it shuts down. */
    private static final long LAST_REQUEST_TIMEOUT_US = 600_000;

    private static final String INTERNAL_PREFIX = "/-/";
    private static final String READY_PATH = "/-/ready";
    private static final String HEALTHY_PATH = "/-/healthy";

    private final EventLoop eventLoop;
    private final Counters counters;
    private final DescriptorBudget descriptors;
    private IntConsumer sessionCountListener = sessions -> {};
    private final ClientConnections<StreamConnection> connections;
    private final ClientExchanges exchanges;
    private AcceptingChannel<StreamConnection> acceptor;
    private HttpHandler requestHandler;
    private boolean ready;
    /** Whether SIGTERM has been received, after which the relay reports that it is not ready. */
    private boolean shuttingDown;
    /** Whether each response closes its connection from now on. */
    private boolean draining;

    private boolean evictionScheduled;
    private long responseDeadlineUs = Long.MAX_VALUE;

    /**
     * Creates a listener that does not listen yet.
     *
     * @param eventLoop the I/O thread
     * @param counters counts client connections
     * @param descriptors limits the number of client connections; with few more than the hard limit, no more are
     *     accepted
     * @param memory limits the memory of all requests and responses
     */
    public ClientListener(EventLoop eventLoop, Counters counters, DescriptorBudget descriptors, MemoryBudget memory) {
        this.eventLoop = eventLoop;
        this.counters = counters;
        this.descriptors = descriptors;
        this.connections = new ClientConnections<>(
                counters, new Sockets(), descriptors.softClientLimit(), descriptors.hardClientLimit(0));
        this.exchanges = new ClientExchanges(eventLoop, connections, memory, this::onSessionCountChanged);
    }

    /** Gives the connection limits access to the sockets of the clients. */
    private final class Sockets implements ClientSockets<StreamConnection> {
        @Override
        public boolean hasUnreadBytes(StreamConnection connection) {
            return exchanges.hasUnreadBytes(connection);
        }

        @Override
        public void close(StreamConnection connection, ClientConnectionState state, ClientCloseReason reason) {
            LOG.log(Level.DEBUG, () -> "client " + connection.getPeerAddress() + " closed, " + state + ", " + reason);
            IoUtils.safeClose(connection);
        }
    }

    /**
     * Starts to listen. The request handler must be set before the first request arrives. The relay reports that it is
     * not ready until {@link #setRequestHandler} declares it ready.
     *
     * @param address the address to bind; port 0 for any free port
     * @return the bound address
     * @throws IOException if the address cannot be bound
     */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        OptionMap httpOptions = OptionMap.builder()
                .set(UndertowOptions.MAX_HEADER_SIZE, ReadAheadBuffer.MAX_BYTES)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .getMap();
        HttpOpenListener httpListener = new HttpOpenListener(
                new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0, 0), httpOptions);
        httpListener.setRootHandler(this::handle);
        OptionMap socketOptions = OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, ACCEPT_BACKLOG)
                .set(Options.CONNECTION_HIGH_WATER, descriptors.hardClientLimit(0) + ACCEPT_MARGIN)
                .set(Options.CONNECTION_LOW_WATER, descriptors.hardClientLimit(0) + ACCEPT_MARGIN - 1)
                .getMap();
        acceptor = eventLoop
                .ioThread()
                .getWorker()
                .createStreamConnectionServer(
                        address,
                        ChannelListeners.openListenerAdapter(connection -> onAccepted(connection, httpListener)),
                        socketOptions);
        AcceptBackOff.limit(acceptor, () -> eventLoop.execute(() -> counters.increment("accept failed")));
        RepeatedWarningFilter.install();
        acceptor.resumeAccepts();
        eventLoop.scheduleRepeatedly(CHECK_INTERVAL_US, () -> connections.closeOverdue(eventLoop.nowUs()));
        return acceptor.getLocalAddress(InetSocketAddress.class);
    }

    /** Returns the exchanges on the client connections. */
    ClientExchanges exchanges() {
        return exchanges;
    }

    /** Returns the number of client connections. */
    public int size() {
        return connections.size();
    }

    private void onAccepted(StreamConnection connection, HttpOpenListener httpListener) {
        exchanges.add(connection);
        connections.accepted(eventLoop.nowUs(), connection);
        httpListener.handleEvent(connection);
        // Undertow has already set a close listener, which must still be called.
        ChannelListener<? super StreamConnection> undertowListener = connection.getCloseListener();
        connection.setCloseListener(closed -> {
            remove(closed);
            ChannelListeners.invokeChannelListener(closed, undertowListener);
        });
        if (connection.isOpen()) {
            connections.evictIfOverLimit(eventLoop.nowUs());
            scheduleEviction();
        } else {
            remove(connection);
        }
    }

    /** Evicts again later if there are too many connections, as then no more may be accepted until one is closed. */
    private void scheduleEviction() {
        if (evictionScheduled || !connections.isOverHardLimit()) {
            return;
        }
        evictionScheduled = true;
        eventLoop.schedule(EVICTION_INTERVAL_US, () -> {
            evictionScheduled = false;
            connections.evictIfOverLimit(eventLoop.nowUs());
            scheduleEviction();
        });
    }

    /**
     * Adapts the limits to the number of connections that have become sessions and are still open. The acceptor counts
     * them, although they are not limited here.
     */
    private void onSessionCountChanged(int sessions) {
        int hardLimit = descriptors.hardClientLimit(sessions);
        connections.setHardLimit(hardLimit);
        int acceptLimit = hardLimit + ACCEPT_MARGIN + sessions;
        try {
            acceptor.setOption(Options.CONNECTION_HIGH_WATER, acceptLimit);
            acceptor.setOption(Options.CONNECTION_LOW_WATER, acceptLimit - 1);
        } catch (IOException e) {
            // Only a listener that is closed has no limits; it accepts nothing any more.
            LOG.log(Level.DEBUG, () -> "limit of connections not changed: " + e);
        }
        scheduleEviction();
        sessionCountListener.accept(sessions);
    }

    private void remove(StreamConnection connection) {
        connections.remove(connection);
        exchanges.remove(connection);
    }

    /**
     * Sets the handler for requests from now on.
     *
     * @param requestHandler handles all requests except health checks
     * @param ready whether the relay reports that it is ready for clients
     */
    public void setRequestHandler(HttpHandler requestHandler, boolean ready) {
        this.requestHandler = requestHandler;
        this.ready = ready;
    }

    /** Sets what is notified of each change of the number of open client connections that have become sessions. */
    public void setSessionCountListener(IntConsumer listener) {
        sessionCountListener = listener;
    }

    private void handle(HttpServerExchange exchange) {
        try {
            handleRequest(exchange);
        } catch (Exception | Error e) {
            exchanges.endAfterFailure(exchange, e);
        }
    }

    private void handleRequest(HttpServerExchange exchange) throws Exception {
        exchanges.begin(exchange);
        String path = exchange.getRequestPath();
        RequestHead head = exchanges.headOf(exchange);
        if (head.isRefused()) {
            exchanges.reject(exchange, StatusCodes.SERVICE_UNAVAILABLE);
        } else if (!head.isWellFormed()) {
            exchanges.reject(exchange, StatusCodes.BAD_REQUEST);
        } else if (path.startsWith(INTERNAL_PREFIX)) {
            exchanges.respond(exchange, healthStatus(path));
        } else {
            requestHandler.handleRequest(exchange);
        }
    }

    private int healthStatus(String path) {
        return switch (path) {
            case HEALTHY_PATH -> StatusCodes.OK;
            case READY_PATH -> ready && !shuttingDown ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE;
            default -> StatusCodes.NOT_FOUND;
        };
    }

    /**
     * Returns the time by which all accepted requests must be answered; {@link Long#MAX_VALUE} until the relay shuts
     * down.
     */
    long responseDeadlineUs() {
        return responseDeadlineUs;
    }

    /**
     * Shuts down gracefully. New connections are accepted for a while, as the load balancer notices with a delay that
     * the relay is not ready. Open connections are served as long as a request can still be answered before the process
     * is killed. After that, each response closes its connection, and the shutdown is complete when no connection is
     * left.
     *
     * @param timeToKillUs the minimum time until the process is killed, in microseconds
     * @param onComplete runs when no connection is left
     */
    public void shutDown(long timeToKillUs, Runnable onComplete) {
        shuttingDown = true;
        long timeToDeadlineUs = timeToKillUs - KILL_MARGIN_US;
        responseDeadlineUs = eventLoop.nowUs() + timeToDeadlineUs;
        eventLoop.schedule(ACCEPT_AFTER_SIGTERM_US, () -> {
            IoUtils.safeClose(acceptor);
            awaitLastConnection(onComplete);
        });
        eventLoop.schedule(Math.max(ACCEPT_AFTER_SIGTERM_US, timeToDeadlineUs - LAST_REQUEST_TIMEOUT_US), () -> {
            draining = true;
            exchanges.closeAfterResponse();
        });
    }

    private void awaitLastConnection(Runnable onComplete) {
        if (draining) {
            connections.closeInactive(eventLoop.nowUs());
        }
        if (connections.size() == 0) {
            onComplete.run();
        } else {
            eventLoop.schedule(CHECK_INTERVAL_US, () -> awaitLastConnection(onComplete));
        }
    }
}
