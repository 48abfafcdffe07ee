package gatelock.control;

import com.fasterxml.jackson.jr.ob.JSON;
import gatelock.config.VersionTracker;
import gatelock.discovery.DiscoveryClient;
import gatelock.net.EventLoop;
import gatelock.state.Counters;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/**
 * The operator's HTTP listener on the loopback interface. It serves the status, the history and the text of a version,
 * rolls back to an earlier version, and ends a rollback so that versions of the control service are applied again. It
 * accepts few connections at a time and is not involved in serving client requests.
 */
public final class AdminServer {
    private static final int MAX_CONNECTIONS = 8;
    private static final int IDLE_TIMEOUT_MS = 10_000;
    private static final int MAX_HEADER_BYTES = 8 * 1024;
    private static final long MAX_BODY_BYTES = 1024;
    private static final int BUFFER_BYTES = 4096;
    private static final int MAX_POOLED_BUFFERS = 16;
    /** Replaces a version number that is missing or malformed; no version has this number. */
    private static final long UNKNOWN_VERSION = -1;

    private final EventLoop eventLoop;
    private final ConfigUpdater updater;
    private final RelayStatus status;
    private AcceptingChannel<StreamConnection> listener;

    /**
     * Creates a server that does not listen yet.
     *
     * @param eventLoop runs the listener
     * @param counters counters to show in the status
     * @param updater provides the versions and performs rollbacks
     * @param subscription supplies the subscription to the control service, or null if there is none
     */
    public AdminServer(
            EventLoop eventLoop, Counters counters, ConfigUpdater updater, Supplier<ConfigSubscription> subscription) {
        this.eventLoop = eventLoop;
        this.updater = updater;
        this.status = new RelayStatus(counters, updater, subscription);
    }

    /** Sets the source of the endpoint list status that the status document includes. */
    public void setEndpointListStatus(Supplier<DiscoveryClient.ListStatus> endpointList) {
        status.setEndpointListStatus(endpointList);
    }

    /** Starts listening and returns the local address, whose port is assigned if {@code address} has port 0. */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        OptionMap httpOptions = OptionMap.builder()
                .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .set(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
                .set(UndertowOptions.IDLE_TIMEOUT, IDLE_TIMEOUT_MS)
                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, IDLE_TIMEOUT_MS)
                .getMap();
        OptionMap socketOptions = OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.CONNECTION_HIGH_WATER, MAX_CONNECTIONS)
                .set(Options.CONNECTION_LOW_WATER, MAX_CONNECTIONS - 1)
                .getMap();
        DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0, 0);
        HttpOpenListener http = new HttpOpenListener(buffers, httpOptions);
        http.setRootHandler(this::handle);
        listener = eventLoop
                .ioThread()
                .getWorker()
                .createStreamConnectionServer(address, ChannelListeners.openListenerAdapter(http), socketOptions);
        listener.resumeAccepts();
        return listener.getLocalAddress(InetSocketAddress.class);
    }

    /** Stops listening. */
    public void close() {
        IoUtils.safeClose(listener);
    }

    private void handle(HttpServerExchange exchange) throws IOException {
        boolean isGet = exchange.getRequestMethod().equalToString(Methods.GET_STRING);
        switch (exchange.getRequestPath()) {
            case "/status" -> respond(exchange, okIf(isGet), status());
            case "/history" -> respond(exchange, okIf(isGet), status.history());
            case "/version" -> sendVersionText(exchange);
            case "/back" -> {
                if (isGet) {
                    respondError(exchange, StatusCodes.METHOD_NOT_ALLOWED, "POST /back?number=N&why=TEXT");
                } else {
                    rollBack(exchange);
                }
            }
            case "/release" -> {
                if (!isGet) {
                    updater.unpin();
                }
                respond(exchange, okIf(!isGet), status());
            }
            default ->
                respondError(
                        exchange, StatusCodes.NOT_FOUND, "there is /status, /history, /version, /back and /release");
        }
    }

    private static int okIf(boolean methodAllowed) {
        return methodAllowed ? StatusCodes.OK : StatusCodes.METHOD_NOT_ALLOWED;
    }

    private Map<String, Object> status() {
        return status.status(eventLoop.nowUs());
    }

    private void sendVersionText(HttpServerExchange exchange) throws IOException {
        VersionTracker.HistoryEntry entry = updater.versions().findInHistory(versionNumber(exchange));
        if (entry == null) {
            respondError(exchange, StatusCodes.NOT_FOUND, "no such version is remembered; see /history");
        } else {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
            exchange.getResponseSender().send(ByteBuffer.wrap(entry.text()));
        }
    }

    private void rollBack(HttpServerExchange exchange) {
        String reasonParameter = queryParameter(exchange, "why");
        String reason = reasonParameter == null ? "" : reasonParameter;
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> updater.rollBack(
                        versionNumber(exchange), reason, failure -> respondToRollback(exchange, failure)));
    }

    private void respondToRollback(HttpServerExchange exchange, Optional<String> failure) {
        try {
            if (failure.isPresent()) {
                respondError(exchange, StatusCodes.CONFLICT, failure.get());
            } else {
                respond(exchange, StatusCodes.OK, status());
            }
        } catch (IOException e) {
            eventLoop.execute(exchange::endExchange);
        }
    }

    private static String queryParameter(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? null : values.peekFirst();
    }

    private static long versionNumber(HttpServerExchange exchange) {
        try {
            return Long.parseLong(String.valueOf(queryParameter(exchange, "number")));
        } catch (NumberFormatException e) {
            return UNKNOWN_VERSION;
        }
    }

    private static void respondError(HttpServerExchange exchange, int httpStatus, String error) throws IOException {
        respond(exchange, httpStatus, Map.of("error", error));
    }

    private static void respond(HttpServerExchange exchange, int httpStatus, Map<String, Object> body)
            throws IOException {
        exchange.setStatusCode(httpStatus);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender()
                .send(ByteBuffer.wrap((JSON.std.asString(body) + "\n").getBytes(StandardCharsets.UTF_8)));
    }
}
