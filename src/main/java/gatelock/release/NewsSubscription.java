package gatelock.release;

import gatelock.net.ConnectionPool;
import gatelock.net.EventLoop;
import gatelock.net.JsonObject;
import gatelock.state.Counters;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * Keeps a news connection to the release controller open. A connection that falls silent, ends or can't be read is
 * replaced by another, which is opened beside it and takes its place once it has delivered something.
 */
final class NewsSubscription implements NewsStream.Listener {
    private static final long REOPEN_DELAY_US = 200_000;

    private final EventLoop eventLoop;
    private final Counters counters;
    private final ConnectionPool pool;
    private final NewsConsumer consumer;
    private InetSocketAddress address;
    private NewsStream current;
    /** The connection that is to take the current one's place; null where none is under way. */
    private NewsStream replacement;

    /** Receives the news. */
    interface NewsConsumer {
        /**
         * Applies one message.
         *
         * @throws IOException where it is malformed
         */
        void accept(JsonObject news) throws IOException;
    }

    NewsSubscription(
            EventLoop eventLoop,
            Counters counters,
            ConnectionPool pool,
            InetSocketAddress address,
            NewsConsumer consumer) {
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

    /** Opens a connection to another address, which takes the place of the current one once it delivers. */
    void move(InetSocketAddress newAddress) {
        address = newAddress;
        closeReplacement();
        replace(current);
    }

    @Override
    public void onNews(JsonObject news) throws IOException {
        consumer.accept(news);
    }

    /** Of two connections, keeps the one that delivers, and the newer one where both do. */
    @Override
    public void onAlive(NewsStream stream) {
        if (stream == replacement) {
            NewsStream old = current;
            current = stream;
            replacement = null;
            old.close();
        } else if (stream.address().equals(address)) {
            closeReplacement();
        }
    }

    @Override
    public void onUnusable(NewsStream stream) {
        if (stream == replacement) {
            stream.close();
            onEnded(stream);
        } else {
            replace(stream);
        }
    }

    @Override
    public void onEnded(NewsStream stream) {
        stream.markEnded();
        if (stream == replacement) {
            replacement = null;
        }
        if (current.hasEnded() && replacement == null) {
            NewsStream ended = current;
            eventLoop.schedule(REOPEN_DELAY_US, () -> replace(ended));
        }
    }

    /** Opens a replacement of a stream, unless that was replaced already or a replacement is under way. */
    private void replace(NewsStream stream) {
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

    private NewsStream open() {
        counters.increment("news connections");
        return new NewsStream(eventLoop, counters, pool, address, this);
    }
}
