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
 * The operator's HTTP listener, on loopback: status, history, the text of a version, rolling back to one and
 * letting the control service lead again. It takes few connections at a time, and is not on the path of requests.
 */
public final class AdminServer {
    private static final int MAX_CONNECTIONS = 8;
    private static final int IDLE_TIMEOUT_MS = 10_000;
    private static final int MAX_HEADER_BYTES = 8 * 1024;
    private static final long MAX_BODY_BYTES = 1024;
    private static final int BUFFER_BYTES = 4096;
    private static final int MAX_POOLED_BUFFERS = 16;
    /** Stands for a version's number that is missing or no number: no version has it. */
    private static final long NO_NUMBER = -1;

    private final EventLoop eventLoop;
    private final ConfigUpdater updater;
    private final RelayStatus status;
    private AcceptingChannel<StreamConnection> listener;

    /**
     * Creates a server that does not listen yet.
     *
     * @param subscription gives the subscription to the control service, or null where there is none
     */
    public AdminServer(
            EventLoop eventLoop, Counters counters, ConfigUpdater updater, Supplier<ConfigSubscription> subscription) {
        this.eventLoop = eventLoop;
        this.updater = updater;
        this.status = new RelayStatus(counters, updater, subscription);
    }

    /** Has the status show the state of the endpoint list too. */
    public void showEndpointList(Supplier<DiscoveryClient.ListStatus> endpointList) {
        status.showEndpointList(endpointList);
    }

    /** Begins to listen; returns the address that it listens on. */
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
        boolean get = exchange.getRequestMethod().equalToString(Methods.GET_STRING);
        switch (exchange.getRequestPath()) {
            case "/status" -> respond(exchange, okIf(get), status());
            case "/history" -> respond(exchange, okIf(get), status.history());
            case "/version" -> sendVersionText(exchange);
            case "/back" -> {
                if (get) {
                    respondError(exchange, StatusCodes.METHOD_NOT_ALLOWED, "POST /back?number=N&why=TEXT");
                } else {
                    rollBack(exchange);
                }
            }
            case "/release" -> {
                if (!get) {
                    updater.releasePin();
                }
                respond(exchange, okIf(!get), status());
            }
            default ->
                respondError(
                        exchange, StatusCodes.NOT_FOUND, "there is /status, /history, /version, /back and /release");
        }
    }

    private static int okIf(boolean rightMethod) {
        return rightMethod ? StatusCodes.OK : StatusCodes.METHOD_NOT_ALLOWED;
    }

    private Map<String, Object> status() {
        return status.status(eventLoop.nowUs());
    }

    private void sendVersionText(HttpServerExchange exchange) throws IOException {
        VersionTracker.HistoryEntry past = updater.versions().findInHistory(versionNumber(exchange));
        if (past == null) {
            respondError(exchange, StatusCodes.NOT_FOUND, "no such version is remembered; see /history");
        } else {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
            exchange.getResponseSender().send(ByteBuffer.wrap(past.text()));
        }
    }

    private void rollBack(HttpServerExchange exchange) {
        String why = queryParameter(exchange, "why");
        String reason = why == null ? "" : why;
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
            return NO_NUMBER;
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
