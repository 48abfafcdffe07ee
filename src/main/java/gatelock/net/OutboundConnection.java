package gatelock.net;

import gatelock.state.UpstreamResponse;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/**
 * A connection that this relay opens, with one request on it at a time. It sends nothing twice, and it knows whether a
 * request's last byte was written: a request that failed before that has never been executed.
 */
public final class OutboundConnection {
    /**
     * How often one connection is read before others have their turn. Guards against a response of many megabytes that
     * arrives faster than it is read: it would occupy the thread, and with it hold up all requests. It could harm only
     * that response, which is read on in the thread's next round.
     */
    private static final int MAX_READS_PER_ROUND = 4;

    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    /** Learns once how a request ended, and never while the request is being sent. */
    public interface ResponseHandler {
        /** Returns whether the request may still be sent: asked before its first byte on a new connection. */
        default boolean maySend() {
            return true;
        }

        /**
         * A well-formed response has arrived.
         *
         * @return whether it has the expected content; if not, the connection is closed
         */
        boolean onResponse(UpstreamResponse response);

        /**
         * The connection ended without a complete, well-formed response.
         *
         * @param written whether the last byte of the request was written before
         */
        void onConnectionLost(boolean written);

        /** The response is malformed, for this reason; {@link #onConnectionLost} follows. */
        default void onMalformedResponse(String reason) {}

        /** The response is longer than is accepted, as the reason says; {@link #onConnectionLost} follows. */
        default void onResponseTooLong(String reason) {}

        /** The request timed out, and was given up. */
        default void onTimeout() {}
    }

    private final EventLoop eventLoop;
    private final ConnectionPool pool;
    private final InetSocketAddress address;
    private StreamConnection connection;
    private IoFuture<StreamConnection> connecting;
    private XnioExecutor.Key connectTimer;
    private XnioExecutor.Key requestTimer;
    /** The request under way; null while the connection is idle. */
    private OutboundRequest request;

    private ResponseReader reader;
    private long requestStartUs;
    /** When the last piece of a response arrived that may come in pieces, 0 before. */
    private long lastPieceUs;

    private boolean written;
    private boolean ended;

    OutboundConnection(EventLoop eventLoop, ConnectionPool pool, InetSocketAddress address) {
        this.eventLoop = eventLoop;
        this.pool = pool;
        this.address = address;
    }

    /** Gives up the request, or closes the idle connection; the request's handler is not called any more. */
    public void abort() {
        endRequest();
        end();
    }

    /** Returns the address to which this connection goes. */
    InetSocketAddress address() {
        return address;
    }

    /** Opens the connection, on which the first request is sent once it is established. */
    void open(long connectTimeoutUs, OutboundRequest first) {
        begin(first);
        connectTimer = eventLoop.schedule(connectTimeoutUs, () -> {
            if (connection == null) {
                end();
            }
        });
        connecting = eventLoop.ioThread().openStreamConnection(address, this::onConnected, OPTIONS);
        connecting.addNotifier(
                new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                    @Override
                    public void handleFailed(IOException e, Void nothing) {
                        eventLoop.execute(OutboundConnection.this::end);
                    }
                },
                null);
    }

    /** Sends one more request, on a connection that is idle. */
    void send(OutboundRequest next) {
        begin(next);
        write();
    }

    /** Returns whether an idle connection is still open, as far as can be known without writing to it. */
    boolean isUsable() {
        try {
            return !ended && connection.getSourceChannel().read(eventLoop.readBuffer()) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Asks again whether a request of which no byte was written may be sent, and ends the connection if not. Guards
     * against a service that left, came back as another process or lost its quota while the connection was being
     * established; it holds however long that takes. It could do no harm: such a request was never executed, and its
     * handler learns so.
     *
     * @return whether the connection goes on
     */
    boolean endUnlessMaySend() {
        if (request != null && !request.handler().maySend()) {
            end();
        }
        return !ended;
    }

    private void begin(OutboundRequest next) {
        long firstByteUs = next.timeouts().firstByteUs();
        if (firstByteUs > 0) {
            requestTimer = eventLoop.schedule(firstByteUs, () -> onRequestTimer(next));
        }
        request = next;
        requestStartUs = eventLoop.nowUs();
        lastPieceUs = 0;
        reader = new ResponseReader(next.body(), pool.maxBodyBytes());
        written = false;
    }

    /**
     * Handles the end of a request's time. The response is read first, which guards against a thread that is late
     * itself: timers run before what can be read, so the response may have arrived. That holds for any request, and
     * could do no harm: the response came in time or nearly so, which the handler judges.
     */
    private void onRequestTimer(OutboundRequest timed) {
        if (connection != null && written) {
            read();
        }
        boolean stillUnderWay = request != null && request.handler() == timed.handler();
        if (!stillUnderWay) {
            return;
        }
        long leftUs = remainingUs(timed.timeouts());
        if (leftUs > 0) {
            requestTimer = eventLoop.schedule(leftUs, () -> onRequestTimer(timed));
        } else {
            abort();
            timed.handler().onTimeout();
        }
    }

    /** How long a response that arrives in pieces may still take; 0 where none of it has arrived yet. */
    private long remainingUs(ResponseTimeouts timeouts) {
        if (lastPieceUs == 0) {
            return 0;
        }
        long nextPieceDueUs = lastPieceUs + timeouts.pauseUs();
        long endDueUs = requestStartUs + timeouts.totalUs();
        return Math.min(nextPieceDueUs, endDueUs) - eventLoop.nowUs();
    }

    private void onConnected(StreamConnection established) {
        if (ended) {
            IoUtils.safeClose(established);
            return;
        }
        connectTimer.remove();
        connection = established;
        connection.getSinkChannel().setWriteListener(c -> write());
        connection.getSourceChannel().setReadListener(c -> read());
        connection.getSourceChannel().resumeReads();
        pool.connectingEnded(this);
        if (endUnlessMaySend()) {
            write();
        }
    }

    private void write() {
        if (ended || written) {
            return;
        }
        try {
            while (request.bytes().hasRemaining()) {
                if (connection.getSinkChannel().write(request.bytes()) == 0) {
                    connection.getSinkChannel().resumeWrites();
                    return;
                }
            }
            written = true;
            connection.getSinkChannel().suspendWrites();
        } catch (IOException e) {
            eventLoop.execute(this::end);
        }
    }

    private void read() {
        try {
            boolean more = true;
            for (int reads = 0; more && !ended && mayReadAgain(reads); reads++) {
                more = readPiece();
            }
        } catch (MalformedResponseException e) {
            rejectResponse(e);
        } catch (IOException e) {
            end();
        } catch (RuntimeException | AssertionError e) {
            eventLoop.logUnexpected(e);
            end();
        }
    }

    /** Buffered responses are short; only those that are consumed as they arrive could occupy the thread for long. */
    private boolean mayReadAgain(int reads) {
        return request == null || request.body() == null || reads < MAX_READS_PER_ROUND;
    }

    /** Reads once, and returns whether there may be more to read. */
    private boolean readPiece() throws IOException, MalformedResponseException {
        ByteBuffer in = eventLoop.readBuffer();
        int count = connection.getSourceChannel().read(in);
        if (count == 0) {
            return false;
        }
        if (count < 0 || request == null) {
            // The end of the stream, or bytes that nobody asked for on an idle connection.
            end();
            return false;
        }
        in.flip();
        if (request.timeouts().pauseUs() > 0) {
            lastPieceUs = eventLoop.nowUs();
        }
        reader.read(in);
        if (!reader.isComplete()) {
            return true;
        }
        if (!written) {
            // What arrives before all of the request was sent answers another request, or none.
            throw new MalformedResponseException("a response before the request was complete");
        }
        finish(reader.isKeepAlive() && !in.hasRemaining());
        return false;
    }

    private void rejectResponse(MalformedResponseException e) {
        pool.reportMalformed(address, e);
        if (request != null) {
            if (e instanceof ResponseTooLongException) {
                request.handler().onResponseTooLong(e.getMessage());
            } else {
                request.handler().onMalformedResponse(e.getMessage());
            }
        }
        end();
    }

    private void finish(boolean reusable) {
        OutboundRequest finished = endRequest();
        if (finished.handler().onResponse(reader.response()) && reusable) {
            pool.release(this);
        } else {
            end();
        }
    }

    /** Ends the request, if one is under way: its handler may be called once more, by whoever called this. */
    private OutboundRequest endRequest() {
        if (requestTimer != null) {
            requestTimer.remove();
            requestTimer = null;
        }
        OutboundRequest current = request;
        request = null;
        return current;
    }

    private void end() {
        if (ended) {
            return;
        }
        ended = true;
        connectTimer.remove();
        if (connection != null) {
            IoUtils.safeClose(connection);
        } else if (connecting != null) {
            connecting.cancel();
        }
        pool.remove(this);
        OutboundRequest unanswered = endRequest();
        if (unanswered != null) {
            unanswered.handler().onConnectionLost(written);
        }
    }
}
