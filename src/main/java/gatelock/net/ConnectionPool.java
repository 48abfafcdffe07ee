package gatelock.net;

import gatelock.state.Counters;
import gatelock.state.IdleConnections;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The connections that this relay opens to one kind of service, kept alive and reused between requests. */
public final class ConnectionPool {
    private static final System.Logger LOG = System.getLogger("gatelock.net");
    private static final long MAX_SWEEP_INTERVAL_US = 1_000_000;

    private final EventLoop eventLoop;
    private final Counters counters;
    private final IdleConnections<OutboundConnection> idle;
    private final Map<InetSocketAddress, Set<OutboundConnection>> connecting = new HashMap<>();
    private final long connectTimeoutUs;
    private final long idleTimeoutUs;
    private final long restUs;
    private final int maxConnections;
    private final int maxBodyBytes;
    private int open;
    private boolean stopped;

    /**
     * Creates a pool whose responses have bodies of up to {@link ResponseReader#MAX_BODY_BYTES} bytes.
     *
     * @param connectTimeoutUs a connection that is not established by then has failed
     * @param idleTimeoutUs how long a connection is kept without a request
     * @param restUs how long a connection stays without a request before it carries the next one. Guards against bytes
     *     behind a response that would be read as the next one: whatever arrives meanwhile closes the connection. It
     *     holds against any late copy or noise, and costs some more connections under load
     * @param maxConnections beyond this many, an idle connection is closed for each one that is opened
     */
    public ConnectionPool(
            EventLoop eventLoop,
            Counters counters,
            long connectTimeoutUs,
            long idleTimeoutUs,
            long restUs,
            int maxConnections) {
        this(
                eventLoop,
                counters,
                connectTimeoutUs,
                idleTimeoutUs,
                restUs,
                maxConnections,
                ResponseReader.MAX_BODY_BYTES);
    }

    /**
     * Creates a pool with a body limit of its own, as the protocol's limit holds for requests of clients only.
     *
     * @param maxBodyBytes the longest response body that is buffered
     */
    public ConnectionPool(
            EventLoop eventLoop,
            Counters counters,
            long connectTimeoutUs,
            long idleTimeoutUs,
            long restUs,
            int maxConnections,
            int maxBodyBytes) {
        this.eventLoop = eventLoop;
        this.counters = counters;
        this.connectTimeoutUs = connectTimeoutUs;
        this.idleTimeoutUs = idleTimeoutUs;
        this.restUs = restUs;
        this.maxConnections = maxConnections;
        this.maxBodyBytes = maxBodyBytes;
        this.idle = new IdleConnections<>(maxConnections, OutboundConnection::abort);
        eventLoop.execute(this::closeExpired);
    }

    /** Closes the idle connections; no request may be sent any more. */
    public void shutdown() {
        stopped = true;
        closeExpired();
    }

    /** Sends one request on an idle or a new connection; all of its response has to arrive within this time. */
    public OutboundConnection send(
            InetSocketAddress address, ByteBuffer request, long timeoutUs, OutboundConnection.ResponseHandler handler) {
        return send(address, new OutboundRequest(request, ResponseTimeouts.total(timeoutUs), null, handler));
    }

    /** Sends one request on an idle or a new connection; the body of its response is consumed as it arrives. */
    public OutboundConnection send(
            InetSocketAddress address,
            ByteBuffer request,
            ResponseTimeouts timeouts,
            BodyConsumer body,
            OutboundConnection.ResponseHandler handler) {
        return send(address, new OutboundRequest(request, timeouts, body, handler));
    }

    /** Sends one request on a connection of its own, whose response may take any time and have any length. */
    public OutboundConnection openStream(
            InetSocketAddress address,
            ByteBuffer request,
            BodyConsumer body,
            OutboundConnection.ResponseHandler handler) {
        return open(address, new OutboundRequest(request, ResponseTimeouts.NONE, body, handler));
    }

    /**
     * Closes the idle connections to an address whose service has left, is draining or came back as another process.
     * Whoever waits for a connection to it is asked again whether the request may be sent.
     */
    public void invalidate(InetSocketAddress address) {
        idle.closeAll(address);
        List.copyOf(connecting.getOrDefault(address, Set.of())).forEach(OutboundConnection::endUnlessMaySend);
    }

    @Override
    public String toString() {
        return open + " connections, " + idle.size() + " idle";
    }

    /** Returns the longest response body that is buffered, in bytes. */
    int maxBodyBytes() {
        return maxBodyBytes;
    }

    /** Notes that a connection is established, or has ended before. */
    void connectingEnded(OutboundConnection connection) {
        Set<OutboundConnection> sameAddress = connecting.get(connection.address());
        if (sameAddress != null && sameAddress.remove(connection) && sameAddress.isEmpty()) {
            connecting.remove(connection.address());
        }
    }

    /** Takes a connection back whose request has its response. */
    void release(OutboundConnection connection) {
        idle.put(eventLoop.nowUs(), connection.address(), connection);
        if (stopped) {
            closeExpired();
        }
    }

    /** Forgets a connection that has ended. */
    void remove(OutboundConnection connection) {
        open--;
        connectingEnded(connection);
        idle.remove(connection);
    }

    /** Counts and logs a response that could not be read. */
    void reportMalformed(InetSocketAddress address, MalformedResponseException e) {
        counters.increment("answers unreadable");
        LOG.log(Level.DEBUG, () -> "response from " + address + ": " + e.getMessage());
    }

    private OutboundConnection send(InetSocketAddress address, OutboundRequest request) {
        OutboundConnection connection = takeUsable(address);
        if (connection == null) {
            return open(address, request);
        }
        connection.send(request);
        return connection;
    }

    /** Takes an idle connection that has rested and is still open; null where there is none. */
    private OutboundConnection takeUsable(InetSocketAddress address) {
        long idleSinceUs = eventLoop.nowUs() - restUs;
        OutboundConnection connection = idle.take(address, idleSinceUs);
        while (connection != null && !connection.isUsable()) {
            connection.abort();
            connection = idle.take(address, idleSinceUs);
        }
        return connection;
    }

    private OutboundConnection open(InetSocketAddress address, OutboundRequest request) {
        counters.increment("connections opened");
        if (open >= maxConnections) {
            idle.closeOldest();
        }
        open++;
        OutboundConnection connection = new OutboundConnection(eventLoop, this, address);
        connecting.computeIfAbsent(address, a -> new LinkedHashSet<>()).add(connection);
        connection.open(connectTimeoutUs, request);
        return connection;
    }

    private void closeExpired() {
        idle.closeBefore(stopped ? Long.MAX_VALUE : eventLoop.nowUs() - idleTimeoutUs);
        if (!stopped) {
            eventLoop.schedule(Math.min(MAX_SWEEP_INTERVAL_US, idleTimeoutUs / 4), this::closeExpired);
        }
    }
}
