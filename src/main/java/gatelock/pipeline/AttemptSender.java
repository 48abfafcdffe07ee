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
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

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
        start(new Attempt(request, endpoint, null), address, timeoutUs);
    }

    /**
     * Registers and sends an attempt that asks an endpoint to switch to another protocol, on a connection of its own.
     *
     * @param request the request, whose head has none of the headers of the handshake
     * @param endpoint the name of the endpoint
     * @param address its address; null if it is no longer listed, in which case the attempt ends as not connected
     * @param timeoutUs the timeout of the attempt, in microseconds; 0 to use the deadline of the request
     * @param handshake receives the connection if the endpoint switches protocols
     */
    public void sendUpgrade(
            InFlightRequest request,
            String endpoint,
            InetSocketAddress address,
            long timeoutUs,
            UpgradeHandshake handshake) {
        start(new Attempt(request, endpoint, handshake), address, timeoutUs);
    }

    private void start(Attempt attempt, InetSocketAddress address, long timeoutUs) {
        InFlightRequest request = attempt.request;
        if (request.isCompleted()
                || request.responseSink().endIfClientLeft()
                || eventLoop.nowUs() >= request.deadlineUs()) {
            attempt.end(AttemptResult.NOT_SENT, null);
        } else if (address == null) {
            attempt.end(AttemptResult.NOT_CONNECTED, null);
        } else {
            attempt.begin(address, timeoutUs);
        }
    }

    private AttemptResult resultOf(Attempt attempt, UpstreamResponse response) {
        if (response.status() == OK) {
            // The endpoint has answered, but it has not switched protocols.
            return attempt.handshake == null ? AttemptResult.COMPLETED : AttemptResult.ERRORED;
        }
        boolean allowsNotExecuted = response.status() == SERVICE_UNAVAILABLE || response.status() == GATEWAY_TIMEOUT;
        boolean notExecuted = allowsNotExecuted && "1".equals(response.header(NOT_EXECUTED_HEADER));
        return notExecuted ? AttemptResult.TURNED_AWAY : AttemptResult.ERRORED;
    }

    /** One attempt of a request, which handles the response on its connection. */
    private final class Attempt implements OutboundConnection.ResponseHandler {
        private final InFlightRequest request;
        private final String endpoint;
        /** The handshake of an attempt that asks for another protocol; null for an ordinary attempt. */
        private final UpgradeHandshake handshake;

        private final int number;
        private final long sentUs = eventLoop.nowUs();
        private OutboundConnection connection;
        private boolean cancelled;
        private boolean ended;
        /** Whether the decision engine withdrew the attempt before its first byte was sent. */
        private boolean withdrawn;

        Attempt(InFlightRequest request, String endpoint, UpgradeHandshake handshake) {
            this.request = request;
            this.endpoint = endpoint;
            this.handshake = handshake;
            this.number = request.addAttempt(this::cancel);
        }

        private void begin(InetSocketAddress address, long timeoutUs) {
            long remainingUs = request.deadlineUs() - sentUs;
            long attemptTimeoutUs = timeoutUs > 0 ? Math.min(timeoutUs, remainingUs) : remainingUs;
            ByteBuffer message = message(attemptTimeoutUs);
            try {
                connection = handshake == null
                        ? pool.send(address, message, attemptTimeoutUs, this)
                        : pool.openUpgrade(address, message, attemptTimeoutUs, this);
            } catch (RuntimeException | Error e) {
                eventLoop.logUnexpected(e);
                end(message.position() > 0 ? AttemptResult.BROKEN_OFF : AttemptResult.NOT_CONNECTED, null);
            }
        }

        /** Returns the request in a single buffer, so that one of typical size is sent with one write. */
        private ByteBuffer message(long timeoutUs) {
            String headers = TIMEOUT_HEADER + ": " + Math.max(1, timeoutUs / 1000) + "\r\n"
                    + (handshake == null ? "" : handshake.headers()) + "\r\n";
            byte[] headEnd = headers.getBytes(StandardCharsets.ISO_8859_1);
            ByteBuffer message = ByteBuffer.allocate(request.head().length + headEnd.length + request.body().length);
            return message.put(request.head()).put(headEnd).put(request.body()).flip();
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
            failures.run(
                    request,
                    () -> withdrawn = !request.responseSink().isClientConnected()
                            || !request.handle().mayStart(eventLoop.nowUs(), number));
            return !withdrawn;
        }

        @Override
        public boolean mayBuffer(int bytes) {
            return request.isCompleted() || request.responseSink().holdResponse(bytes);
        }

        @Override
        public void onTimeout() {
            end(AttemptResult.TIMED_OUT, null);
        }

        @Override
        public boolean onResponse(UpstreamResponse response) {
            end(resultOf(this, response), response);
            return handshake == null;
        }

        @Override
        public void onUpgrade(UpstreamResponse response, StreamConnection upgraded) {
            if (request.isCompleted()) {
                IoUtils.safeClose(upgraded);
                end(AttemptResult.CANCELLED, null);
                return;
            }
            boolean accepted = false;
            try {
                accepted = handshake.complete(response, upgraded);
            } finally {
                end(accepted ? AttemptResult.COMPLETED : AttemptResult.ERRORED, response);
            }
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
