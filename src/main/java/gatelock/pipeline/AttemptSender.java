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

/** Fourth stage: one attempt goes out on a connection of its own for the time, and its ending is found. */
public final class AttemptSender {
    private static final long SEEN_US = 2_000;

    private final EventLoop turn;
    private final ConnectionPool lines;
    private final OutcomeRecorder book;
    private BiConsumer<String, AttemptResult> hears = (endpoint, ending) -> {};

    public AttemptSender(EventLoop turn, ConnectionPool lines, OutcomeRecorder book) {
        this.turn = turn;
        this.lines = lines;
        this.book = book;
    }

    /** Tells the endpoint and the ending of each attempt from now on. */
    public void whenEnded(BiConsumer<String, AttemptResult> hears) {
        this.hears = hears;
    }

    /** Numbers and sends an attempt; without an address it can't come to be connected. */
    void send(InFlightRequest request, String endpoint, InetSocketAddress address, long timeoutUs) {
        Attempt rev = new Attempt(request, endpoint);
        if (request.over() || turn.nowUs() >= request.endUs()) {
            rev.end(AttemptResult.NOT_SENT, null);
        } else if (address == null) {
            rev.end(AttemptResult.NOT_CONNECTED, null);
        } else {
            rev.begin(address, timeoutUs);
        }
    }

    /** One try. */
    private final class Attempt implements OutboundConnection.User {
        private final InFlightRequest request;
        private final String endpoint;
        private final int number;
        private final long sentUs = turn.nowUs();
        private OutboundConnection line;
        private boolean ended;
        private boolean stopped;

        Attempt(InFlightRequest request, String endpoint) {
            this.request = request;
            this.endpoint = endpoint;
            this.number = request.addAttempt(this::callOff);
        }

        private void begin(InetSocketAddress address, long timeoutUs) {
            long leftUs = request.endUs() - sentUs;
            long waitUs = timeoutUs > 0 ? Math.min(timeoutUs, leftUs) : leftUs;
            byte[] varying = ("X-Expires-In-Ms: " + Math.max(1, waitUs / 1000) + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
            // One buffer, so that an ordinary request leaves in one write.
            ByteBuffer call = ByteBuffer.allocate(request.head().length + varying.length + request.body().length);
            call.put(request.head()).put(varying).put(request.body()).flip();
            line = lines.call(address, call, waitUs, this);
        }

        /**
         * Closes the connection: that is how an endpoint learns that nobody waits any more. The ending is told an
         * instant later. Guards against a retry that is read at another endpoint before this end is: two were
         * seen out at once. Should hold for any two endpoints; costs a called off request that instant.
         */
        private void callOff() {
            if (!ended) {
                ended = true;
                line.drop();
                turn.in(SEEN_US, () -> end(AttemptResult.CANCELLED, null));
            }
        }

        @Override
        public boolean mayGo() {
            stopped = !request.handle().mayGo(turn.nowUs(), number);
            return !stopped;
        }

        @Override
        public void late() {
            end(AttemptResult.TIMED_OUT, null);
        }

        @Override
        public boolean answered(UpstreamResponse answer) {
            boolean never =
                    (answer.status() == 503 || answer.status() == 504) && "1".equals(answer.header("X-Never-Ran"));
            end(
                    answer.status() == 200
                            ? AttemptResult.COMPLETED
                            : never ? AttemptResult.TURNED_AWAY : AttemptResult.ERRORED,
                    answer);
            return true;
        }

        @Override
        public void broken(boolean written) {
            end(
                    written ? AttemptResult.BROKEN_OFF : stopped ? AttemptResult.NOT_SENT : AttemptResult.NOT_CONNECTED,
                    null);
        }

        private void end(AttemptResult ending, UpstreamResponse answer) {
            ended = true;
            hears.accept(endpoint, ending);
            book.ended(request, number, ending, turn.nowUs() - sentUs, answer);
        }
    }
}
