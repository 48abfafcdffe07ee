package gatelock.websocket;

import gatelock.api.DecisionEngine;
import gatelock.config.SessionPolicy;
import gatelock.http.RequestReader;
import gatelock.net.EventLoop;
import gatelock.pipeline.AttemptSender;
import gatelock.session.SessionRegistry;
import gatelock.state.Counters;
import gatelock.state.InFlightRequest;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/**
 * Opens sessions for requests that ask for an upgrade. The decision engine chooses an endpoint as for any request, and
 * each attempt is an opening handshake with the chosen endpoint. The client's handshake is answered only after the
 * handshake with an endpoint has succeeded. Until then the client's request is an ordinary one, which may be rejected
 * with a Retry-After time.
 */
public final class WebSocketUpgrader implements RequestReader.SessionUpgrade {
    private static final int BUFFER_BYTES = 4096;
    private static final int MAX_POOLED_BUFFERS = 200;
    private static final HttpString SEC_WEBSOCKET_KEY = new HttpString("Sec-WebSocket-Key");
    private static final HttpString SEC_WEBSOCKET_VERSION = new HttpString("Sec-WebSocket-Version");
    /** The protocol version defined by RFC 6455. */
    private static final String SUPPORTED_VERSION = "13";
    /** A key is 16 bytes in base64 (RFC 6455, 4.1). */
    private static final Pattern KEY_FORMAT = Pattern.compile("[A-Za-z0-9+/]{22}==");

    private final SessionContext context;

    /**
     * Creates an upgrader.
     *
     * @param loop the event loop of the only I/O thread
     * @param counters the relay's counters
     * @param attempts sends opening handshakes to endpoints
     * @param engine decides whether a message may be forwarded to its endpoint
     * @param sessions all sessions of the relay
     */
    public WebSocketUpgrader(
            EventLoop loop,
            Counters counters,
            AttemptSender attempts,
            DecisionEngine engine,
            SessionRegistry sessions) {
        this.context = new SessionContext(
                loop,
                counters,
                attempts,
                engine,
                sessions,
                new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0, 0));
    }

    @Override
    public boolean isRequested(HttpServerExchange exchange) {
        return "websocket".equalsIgnoreCase(exchange.getRequestHeaders().getFirst(Headers.UPGRADE));
    }

    @Override
    public int rejectionStatus(HttpServerExchange exchange) {
        if (!isWellFormed(exchange.getRequestHeaders())) {
            return StatusCodes.BAD_REQUEST;
        }
        if (!SUPPORTED_VERSION.equals(exchange.getRequestHeaders().getFirst(SEC_WEBSOCKET_VERSION))) {
            exchange.getResponseHeaders().put(SEC_WEBSOCKET_VERSION, SUPPORTED_VERSION);
            return StatusCodes.UPGRADE_REQUIRED;
        }
        if (!context.sessions().hasCapacity()) {
            context.counters().increment("sessions turned away, no room");
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, "1");
            return StatusCodes.SERVICE_UNAVAILABLE;
        }
        return 0;
    }

    private static boolean isWellFormed(HeaderMap headers) {
        String connection = headers.getFirst(Headers.CONNECTION);
        String key = headers.getFirst(SEC_WEBSOCKET_KEY);
        return connection != null
                && connection.toLowerCase(Locale.ROOT).contains("upgrade")
                && key != null
                && KEY_FORMAT.matcher(key).matches()
                && headers.count(SEC_WEBSOCKET_KEY) == 1;
    }

    @Override
    public Consumer<HttpServerExchange> prepare(
            HttpServerExchange exchange, InFlightRequest request, SessionPolicy policy, int route) {
        List<String> subprotocols = offeredSubprotocols(exchange, policy.subprotocols());
        SessionOpening opening = new SessionOpening(context, request, policy, route, subprotocols);
        request.setAttemptLauncher(opening);
        context.sessions().takePlace();
        request.onCompleted(context.sessions()::releasePlace);
        return opening::answerClient;
    }

    /** Returns the subprotocols that the client offers and the route permits, in the client's order. */
    private static List<String> offeredSubprotocols(HttpServerExchange exchange, Set<String> permitted) {
        HeaderValues values = exchange.getRequestHeaders().get(Headers.SEC_WEB_SOCKET_PROTOCOL);
        if (values == null) {
            return List.of();
        }
        return values.stream()
                .flatMap(value -> Arrays.stream(value.split(",", -1)))
                .map(String::trim)
                .filter(permitted::contains)
                .toList();
    }
}
