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
 * One connection on which the release controller pushes news, as JSON objects of one line each. Nothing is written to
 * it after the request.
 */
final class NewsStream implements OutboundConnection.ResponseHandler, BodyConsumer {
    private static final System.Logger LOG = System.getLogger("gatelock.release");
    /** The release controller sends a heartbeat each second; a stream without one for so long counts as silent. */
    private static final long MAX_SILENCE_US = 2_500_000;

    private static final int MAX_LINE_BYTES = 256 * 1024;

    /** Learns what happens on a stream. */
    interface Listener {
        /**
         * News have arrived.
         *
         * @throws IOException where they are malformed
         */
        void onNews(JsonObject news) throws IOException;

        /** A line has arrived, a heartbeat or news. */
        void onAlive(NewsStream stream);

        /** The stream is silent or can't be read, but still open. */
        void onUnusable(NewsStream stream);

        /** The connection has ended. */
        void onEnded(NewsStream stream);
    }

    private final EventLoop eventLoop;
    private final Counters counters;
    private final InetSocketAddress address;
    private final Listener listener;
    private final OutboundConnection connection;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);
    private XnioExecutor.Key silenceTimer;
    /** The connection has ended, or what comes on it is not read any more. */
    private boolean ended;

    /** Opens the connection; the listener is not called before this has returned. */
    NewsStream(
            EventLoop eventLoop, Counters counters, ConnectionPool pool, InetSocketAddress address, Listener listener) {
        this.eventLoop = eventLoop;
        this.counters = counters;
        this.address = address;
        this.listener = listener;
        startSilenceTimer();
        String request = "GET " + ReleaseControllerClient.BASE_PATH + "changes HTTP/1.1\r\nHost: desk\r\n\r\n";
        connection = pool.openStream(address, StandardCharsets.US_ASCII.encode(request), this, this);
    }

    /** Returns the release controller's address. */
    InetSocketAddress address() {
        return address;
    }

    /** Closes the connection; the listener is not called any more. */
    void close() {
        silenceTimer.remove();
        connection.abort();
    }

    /** Returns whether the connection has ended, or can't be read any more. */
    boolean hasEnded() {
        return ended;
    }

    /** Notes that the connection has ended. */
    void markEnded() {
        ended = true;
    }

    @Override
    public void onBody(byte[] piece) {
        for (byte b : piece) {
            if (ended) {
                return;
            }
            if (b == '\n') {
                onLine(line.toByteArray());
                line.reset();
            } else {
                line.write(b);
            }
        }
        if (line.size() > MAX_LINE_BYTES) {
            rejectLine("a line longer than " + MAX_LINE_BYTES + " bytes");
        }
    }

    @Override
    public boolean onResponse(UpstreamResponse response) {
        onConnectionLost(true);
        return false;
    }

    @Override
    public void onConnectionLost(boolean written) {
        silenceTimer.remove();
        listener.onEnded(this);
    }

    private void onLine(byte[] text) {
        try {
            JsonObject message = JsonObject.parse(text);
            silenceTimer.remove();
            startSilenceTimer();
            listener.onAlive(this);
            if ("news".equals(message.textOr("type", ""))) {
                listener.onNews(message.object("object"));
            }
        } catch (IOException e) {
            rejectLine(e.getMessage());
        }
    }

    /**
     * Guards against a release controller whose messages can't be read: the connection is of no further use, and
     * another takes its place. It holds against anything but news, and could do harm where a release controller sends more than
     * news.
     */
    private void rejectLine(String reason) {
        counters.increment("news unreadable");
        LOG.log(Level.WARNING, "release controller, news: " + reason);
        ended = true;
        eventLoop.execute(() -> listener.onUnusable(this));
    }

    private void startSilenceTimer() {
        silenceTimer = eventLoop.schedule(MAX_SILENCE_US, this::onSilence);
    }

    /** Guards against a connection that is silent without being closed: another is opened beside it. */
    private void onSilence() {
        startSilenceTimer();
        listener.onUnusable(this);
    }
}
