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

/** A pool of outbound connections to one kind of service, which are kept alive and reused between requests. */
public final class ConnectionPool {
    private static final System.Logger LOG = System.getLogger("gatelock.net");
    private static final long MAX_SWEEP_INTERVAL_US = 1_000_000;

    private final EventLoop eventLoop;
    private final Counters counters;
    private final IdleConnections<OutboundConnection> idleConnections;
    private final Map<InetSocketAddress, Set<OutboundConnection>> connectingByAddress = new HashMap<>();
    private final long connectTimeoutUs;
    private final long idleTimeoutUs;
    private final long minIdleUs;
    private int maxConnections;
    private final int maxBodyBytes;
    private int openCount;
    private boolean stopped;

    /**
     * Creates a pool that accepts response bodies of up to {@link ResponseReader#MAX_BODY_BYTES} bytes.
     *
     * @param connectTimeoutUs the time within which a connection has to be established
     * @param idleTimeoutUs how long a connection is kept open without a request
     * @param minIdleUs how long a connection has to be idle before it is reused. It guards against bytes after a
     *     response that would be read as the next response, such as noise or a delayed duplicate: any bytes that arrive
     *     in this time close the connection. The cost is a few more connections under load
     * @param maxConnections the number of connections from which on an idle one is closed for each one that is opened
     */
    public ConnectionPool(
            EventLoop eventLoop,
            Counters counters,
            long connectTimeoutUs,
            long idleTimeoutUs,
            long minIdleUs,
            int maxConnections) {
        this(
                eventLoop,
                counters,
                connectTimeoutUs,
                idleTimeoutUs,
                minIdleUs,
                maxConnections,
                ResponseReader.MAX_BODY_BYTES);
    }

    /**
     * Creates a pool with its own limit for response bodies, as the limit of the protocol applies only to client
     * requests.
     *
     * @param maxBodyBytes the maximum length of a response body that is buffered
     */
    public ConnectionPool(
            EventLoop eventLoop,
            Counters counters,
            long connectTimeoutUs,
            long idleTimeoutUs,
            long minIdleUs,
            int maxConnections,
            int maxBodyBytes) {
        this.eventLoop = eventLoop;
        this.counters = counters;
        this.connectTimeoutUs = connectTimeoutUs;
        this.idleTimeoutUs = idleTimeoutUs;
        this.minIdleUs = minIdleUs;
        this.maxConnections = maxConnections;
        this.maxBodyBytes = maxBodyBytes;
        this.idleConnections = new IdleConnections<>(maxConnections, OutboundConnection::abort);
        eventLoop.execute(this::closeExpired);
    }

    /** Changes the number of connections from which on an idle one is closed for each one that is opened. */
    public void setMaxConnections(int maxConnections) {
        this.maxConnections = maxConnections;
        closeIdleOverLimit();
    }

    private void closeIdleOverLimit() {
        while (openCount > maxConnections && idleConnections.size() > 0) {
            idleConnections.closeOldest();
        }
    }

    /** Closes the idle connections. No request may be sent afterwards. */
    public void shutdown() {
        stopped = true;
        closeExpired();
    }

    /** Sends one request on an idle or a new connection. The complete response has to arrive within the timeout. */
    public OutboundConnection send(
            InetSocketAddress address, ByteBuffer request, long timeoutUs, OutboundConnection.ResponseHandler handler) {
        return send(address, new OutboundRequest(request, ResponseTimeouts.total(timeoutUs), null, false, handler));
    }

    /** Sends one request on an idle or a new connection. The body of the response is consumed as it arrives. */
    public OutboundConnection send(
            InetSocketAddress address,
            ByteBuffer request,
            ResponseTimeouts timeouts,
            BodyConsumer body,
            OutboundConnection.ResponseHandler handler) {
        return send(address, new OutboundRequest(request, timeouts, body, false, handler));
    }

    /** Sends one request on a new connection. The response may take any time and have any length. */
    public OutboundConnection openStream(
            InetSocketAddress address,
            ByteBuffer request,
            BodyConsumer body,
            OutboundConnection.ResponseHandler handler) {
        return openConnection(address, new OutboundRequest(request, ResponseTimeouts.UNLIMITED, body, false, handler));
    }

    /**
     * Sends one request for another protocol on a new connection. If the server switches to it within the timeout, the
     * connection leaves the pool and belongs to the handler.
     */
    public OutboundConnection openUpgrade(
            InetSocketAddress address, ByteBuffer request, long timeoutUs, OutboundConnection.ResponseHandler handler) {
        OutboundRequest upgrade = new OutboundRequest(request, ResponseTimeouts.total(timeoutUs), null, true, handler);
        return openConnection(address, upgrade);
    }

    /**
     * Closes the idle connections to an address whose service has left, is draining or was replaced by another process.
     * For each request that waits for a connection to this address, the handler is asked again whether it may be sent.
     */
    public void invalidate(InetSocketAddress address) {
        idleConnections.closeAll(address);
        List.copyOf(connectingByAddress.getOrDefault(address, Set.of()))
                .forEach(OutboundConnection::closeUnlessMaySend);
    }

    @Override
    public String toString() {
        return openCount + " connections, " + idleConnections.size() + " idle";
    }

    /** Returns the maximum length of a response body that is buffered, in bytes. */
    int maxBodyBytes() {
        return maxBodyBytes;
    }

    /** Records that a connection has been established, or has ended before that. */
    void connectFinished(OutboundConnection connection) {
        Set<OutboundConnection> sameAddress = connectingByAddress.get(connection.address());
        if (sameAddress != null && sameAddress.remove(connection) && sameAddress.isEmpty()) {
            connectingByAddress.remove(connection.address());
        }
    }

    /** Returns a connection to the pool after the response to its request has been received. */
    void release(OutboundConnection connection) {
        idleConnections.put(eventLoop.nowUs(), connection.address(), connection);
        closeIdleOverLimit();
        if (stopped) {
            closeExpired();
        }
    }

    /** Removes a connection that has ended. */
    void remove(OutboundConnection connection) {
        openCount--;
        connectFinished(connection);
        idleConnections.remove(connection);
    }

    /** Counts and logs a response that could not be parsed. */
    void reportMalformed(InetSocketAddress address, MalformedResponseException e) {
        counters.increment("answers unreadable");
        LOG.log(Level.DEBUG, () -> "malformed response from " + address + ": " + e.getMessage());
    }

    private OutboundConnection send(InetSocketAddress address, OutboundRequest request) {
        OutboundConnection connection = takeUsableConnection(address);
        if (connection == null) {
            return openConnection(address, request);
        }
        connection.send(request);
        return connection;
    }

    /** Takes a connection that has been idle for long enough and is still open, or returns null if there is none. */
    private OutboundConnection takeUsableConnection(InetSocketAddress address) {
        long idleSinceUs = eventLoop.nowUs() - minIdleUs;
        OutboundConnection connection = idleConnections.take(address, idleSinceUs);
        while (connection != null && !connection.isUsable()) {
            connection.abort();
            connection = idleConnections.take(address, idleSinceUs);
        }
        return connection;
    }

    private OutboundConnection openConnection(InetSocketAddress address, OutboundRequest request) {
        counters.increment("connections opened");
        if (openCount >= maxConnections) {
            idleConnections.closeOldest();
        }
        openCount++;
        OutboundConnection connection = new OutboundConnection(eventLoop, this, address);
        connectingByAddress.computeIfAbsent(address, a -> new LinkedHashSet<>()).add(connection);
        connection.open(connectTimeoutUs, request);
        return connection;
    }

    private void closeExpired() {
        if (!stopped) {
            eventLoop.schedule(Math.min(MAX_SWEEP_INTERVAL_US, idleTimeoutUs / 4), this::closeExpired);
        }
        idleConnections.closeIdleSinceBefore(stopped ? Long.MAX_VALUE : eventLoop.nowUs() - idleTimeoutUs);
    }
}
