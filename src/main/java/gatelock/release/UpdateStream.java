package gatelock.release;

import gatelock.net.BodyConsumer;
import gatelock.net.ConnectionPool;
import gatelock.net.EventLoop;
import gatelock.net.JsonObject;
import gatelock.net.OutboundConnection;
import gatelock.state.Counters;
import gatelock.state.UpstreamResponse;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.xnio.XnioExecutor;

/**
 * One connection on which the release controller pushes release updates, as JSON objects of one line each. Nothing is
 * written to the connection after the request.
 */
final class UpdateStream implements OutboundConnection.ResponseHandler, BodyConsumer {
    private static final System.Logger LOG = System.getLogger("gatelock.release");
    /**
     * The release controller sends a heartbeat each second. A stream that receives no line for this long counts as
     * unresponsive.
     */
    private static final long HEARTBEAT_TIMEOUT_US = 2_500_000;

    private static final int MAX_LINE_BYTES = 256 * 1024;

    /** Receives the events of a stream. */
    interface Listener {
        /**
         * An update has arrived.
         *
         * @throws IOException if the update is malformed
         */
        void onUpdate(JsonObject update) throws IOException;

        /** A line has arrived, either a heartbeat or an update. */
        void onLineReceived(UpdateStream stream);

        /** The stream is unresponsive or malformed, but its connection is still open. */
        void onUnusable(UpdateStream stream);

        /** The connection has ended. */
        void onEnded(UpdateStream stream);
    }

    private final EventLoop eventLoop;
    private final Counters counters;
    private final InetSocketAddress address;
    private final Listener listener;
    private final OutboundConnection connection;
    private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream(256);
    private XnioExecutor.Key heartbeatTimer;
    /** Whether the connection has ended, or its data is not read any more. */
    private boolean ended;

    /** Opens the connection. The listener is not called before the constructor has returned. */
    UpdateStream(
            EventLoop eventLoop, Counters counters, ConnectionPool pool, InetSocketAddress address, Listener listener) {
        this.eventLoop = eventLoop;
        this.counters = counters;
        this.address = address;
        this.listener = listener;
        startHeartbeatTimer();
        String request = "GET " + ReleaseControllerClient.BASE_PATH + "changes HTTP/1.1\r\nHost: desk\r\n\r\n";
        connection = pool.openStream(address, StandardCharsets.US_ASCII.encode(request), this, this);
    }

    /** Returns the address of the release controller. */
    InetSocketAddress address() {
        return address;
    }

    /** Closes the connection. The listener is not called any more. */
    void close() {
        heartbeatTimer.remove();
        connection.abort();
    }

    /** Returns whether the connection has ended or can no longer be read. */
    boolean hasEnded() {
        return ended;
    }

    /** Records that the connection has ended. */
    void markEnded() {
        ended = true;
    }

    @Override
    public void onBody(byte[] data) {
        for (byte b : data) {
            if (ended) {
                return;
            }
            if (b == '\n') {
                onLine(lineBuffer.toByteArray());
                lineBuffer.reset();
            } else {
                lineBuffer.write(b);
            }
        }
        if (lineBuffer.size() > MAX_LINE_BYTES) {
            rejectLine("line longer than " + MAX_LINE_BYTES + " bytes");
        }
    }

    @Override
    public boolean onResponse(UpstreamResponse response) {
        onConnectionLost(true);
        return false;
    }

    @Override
    public void onConnectionLost(boolean written) {
        heartbeatTimer.remove();
        listener.onEnded(this);
    }

    private void onLine(byte[] text) {
        try {
            JsonObject message = JsonObject.parse(text);
            heartbeatTimer.remove();
            startHeartbeatTimer();
            listener.onLineReceived(this);
            if ("news".equals(message.textOr("type", ""))) {
                listener.onUpdate(message.object("object"));
            }
        } catch (IOException e) {
            rejectLine(e.getMessage());
        }
    }

    /**
     * Stops reading a connection on which a line is malformed or too long, so that the listener replaces the
     * connection. This assumes that the release controller sends nothing but JSON messages on it; any other content
     * would cause the connection to be replaced each time.
     */
    private void rejectLine(String reason) {
        counters.increment("news unreadable");
        LOG.log(Level.WARNING, "invalid update from the release controller: " + reason);
        ended = true;
        eventLoop.execute(() -> listener.onUnusable(this));
    }

    private void startHeartbeatTimer() {
        heartbeatTimer = eventLoop.schedule(HEARTBEAT_TIMEOUT_US, this::onHeartbeatTimeout);
    }

    /** Handles a connection that is unresponsive without being closed: the listener opens another one in parallel. */
    private void onHeartbeatTimeout() {
        startHeartbeatTimer();
        listener.onUnusable(this);
    }
}
