package gatelock.http;

import gatelock.api.DecisionEngine;
import gatelock.api.RoutePolicy;
import gatelock.config.Admission;
import gatelock.config.RequestAttributes;
import gatelock.config.SessionPolicy;
import gatelock.net.EventLoop;
import gatelock.net.ResponseReader;
import gatelock.pipeline.RequestAdmitter;
import gatelock.state.Counters;
import gatelock.state.InFlightRequest;
import gatelock.state.ResponseSink;
import gatelock.state.UpstreamResponse;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.IoCallback;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.Cookie;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * First stage: a client's request is read whole and checked for its form; the fields that matter are taken out.
 */
public final class RequestReader implements HttpHandler {
    private static final int FIRST_CHUNKS = 1024;
    private static final int MOST_DIGITS = 9;
    private static final int MOST_ID = 256;
    private static final long MOST_HINT_US = 3_600_000_000L;
    private static final HttpString TRACE = new HttpString("X-Trace-Id");
    private static final HttpString CUSTOMER = new HttpString("X-Customer");
    private static final HttpString EXPIRES = new HttpString("X-Expires-In-Ms");
    private static final HttpString HINT = new HttpString("X-Size-Hint");
    private static final HttpString ONCE = new HttpString("Idempotency-Key");
    /** Said of one connection only, or said anew to the endpoint. */
    private static final Set<HttpString> NOT_PASSED_ON = Set.of(
            Headers.CONNECTION,
            Headers.KEEP_ALIVE,
            Headers.TRANSFER_ENCODING,
            Headers.CONTENT_LENGTH,
            Headers.TE,
            Headers.TRAILER,
            Headers.UPGRADE,
            Headers.EXPECT,
            EXPIRES);

    /** The names that a request may bear, as the deployment numbers them. */
    public record Names(
            Map<String, Integer> routes,
            Map<String, Integer> tenants,
            List<RoutePolicy> terms,
            List<Long> deadlinesUs) {}

    private final EventLoop turn;
    private final Counters counters;
    private final Names names;
    private final RequestAdmitter admit;
    private final Admission admission;
    private Upgrade upgrade;
    private final ClientListener front;

    /** @param admission what the plan in force means; null: there never is one */
    public RequestReader(
            Counters counters,
            Names names,
            EventLoop turn,
            RequestAdmitter admit,
            ClientListener front,
            Admission admission) {
        this.admission = admission;
        this.turn = turn;
        this.counters = counters;
        this.names = names;
        this.admit = admit;
        this.front = front;
    }

    /** Who opens sessions, where they are on. */
    public interface Upgrade {
        /** Whether a request asks for a session; the form of the rest is checked already. */
        boolean asked(HttpServerExchange exchange);

        /** 0, or the status with which it is turned away. */
        int refusal(HttpServerExchange exchange);

        /**
         * Makes a request one that opens a session; what is given takes the client's side over once an endpoint has
         * opened.
         */
        Consumer<HttpServerExchange> opens(
                HttpServerExchange exchange, InFlightRequest request, SessionPolicy terms, int route);
    }

    /** From now on sessions are opened by this. */
    public void opensBy(Upgrade upgrade) {
        this.upgrade = upgrade;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        // Read from the path as it came, which goes on as it came.
        String path = exchange.getRequestURI();
        long length = exchange.getRequestContentLength();
        int wrong = 0;
        Admission.Way way = null;
        if (admission != null && admission.plan() != null) {
            RequestAttributes asked = new RequestAttributes(
                    exchange.getRequestMethod().toString(),
                    host(exchange),
                    path,
                    exchange.getRequestHeaders()::getFirst);
            way = admission.way(asked);
            wrong = admission.refusal(asked, way);
        }
        int slash = path.indexOf('/', 1);
        Integer route = way != null
                ? (Integer) way.classNo()
                : path.startsWith("/") ? names.routes.get(path.substring(1, slash < 0 ? path.length() : slash)) : null;
        wrong = wrong != 0 ? wrong : formOf(exchange, route, length);
        wrong = wrong == 0 && opensSession(exchange, way) ? upgrade.refusal(exchange) : wrong;
        if (wrong != 0) {
            refuse(exchange, wrong);
        } else if (length == 0 || exchange.isRequestComplete()) {
            take(exchange, way, route, new byte[0]);
        } else {
            new Body(exchange, way, route, (int) length).handleEvent(exchange.getRequestChannel());
        }
    }

    /**
     * A body on its way in. Undertow's own receiver takes it byte by byte, which cost a third of the time.
     */
    private final class Body implements ChannelListener<StreamSourceChannel> {
        private final HttpServerExchange exchange;
        private final Admission.Way way;
        private final int route;
        private ByteBuffer bytes;

        /** @param length as stated, or -1: then the body comes in chunks */
        Body(HttpServerExchange exchange, Admission.Way way, int route, int length) {
            this.exchange = exchange;
            this.way = way;
            this.route = route;
            bytes = ByteBuffer.allocate(length < 0 ? FIRST_CHUNKS : length + 1);
        }

        @Override
        public void handleEvent(StreamSourceChannel channel) {
            try {
                int n = channel.read(bytes);
                for (; n > 0; n = channel.read(bytes)) {
                    if (bytes.position() > ResponseReader.MOST_BODY) {
                        channel.suspendReads();
                        refuse(exchange, 413);
                        return;
                    }
                    if (!bytes.hasRemaining()) {
                        bytes = ByteBuffer.allocate(bytes.capacity() * 2).put(bytes.flip());
                    }
                }
                if (n == 0) {
                    channel.getReadSetter().set(this);
                    channel.resumeReads();
                    return;
                }
                channel.suspendReads();
                take(exchange, way, route, Arrays.copyOf(bytes.array(), bytes.position()));
            } catch (IOException e) {
                // The client left or broke its own framing before the request was whole: it was never taken.
                counters.add("not taken, broken off");
                front.left(exchange);
            }
        }
    }

    /**
     * 0, or the status for a request that can't be taken. Two lengths, or one that is negative or no number,
     * Undertow
     * itself turns away; one beyond what fits a long it would read as another.
     */
    private int formOf(HttpServerExchange exchange, Integer route, long length) {
        HeaderMap headers = exchange.getRequestHeaders();
        if (route == null) {
            return 404;
        }
        boolean get = exchange.getRequestMethod().equalToString("GET");
        RoutePolicy.Repeat repeat = names.terms.get(route).repeat();
        if (get != (repeat == RoutePolicy.Repeat.RETRIABLE)
                || !get && !exchange.getRequestMethod().equalToString("POST")) {
            return 405;
        }
        String coding = headers.getFirst(Headers.TRANSFER_ENCODING);
        if (coding != null && !coding.trim().equalsIgnoreCase("chunked") || get && (coding != null || length > 0)) {
            return 400;
        }
        if (!get && length < 0 && coding == null) {
            return 411;
        }
        String said = headers.getFirst(Headers.CONTENT_LENGTH);
        if (length > ResponseReader.MOST_BODY || said != null && said.length() > MOST_DIGITS) {
            return 413;
        }
        if (headers.contains(Headers.EXPECT)) {
            return 417;
        }
        String expires = headers.getFirst(EXPIRES);
        boolean timed = expires == null || expiresMs(expires, names.deadlinesUs.get(route)) > 0;
        boolean keyed = repeat != RoutePolicy.Repeat.DEDUPED || once(headers, ONCE) != null;
        return once(headers, TRACE) != null && keyed && timed && headers.count(EXPIRES) <= 1 ? 0 : 400;
    }

    /** The value of a field that must stand exactly once and not be empty; else null. */
    private static String once(HeaderMap headers, HttpString name) {
        String value = headers.count(name) == 1 ? headers.getFirst(name) : null;
        return value == null || value.isEmpty() || value.length() > MOST_ID ? null : value;
    }

    /**
     * How long a client waits, in ms; 0 if that is no whole number from 1 up to ten times its route's time.
     */
    private static long expiresMs(String text, long routeUs) {
        boolean digits = text.length() <= MOST_DIGITS && text.chars().allMatch(c -> c >= '0' && c <= '9');
        long ms = digits && !text.isEmpty() ? Long.parseLong(text) : 0;
        return routeUs > 0 && ms > routeUs / 100 ? 0 : ms;
    }

    /** Answers what was never taken. */
    private void refuse(HttpServerExchange exchange, int status) {
        counters.add("not taken " + status);
        exchange.setStatusCode(status);
        if (!exchange.isRequestComplete()) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> front.refuseUnread(exchange));
        } else {
            front.last(exchange);
            exchange.endExchange();
        }
    }

    private boolean opensSession(HttpServerExchange exchange, Admission.Way way) {
        return upgrade != null && way != null && way.sessions() != null && upgrade.asked(exchange);
    }

    /** The host that a request names, without a port, or null. */
    private static String host(HttpServerExchange exchange) {
        String host = exchange.getRequestHeaders().getFirst(Headers.HOST);
        int colon = host == null || host.endsWith("]") ? -1 : host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    private void take(HttpServerExchange exchange, Admission.Way way, int route, byte[] body) {
        HeaderMap headers = exchange.getRequestHeaders();
        String id = headers.getFirst(TRACE);
        if (admit.isOpen(id)) {
            refuse(exchange, 400);
            return;
        }
        front.whole(exchange);
        String expires = headers.getFirst(EXPIRES);
        long routeUs = names.deadlinesUs.get(route);
        long waitsUs = expires == null ? routeUs : expiresMs(expires, routeUs) * 1000;
        long endUs = Math.min(turn.nowUs() + waitsUs, front.answeredByUs());
        Integer tenant = names.tenants.get(headers.getFirst(CUSTOMER));
        HttpCaller caller = new HttpCaller(exchange);
        InFlightRequest request = new InFlightRequest(id, head(exchange, body.length), body, endUs, caller);
        caller.request = request;
        if (opensSession(exchange, way)) {
            caller.takesOver = upgrade.opens(exchange, request, way.sessions(), route);
        }
        int org = tenant == null ? names.tenants.size() : tenant;
        Cookie cookie = exchange.getRequestCookie("k");
        long key = key(cookie == null ? null : cookie.getValue());
        long costUs = hint(headers.getFirst(HINT));
        // Undertow ends an exchange whose handler returns without having dispatched it.
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            admit.admit(request, way, route, org, key, costUs);
            caller.watch();
        });
    }

    /** First line and headers for an endpoint, as they came but for those of this connection alone. */
    private static byte[] head(HttpServerExchange exchange, int length) {
        StringBuilder head = new StringBuilder(256);
        head.append(exchange.getRequestMethod()).append(' ').append(exchange.getRequestURI());
        if (!exchange.getQueryString().isEmpty()) {
            head.append('?').append(exchange.getQueryString());
        }
        head.append(" HTTP/1.1\r\n");
        for (HeaderValues values : exchange.getRequestHeaders()) {
            if (!NOT_PASSED_ON.contains(values.getHeaderName())) {
                for (String value : values) {
                    head.append(values.getHeaderName())
                            .append(": ")
                            .append(value)
                            .append("\r\n");
                }
            }
        }
        if (length > 0 || !exchange.getRequestMethod().equalToString("GET")) {
            head.append("Content-Length: ").append(length).append("\r\n");
        }
        return head.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A key of any form as a number: hex digits as they read, anything else by its bytes. */
    private static long key(String text) {
        if (text == null || text.isEmpty()) {
            return DecisionEngine.NO_KEY;
        }
        try {
            return Long.parseUnsignedLong(text, 16) & Long.MAX_VALUE;
        } catch (NumberFormatException e) {
            long sum = 0xcbf29ce484222325L;
            for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
                sum = (sum ^ b) * 0x100000001b3L;
            }
            return sum & Long.MAX_VALUE;
        }
    }

    /** A guess that a request may do without; an odd one counts as absent. */
    private static long hint(String text) {
        try {
            long us = text == null ? 0 : Long.parseLong(text.trim());
            return us > MOST_HINT_US ? 0 : Math.max(0, us);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** A client on an HTTP connection, waiting for its answer. */
    private final class HttpCaller implements ResponseSink {
        private final HttpServerExchange exchange;
        private InFlightRequest request;
        private Consumer<HttpServerExchange> takesOver;

        HttpCaller(HttpServerExchange exchange) {
            this.exchange = exchange;
        }

        /** Undertow does not read while a request is being answered, so it would not see a client leave. */
        void watch() {
            if (!(exchange.getConnection() instanceof HttpServerConnection connection)
                    || request.over()
                    || connection.getExtraBytes() != null) {
                return;
            }
            StreamSourceConduit source = connection.getOriginalSourceConduit();
            connection.getChannel().getSourceChannel().setReadListener(channel -> look(connection, source));
            source.resumeReads();
        }

        private void look(HttpServerConnection connection, StreamSourceConduit source) {
            source.suspendReads();
            if (request.over()) {
                return;
            }
            PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
            try {
                int n = source.read(pooled.getBuffer());
                if (n > 0) {
                    // The next request, early: Undertow finds it when this one is answered.
                    pooled.getBuffer().flip();
                    connection.setExtraBytes(pooled);
                    return;
                }
                pooled.close();
                if (n == 0) {
                    source.resumeReads();
                    return;
                }
            } catch (IOException e) {
                pooled.close();
            }
            admit.left(request);
            front.left(exchange);
        }

        @Override
        public void completed(UpstreamResponse answer) {
            if (takesOver != null) {
                front.upgraded(exchange);
                takesOver.accept(exchange);
                return;
            }
            exchange.setStatusCode(200);
            for (int i = 0; i < answer.headers().size(); i += 2) {
                HttpString name = new HttpString(answer.headers().get(i));
                if (!NOT_PASSED_ON.contains(name) && !name.equals(Headers.DATE)) {
                    exchange.getResponseHeaders().add(name, answer.headers().get(i + 1));
                }
            }
            answer(answer.body());
        }

        @Override
        public void shed(long pauseUs) {
            exchange.setStatusCode(503);
            if (pauseUs > 0) {
                exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Double.toString(pauseUs / 1000 / 1e3));
            }
            answer(new byte[0]);
        }

        @Override
        public void errored(boolean late) {
            exchange.setStatusCode(late ? 504 : 502);
            answer(new byte[0]);
        }

        private void answer(byte[] body) {
            front.last(exchange);
            if (body.length == 0) {
                exchange.endExchange();
            } else {
                exchange.getResponseSender().send(ByteBuffer.wrap(body), IoCallback.END_EXCHANGE);
            }
        }
    }
}
