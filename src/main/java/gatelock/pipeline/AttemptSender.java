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

/** Fourth stage: sends an attempt on a connection that carries no other request, and determines its result. */
public final class AttemptSender {
    /** The delay between closing the connection of a cancelled attempt and reporting its end. */
    private static final long CANCELLATION_DELAY_US = 2_000;

    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final String TIMEOUT_HEADER = "X-Expires-In-Ms";
    /**
     * The header by which an endpoint states, with the value 1 on a 503 or 504, that it did not execute the request.
     */
    private static final String NOT_EXECUTED_HEADER = "X-Never-Ran";

    private final EventLoop eventLoop;
    private final ConnectionPool pool;
    private final OutcomeRecorder outcomeRecorder;
    private final RequestFailureHandler failures;
    private BiConsumer<String, AttemptResult> attemptListener = (endpoint, result) -> {};

    /**
     * Creates the stage.
     *
     * @param eventLoop the I/O thread
     * @param pool the connections to endpoints
     * @param outcomeRecorder receives the result of each attempt
     * @param failures ends the requests on which an attempt fails with an exception
     */
    public AttemptSender(
            EventLoop eventLoop, ConnectionPool pool, OutcomeRecorder outcomeRecorder, RequestFailureHandler failures) {
        this.eventLoop = eventLoop;
        this.pool = pool;
        this.outcomeRecorder = outcomeRecorder;
        this.failures = failures;
    }

    /** Sets the listener that receives the endpoint name and the result of each attempt from now on. */
    public void setAttemptListener(BiConsumer<String, AttemptResult> listener) {
        attemptListener = listener;
    }

    /** Registers and sends an attempt. Without an address it ends as not connected. */
    void send(InFlightRequest request, String endpoint, InetSocketAddress address, long timeoutUs) {
        Attempt attempt = new Attempt(request, endpoint);
        if (request.isCompleted() || eventLoop.nowUs() >= request.deadlineUs()) {
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
        boolean allowsNotExecuted = response.status() == SERVICE_UNAVAILABLE || response.status() == GATEWAY_TIMEOUT;
        boolean notExecuted = allowsNotExecuted && "1".equals(response.header(NOT_EXECUTED_HEADER));
        return notExecuted ? AttemptResult.TURNED_AWAY : AttemptResult.ERRORED;
    }

    /** One attempt of a request, which handles the response on its connection. */
    private final class Attempt implements OutboundConnection.ResponseHandler {
        private final InFlightRequest request;
        private final String endpoint;
        private final int number;
        private final long sentUs = eventLoop.nowUs();
        private OutboundConnection connection;
        private boolean cancelled;
        private boolean ended;
        /** Whether the decision engine withdrew the attempt before its first byte was sent. */
        private boolean withdrawn;

        Attempt(InFlightRequest request, String endpoint) {
            this.request = request;
            this.endpoint = endpoint;
            this.number = request.addAttempt(this::cancel);
        }

        private void begin(InetSocketAddress address, long timeoutUs) {
            long remainingUs = request.deadlineUs() - sentUs;
            long attemptTimeoutUs = timeoutUs > 0 ? Math.min(timeoutUs, remainingUs) : remainingUs;
            byte[] timeoutHeader = (TIMEOUT_HEADER + ": " + Math.max(1, attemptTimeoutUs / 1000) + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
            // A single buffer, so that a request of typical size is sent with one write.
            ByteBuffer message =
                    ByteBuffer.allocate(request.head().length + timeoutHeader.length + request.body().length);
            message.put(request.head()).put(timeoutHeader).put(request.body()).flip();
            try {
                connection = pool.send(address, message, attemptTimeoutUs, this);
            } catch (RuntimeException | Error e) {
                eventLoop.logUnexpected(e);
                end(message.position() > 0 ? AttemptResult.BROKEN_OFF : AttemptResult.NOT_CONNECTED, null);
            }
        }

        /**
         * Closes the connection, which tells the endpoint that its response is no longer needed, and reports the end of
         * the attempt after a delay. Without the delay, another endpoint could read a retry before this endpoint reads
         * the close, and two attempts of one request were observed executing at the same time. The delay is expected to
         * suffice for any two endpoints, and adds to the duration of each cancelled request.
         */
        private void cancel() {
            if (!ended && !cancelled) {
                cancelled = true;
                connection.abort();
                eventLoop.schedule(CANCELLATION_DELAY_US, () -> end(AttemptResult.CANCELLED, null));
            }
        }

        @Override
        public boolean maySend() {
            withdrawn = true;
            failures.run(request, () -> withdrawn = !request.handle().mayStart(eventLoop.nowUs(), number));
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
            if (ended) {
                return;
            }
            ended = true;
            failures.run(request, () -> {
                attemptListener.accept(endpoint, result);
                outcomeRecorder.attemptEnded(request, number, result, eventLoop.nowUs() - sentUs, response);
            });
        }
    }
}
