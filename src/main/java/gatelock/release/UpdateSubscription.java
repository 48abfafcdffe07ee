package gatelock.release;

import gatelock.net.ConnectionPool;
import gatelock.net.EventLoop;
import gatelock.net.JsonObject;
import gatelock.state.Counters;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * Keeps a connection for release updates to the release controller open. A connection that becomes unresponsive, ends
 * or cannot be parsed is replaced: another one is opened in parallel and takes over once it has received a line.
 */
final class UpdateSubscription implements UpdateStream.Listener {
    /** The delay before a connection that has ended is opened again. */
    private static final long REOPEN_DELAY_US = 200_000;

    private final EventLoop eventLoop;
    private final Counters counters;
    private final ConnectionPool pool;
    private final UpdateConsumer consumer;
    private InetSocketAddress address;
    private UpdateStream current;
    /** The connection that is to replace the current one, or null if there is none. */
    private UpdateStream replacement;

    /** Receives the updates. */
    interface UpdateConsumer {
        /**
         * Applies one update.
         *
         * @throws IOException if the update is malformed
         */
        void accept(JsonObject update) throws IOException;
    }

    UpdateSubscription(
            EventLoop eventLoop,
            Counters counters,
            ConnectionPool pool,
            InetSocketAddress address,
            UpdateConsumer consumer) {
        this.eventLoop = eventLoop;
        this.counters = counters;
        this.pool = pool;
        this.address = address;
        this.consumer = consumer;
    }

    /** Opens the first connection. */
    void start() {
        current = open();
    }

    /** Opens a connection to another address, which replaces the current one once it has received a line. */
    void changeAddress(InetSocketAddress newAddress) {
        address = newAddress;
        closeReplacement();
        replace(current);
    }

    @Override
    public void onUpdate(JsonObject update) throws IOException {
        consumer.accept(update);
    }

    /**
     * Keeps the connection that received the line and closes the other one. If both receive lines, the newer one is
     * kept.
     */
    @Override
    public void onLineReceived(UpdateStream stream) {
        if (stream == replacement) {
            UpdateStream old = current;
            current = stream;
            replacement = null;
            old.close();
        } else if (stream.address().equals(address)) {
            closeReplacement();
        }
    }

    @Override
    public void onUnusable(UpdateStream stream) {
        if (stream == replacement) {
            stream.close();
            onEnded(stream);
        } else {
            replace(stream);
        }
    }

    @Override
    public void onEnded(UpdateStream stream) {
        stream.markEnded();
        if (stream == replacement) {
            replacement = null;
        }
        if (current.hasEnded() && replacement == null) {
            UpdateStream ended = current;
            eventLoop.schedule(REOPEN_DELAY_US, () -> replace(ended));
        }
    }

    /**
     * Opens a replacement for a stream, unless the stream has already been replaced or a replacement is being opened.
     */
    private void replace(UpdateStream stream) {
        if (stream == current && replacement == null) {
            replacement = open();
        }
    }

    private void closeReplacement() {
        if (replacement != null) {
            replacement.close();
            replacement = null;
        }
    }

    private UpdateStream open() {
        counters.increment("news connections");
        return new UpdateStream(eventLoop, counters, pool, address, this);
    }
}
