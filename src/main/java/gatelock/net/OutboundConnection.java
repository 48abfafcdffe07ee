package gatelock.net;

import gatelock.state.UpstreamResponse;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.Buffers;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.PushBackStreamSourceConduit;

/**
 * A connection that this relay opens, with at most one request at a time. It never sends a request twice, and it tracks
 * whether the last byte of a request has been written: a request whose connection failed before that has never been
 * executed.
 */
public final class OutboundConnection {
    /**
     * The maximum number of reads from one connection before the event loop handles other connections. It prevents a
     * response of many megabytes that arrives faster than it is read from occupying the thread and delaying all other
     * requests. The rest of such a response is read in the next round of the event loop.
     */
    private static final int MAX_READS_PER_ROUND = 4;

    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    /** Receives the outcome of one request, exactly once and never during the call that sends the request. */
    public interface ResponseHandler {
        /**
         * Returns whether the request may still be sent. Called on a new connection before the first byte of the
         * request.
         */
        default boolean maySend() {
            return true;
        }

        /**
         * Returns whether there is memory for the part of a response that has arrived. If not, its connection is closed
         * as if the response were too long.
         *
         * @param bytes the length of that part
         */
        default boolean mayBuffer(int bytes) {
            return true;
        }

        /**
         * Called when a well-formed response has arrived.
         *
         * @return whether the response has the expected content; if not, the connection is closed
         */
        boolean onResponse(UpstreamResponse response);

        /**
         * Called when the server has switched to the protocol that the request asked for. The connection belongs to the
         * handler from now on. What the server sent after the response is returned by the first reads.
         */
        default void onUpgrade(UpstreamResponse response, StreamConnection connection) {
            throw new IllegalStateException("no other protocol was requested");
        }

        /**
         * Called when the connection ended without a complete, well-formed response.
         *
         * @param written whether the request had been written completely
         */
        void onConnectionLost(boolean written);

        /** Called when the response is malformed. {@link #onConnectionLost} follows. */
        default void onMalformedResponse(String reason) {}

        /** Called when the response exceeds the size limit. {@link #onConnectionLost} follows. */
        default void onResponseTooLong(String reason) {}

        /** Called when the request has timed out. Its connection is closed. */
        default void onTimeout() {}
    }

    private final EventLoop eventLoop;
    private final ConnectionPool pool;
    private final InetSocketAddress address;
    private StreamConnection connection;
    private IoFuture<StreamConnection> connectFuture;
    private XnioExecutor.Key connectTimer;
    private XnioExecutor.Key requestTimer;
    /** The request in progress; null while the connection is idle. */
    private OutboundRequest request;

    private ResponseReader reader;
    private long requestStartUs;
    /**
     * When data of the response last arrived, or 0 if none has. Recorded only for responses with a timeout between
     * parts.
     */
    private long lastDataUs;

    private boolean requestWritten;
    private boolean closed;

    OutboundConnection(EventLoop eventLoop, ConnectionPool pool, InetSocketAddress address) {
        this.eventLoop = eventLoop;
        this.pool = pool;
        this.address = address;
    }

    /**
     * Closes the connection and abandons its request, if there is one. The handler of the request is not called any
     * more.
     */
    public void abort() {
        detachRequest();
        close();
    }

    /** Returns the remote address. */
    InetSocketAddress address() {
        return address;
    }

    /** Opens the connection. The first request is sent once the connection is established. */
    void open(long connectTimeoutUs, OutboundRequest first) {
        startRequest(first);
        connectTimer = eventLoop.schedule(connectTimeoutUs, () -> {
            if (connection == null) {
                close();
            }
        });
        connectFuture = eventLoop.ioThread().openStreamConnection(address, this::onConnected, OPTIONS);
        connectFuture.addNotifier(
                new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                    @Override
                    public void handleFailed(IOException e, Void nothing) {
                        eventLoop.execute(OutboundConnection.this::close);
                    }
                },
                null);
    }

    /** Sends another request on an idle connection. */
    void send(OutboundRequest next) {
        startRequest(next);
        write();
    }

    /** Returns whether an idle connection is still open, as far as this can be determined without writing to it. */
    boolean isUsable() {
        try {
            return !closed && connection.getSourceChannel().read(eventLoop.readBuffer()) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Asks the handler again whether a request of which no byte has been written may be sent, and closes the connection
     * if not. This covers services that left, were replaced by another process or lost their quota while the connection
     * was being established, however long that took. It is safe, because the request was never executed and its handler
     * is notified of that.
     *
     * @return whether the connection is still open
     */
    boolean closeUnlessMaySend() {
        if (request != null && !request.handler().maySend()) {
            close();
        }
        return !closed;
    }

    private void startRequest(OutboundRequest next) {
        long firstByteUs = next.timeouts().firstByteTimeoutUs();
        if (firstByteUs > 0) {
            requestTimer = eventLoop.schedule(firstByteUs, () -> onRequestTimer(next));
        }
        request = next;
        requestStartUs = eventLoop.nowUs();
        lastDataUs = 0;
        reader = new ResponseReader(next.body(), pool.maxBodyBytes(), next.acceptsUpgrade());
        requestWritten = false;
    }

    /**
     * Handles the timeout of a request. Available data is read first, because the event loop runs timers before it
     * handles readable connections: if the thread itself is delayed, the response may already have arrived. This is
     * safe for any request, because such a response arrived in time or nearly so, which the handler judges.
     */
    private void onRequestTimer(OutboundRequest timedRequest) {
        if (connection != null && requestWritten) {
            read();
        }
        boolean inProgress = request != null && request.handler() == timedRequest.handler();
        if (!inProgress) {
            return;
        }
        long remainingUs = remainingUs(timedRequest.timeouts());
        if (remainingUs > 0) {
            requestTimer = eventLoop.schedule(remainingUs, () -> onRequestTimer(timedRequest));
        } else {
            abort();
            timedRequest.handler().onTimeout();
        }
    }

    /** Returns how long a response that is consumed as it arrives may still take, or 0 if no data has arrived yet. */
    private long remainingUs(ResponseTimeouts timeouts) {
        if (lastDataUs == 0) {
            return 0;
        }
        long dataDeadlineUs = lastDataUs + timeouts.dataTimeoutUs();
        long totalDeadlineUs = requestStartUs + timeouts.totalTimeoutUs();
        return Math.min(dataDeadlineUs, totalDeadlineUs) - eventLoop.nowUs();
    }

    private void onConnected(StreamConnection established) {
        if (closed) {
            IoUtils.safeClose(established);
            return;
        }
        connectTimer.remove();
        connection = established;
        connection.getSinkChannel().setWriteListener(c -> write());
        connection.getSourceChannel().setReadListener(c -> read());
        connection.getSourceChannel().resumeReads();
        pool.connectFinished(this);
        if (closeUnlessMaySend()) {
            write();
        }
    }

    private void write() {
        if (closed || requestWritten) {
            return;
        }
        try {
            while (request.bytes().hasRemaining()) {
                if (connection.getSinkChannel().write(request.bytes()) == 0) {
                    connection.getSinkChannel().resumeWrites();
                    return;
                }
            }
            requestWritten = true;
            connection.getSinkChannel().suspendWrites();
        } catch (IOException e) {
            eventLoop.execute(this::close);
        }
    }

    private void read() {
        try {
            boolean mayHaveMore = true;
            for (int reads = 0; mayHaveMore && !closed && mayReadAgain(reads); reads++) {
                mayHaveMore = readOnce();
            }
        } catch (MalformedResponseException e) {
            rejectResponse(e);
        } catch (IOException e) {
            close();
        } catch (RuntimeException | AssertionError e) {
            eventLoop.logUnexpected(e);
            close();
        }
    }

    /**
     * Returns whether the connection may be read again in this round. Buffered responses are short, so only responses
     * that are consumed as they arrive could occupy the thread for long.
     */
    private boolean mayReadAgain(int reads) {
        return request == null || request.body() == null || reads < MAX_READS_PER_ROUND;
    }

    /** Reads once and returns whether there may be more to read. */
    private boolean readOnce() throws IOException, MalformedResponseException {
        ByteBuffer in = eventLoop.readBuffer();
        int count = connection.getSourceChannel().read(in);
        if (count == 0) {
            return false;
        }
        if (count < 0 || request == null) {
            // The end of the stream, or unexpected data on an idle connection.
            close();
            return false;
        }
        in.flip();
        if (request.timeouts().dataTimeoutUs() > 0) {
            lastDataUs = eventLoop.nowUs();
        }
        reader.read(in);
        if (!request.handler().mayBuffer(reader.bufferedBytes())) {
            throw new ResponseTooLongException(reader.bufferedBytes());
        }
        if (!reader.isComplete()) {
            return true;
        }
        if (!requestWritten) {
            // A response that arrives before the request has been sent completely cannot be the response to this
            // request.
            throw new MalformedResponseException("response arrived before the request was completely sent");
        }
        if (reader.isUpgrade()) {
            handOver(in);
        } else {
            completeRequest(reader.isKeepAlive() && !in.hasRemaining());
        }
        return false;
    }

    /** Passes the connection to the handler of its request, with the bytes that were read after the response. */
    private void handOver(ByteBuffer unread) {
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        source.suspendReads();
        source.setReadListener(null);
        connection.getSinkChannel().setWriteListener(null);
        PushBackStreamSourceConduit conduit = new PushBackStreamSourceConduit(source.getConduit());
        if (unread.hasRemaining()) {
            ByteBuffer copy =
                    ByteBuffer.allocate(unread.remaining()).put(unread).flip();
            conduit.pushBack(Buffers.pooledWrapper(copy));
        }
        source.setConduit(conduit);
        closed = true;
        pool.remove(this);
        detachRequest().handler().onUpgrade(reader.response(), connection);
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
        close();
    }

    private void completeRequest(boolean reusable) {
        OutboundRequest completed = detachRequest();
        if (completed.handler().onResponse(reader.response()) && reusable) {
            pool.release(this);
        } else {
            close();
        }
    }

    /**
     * Cancels the timer of the request in progress and detaches the request from this connection. Returns the request,
     * whose handler may be called once more by the caller, or null if there is none.
     */
    private OutboundRequest detachRequest() {
        if (requestTimer != null) {
            requestTimer.remove();
            requestTimer = null;
        }
        OutboundRequest current = request;
        request = null;
        return current;
    }

    private void close() {
        if (closed) {
            return;
        }
        closed = true;
        connectTimer.remove();
        if (connection != null) {
            IoUtils.safeClose(connection);
        } else if (connectFuture != null) {
            connectFuture.cancel();
        }
        pool.remove(this);
        OutboundRequest unanswered = detachRequest();
        if (unanswered != null) {
            unanswered.handler().onConnectionLost(requestWritten);
        }
    }
}
