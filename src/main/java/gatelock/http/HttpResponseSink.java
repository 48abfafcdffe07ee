package gatelock.http;

import gatelock.pipeline.RequestAdmitter;
import gatelock.state.InFlightRequest;
import gatelock.state.ResponseSink;
import gatelock.state.UpstreamResponse;
import io.undertow.io.IoCallback;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.conduits.StreamSourceConduit;

/** Writes the response to one client, and detects when the client closes the connection before it has received one. */
final class HttpResponseSink implements ResponseSink {
    private static final byte[] NO_BODY = {};

    private final HttpServerExchange exchange;
    private final ClientExchanges exchanges;
    private final RequestAdmitter admitter;
    private final RequestMemory memory;
    private InFlightRequest request;
    private Consumer<HttpServerExchange> sessionHandover;

    HttpResponseSink(HttpServerExchange exchange, ClientExchanges exchanges, RequestAdmitter admitter) {
        this.exchange = exchange;
        this.exchanges = exchanges;
        this.admitter = admitter;
        this.memory = exchanges.memoryOf(exchange);
    }

    /** Sets the request to which this sink belongs, before it is admitted. */
    void bind(InFlightRequest request) {
        this.request = request;
    }

    /**
     * Makes a forwarded response open a session: {@code handover} takes over the client connection, and no response is
     * written here.
     */
    void setSessionHandover(Consumer<HttpServerExchange> handover) {
        sessionHandover = handover;
    }

    /**
     * Starts to watch for the end of the client connection. Undertow does not read while a request waits for its
     * response, and would not detect it.
     */
    void watchForClose() {
        if (request.isCompleted() || !(exchange.getConnection() instanceof HttpServerConnection connection)) {
            return;
        }
        StreamSourceConduit source = connection.getOriginalSourceConduit();
        connection.getChannel().getSourceChannel().setReadListener(channel -> {
            ClientPresence presence = exchanges.presenceOf(exchange);
            if (request.isCompleted() || presence != ClientPresence.CONNECTED) {
                source.suspendReads();
            }
            if (presence == ClientPresence.LEFT) {
                endIfClientLeft();
            }
        });
        source.resumeReads();
    }

    @Override
    public boolean isClientConnected() {
        return exchanges.presenceOf(exchange) == ClientPresence.CONNECTED;
    }

    @Override
    public boolean endIfClientLeft() {
        if (isClientConnected()) {
            return false;
        }
        try {
            admitter.clientDisconnected(request);
        } finally {
            exchanges.disconnect(exchange);
        }
        return true;
    }

    @Override
    public boolean holdResponse(long bytes) {
        return memory.holdResponse(bytes);
    }

    @Override
    public void forward(UpstreamResponse response) {
        respond(() -> writeResponse(response));
    }

    private void writeResponse(UpstreamResponse response) {
        if (sessionHandover != null) {
            exchanges.connectionUpgraded(exchange);
            sessionHandover.accept(exchange);
            return;
        }
        exchange.setStatusCode(StatusCodes.OK);
        for (int i = 0; i < response.headers().size(); i += 2) {
            HttpString name = new HttpString(response.headers().get(i));
            if (!RequestHeaders.NOT_FORWARDED.contains(name) && !name.equals(Headers.DATE)) {
                exchange.getResponseHeaders().add(name, response.headers().get(i + 1));
            }
        }
        send(response.body());
    }

    @Override
    public void reject(long retryAfterUs) {
        respond(() -> writeRejection(retryAfterUs));
    }

    private void writeRejection(long retryAfterUs) {
        exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
        if (retryAfterUs > 0) {
            // The value is in seconds, with milliseconds as the decimal fraction.
            long retryAfterMs = retryAfterUs / 1000;
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Double.toString(retryAfterMs / 1e3));
        }
        send(NO_BODY);
    }

    @Override
    public void fail(boolean timedOut) {
        respond(() -> {
            exchange.setStatusCode(timedOut ? StatusCodes.GATEWAY_TIME_OUT : StatusCodes.BAD_GATEWAY);
            send(NO_BODY);
        });
    }

    private void respond(Runnable response) {
        try {
            response.run();
        } catch (RuntimeException | Error e) {
            exchanges.endAfterFailure(exchange, e);
        }
    }

    private void send(byte[] body) {
        memory.holdOnlyResponse(body.length);
        exchanges.responseStarted(exchange);
        if (body.length == 0) {
            exchange.endExchange();
        } else {
            exchange.getResponseSender().send(ByteBuffer.wrap(body), IoCallback.END_EXCHANGE);
        }
    }
}
