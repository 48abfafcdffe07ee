package gatelock.pipeline;

import gatelock.api.AttemptResult;
import gatelock.net.ConnectionPool;
import gatelock.net.EventLoop;
import gatelock.net.OutboundConnection;
import gatelock.state.InFlightRequest;
import gatelock.state.UpstreamResponse;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;

/** Fourth stage: an attempt is written to a connection that it has for itself, and its result is determined. */
public final class AttemptSender {
    /** How long after the connection of a cancelled attempt was closed its end is reported. */
    private static final long CANCELLATION_DELAY_US = 2_000;

    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final String TIMEOUT_HEADER = "X-Expires-In-Ms";
    /** With the value 1 on a 503 or 504, an endpoint's statement that it did not execute the request. */
    private static final String NOT_EXECUTED_HEADER = "X-Never-Ran";

    private final EventLoop eventLoop;
    private final ConnectionPool pool;
    private final OutcomeRecorder outcomeRecorder;
    private BiConsumer<String, AttemptResult> attemptListener = (endpoint, result) -> {};

    /**
     * Creates the stage.
     *
     * @param eventLoop the I/O thread
     * @param pool the connections to endpoints
     * @param outcomeRecorder learns how each attempt ended
     */
    public AttemptSender(EventLoop eventLoop, ConnectionPool pool, OutcomeRecorder outcomeRecorder) {
        this.eventLoop = eventLoop;
        this.pool = pool;
        this.outcomeRecorder = outcomeRecorder;
    }

    /** Sets the listener that receives the endpoint's name and the result of each attempt from now on. */
    public void setAttemptListener(BiConsumer<String, AttemptResult> listener) {
        attemptListener = listener;
    }

    /** Registers and sends an attempt; without an address it ends as not connected. */
    void send(InFlightRequest request, String endpoint, InetSocketAddress address, long timeoutUs) {
        Attempt attempt = new Attempt(request, endpoint);
        if (request.isOver() || eventLoop.nowUs() >= request.deadlineUs()) {
            attempt.end(AttemptResult.NOT_SENT, null);
        } else if (address == null) {
            attempt.end(AttemptResult.NOT_CONNECTED, null);
        } else {
            attempt.begin(address, timeoutUs);
        }
    }

    private static AttemptResult resultOf(UpstreamResponse response) {
        if (response.status() == OK) {
            return AttemptResult.COMPLETED;
        }
        boolean mayStateIt = response.status() == SERVICE_UNAVAILABLE || response.status() == GATEWAY_TIMEOUT;
        boolean notExecuted = mayStateIt && "1".equals(response.header(NOT_EXECUTED_HEADER));
        return notExecuted ? AttemptResult.TURNED_AWAY : AttemptResult.ERRORED;
    }

    private final class Attempt implements OutboundConnection.ResponseHandler {
        private final InFlightRequest request;
        private final String endpoint;
        private final int number;
        private final long sentUs = eventLoop.nowUs();
        private OutboundConnection connection;
        private boolean ended;
        /** The decision engine withdrew the attempt before its first byte was sent. */
        private boolean withdrawn;

        Attempt(InFlightRequest request, String endpoint) {
            this.request = request;
            this.endpoint = endpoint;
            this.number = request.addAttempt(this::cancel);
        }

        private void begin(InetSocketAddress address, long timeoutUs) {
            long leftUs = request.deadlineUs() - sentUs;
            long waitUs = timeoutUs > 0 ? Math.min(timeoutUs, leftUs) : leftUs;
            byte[] headEnd = (TIMEOUT_HEADER + ": " + Math.max(1, waitUs / 1000) + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
            // One buffer, so that an ordinary request is sent with one write.
            ByteBuffer message = ByteBuffer.allocate(request.head().length + headEnd.length + request.body().length);
            message.put(request.head()).put(headEnd).put(request.body()).flip();
            connection = pool.send(address, message, waitUs, this);
        }

        /**
         * Closes the connection, by which the endpoint learns that nobody waits any more, and reports the end a little
         * later. The delay guards against a retry that another endpoint reads before this one reads the close: two
         * attempts of one request were seen in execution at once. Should hold for any two endpoints; costs a cancelled
         * request the delay.
         */
        private void cancel() {
            if (!ended) {
                ended = true;
                connection.abort();
                eventLoop.schedule(CANCELLATION_DELAY_US, () -> end(AttemptResult.CANCELLED, null));
            }
        }

        @Override
        public boolean maySend() {
            withdrawn = !request.handle().mayStart(eventLoop.nowUs(), number);
            return !withdrawn;
        }

        @Override
        public void onTimeout() {
            end(AttemptResult.TIMED_OUT, null);
        }

        @Override
        public boolean onResponse(UpstreamResponse response) {
            end(resultOf(response), response);
            return true;
        }

        @Override
        public void onConnectionLost(boolean written) {
            if (written) {
                end(AttemptResult.BROKEN_OFF, null);
            } else {
                end(withdrawn ? AttemptResult.NOT_SENT : AttemptResult.NOT_CONNECTED, null);
            }
        }

        private void end(AttemptResult result, UpstreamResponse response) {
            ended = true;
            attemptListener.accept(endpoint, result);
            outcomeRecorder.attemptEnded(request, number, result, eventLoop.nowUs() - sentUs, response);
        }
    }
}
