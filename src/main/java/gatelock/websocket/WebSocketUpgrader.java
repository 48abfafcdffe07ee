package gatelock.websocket;

import gatelock.api.AttemptResult;
import gatelock.api.DecisionEngine;
import gatelock.config.SessionPolicy;
import gatelock.http.RequestReader;
import gatelock.net.EventLoop;
import gatelock.pipeline.OutcomeRecorder;
import gatelock.session.Sessions;
import gatelock.state.Counters;
import gatelock.state.InFlightRequest;
import gatelock.state.UpstreamResponse;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.websockets.WebSocketConnectionCallback;
import io.undertow.websockets.WebSocketProtocolHandshakeHandler;
import io.undertow.websockets.client.WebSocketClient;
import io.undertow.websockets.client.WebSocketClientNegotiation;
import io.undertow.websockets.core.WebSocketChannel;
import io.undertow.websockets.core.protocol.Handshake;
import io.undertow.websockets.core.protocol.version13.Hybi13Handshake;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioExecutor;

/**
 * Opens sessions: a request asks for one, the decisions choose an endpoint as for any request, an attempt is an opening
 * handshake with that
 * endpoint, and only once an endpoint has opened is the client's own handshake answered. Until then the client has an
 * ordinary
 * request, which may be shed with a time to come back.
 */
public final class WebSocketUpgrader implements RequestReader.Upgrade {
    private static final System.Logger LOG = System.getLogger("gatelock.websocket");
    private static final int BUFFER_BYTES = 4096;
    private static final HttpString PROTOCOL = new HttpString("Sec-WebSocket-Protocol");
    private static final HttpString KEY = new HttpString("Sec-WebSocket-Key");
    private static final HttpString VERSION = new HttpString("Sec-WebSocket-Version");
    /** Passed on to an endpoint with its own opening handshake. */
    private static final List<String> PASSED = List.of("X-Trace-Id", "X-Customer", "Cookie", "X-Size-Hint", "Origin");

    private final EventLoop turn;
    private final Counters counters;
    private final OutcomeRecorder book;
    private final DecisionEngine gate;
    private final Sessions sessions;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, 200, 0, 0);

    public WebSocketUpgrader(
            EventLoop turn, Counters counters, OutcomeRecorder book, DecisionEngine gate, Sessions sessions) {
        this.turn = turn;
        this.counters = counters;
        this.book = book;
        this.gate = gate;
        this.sessions = sessions;
    }

    @Override
    public boolean asked(HttpServerExchange exchange) {
        return "websocket".equalsIgnoreCase(exchange.getRequestHeaders().getFirst(Headers.UPGRADE));
    }

    @Override
    public int refusal(HttpServerExchange exchange) {
        String connection = exchange.getRequestHeaders().getFirst(Headers.CONNECTION);
        String key = exchange.getRequestHeaders().getFirst(KEY);
        boolean form = connection != null
                && connection.toLowerCase(java.util.Locale.ROOT).contains("upgrade")
                && key != null
                && key.matches("[A-Za-z0-9+/]{22}==")
                && exchange.getRequestHeaders().count(KEY) == 1;
        if (!form) {
            return 400;
        }
        if (!"13".equals(exchange.getRequestHeaders().getFirst(VERSION))) {
            exchange.getResponseHeaders().put(VERSION, "13");
            return 426;
        }
        if (!sessions.room()) {
            counters.add("sessions turned away, no room");
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, "1");
            return 503;
        }
        return 0;
    }

    @Override
    public Consumer<HttpServerExchange> opens(
            HttpServerExchange exchange, InFlightRequest request, SessionPolicy terms, int route) {
        Opening opening = new Opening(exchange, request, terms, route);
        request.opensBy(opening);
        return opening::takeOver;
    }

    private static List<String> subprotocols(HttpServerExchange exchange, Set<String> allowed) {
        List<String> asked = new ArrayList<>();
        HeaderValues values = exchange.getRequestHeaders().get(PROTOCOL);
        if (values != null) {
            for (String value : values) {
                for (String one : value.split(",")) {
                    if (allowed.contains(one.trim())) {
                        asked.add(one.trim());
                    }
                }
            }
        }
        return asked;
    }

    /** One request that opens a session, through all of its attempts. */
    private final class Opening implements InFlightRequest.Opening {
        private final InFlightRequest request;
        private final SessionPolicy terms;
        private final int route;
        private final String path;
        private final List<String> subprotocols;
        private final Map<String, List<String>> headers = new java.util.LinkedHashMap<>();
        private WebSocketChannel endpoint;
        private String endpointName;
        private String subprotocol;
        private Runnable whenOver;

        Opening(HttpServerExchange exchange, InFlightRequest request, SessionPolicy terms, int route) {
            this.request = request;
            this.terms = terms;
            this.route = route;
            this.path = exchange.getRequestURI()
                    + (exchange.getQueryString().isEmpty() ? "" : "?" + exchange.getQueryString());
            this.subprotocols = subprotocols(exchange, terms.subprotocols());
            for (String name : PASSED) {
                String value = exchange.getRequestHeaders().getFirst(name);
                if (value != null) {
                    headers.put(name, List.of(value));
                }
            }
        }

        @Override
        public void send(InetSocketAddress address, String endpointName, long timeoutUs) {
            new Attempt(endpointName).begin(address, timeoutUs);
        }

        /** The client's side: its handshake is answered, and the two sides are one session from then on. */
        private void takeOver(HttpServerExchange exchange) {
            Handshake handshake = new Hybi13Handshake(subprotocol == null ? Set.of() : Set.of(subprotocol), false);
            try {
                WebSocketConnectionCallback coupled = (facade, client) -> new WebSocketProxySession(
                                turn, counters, gate, sessions, terms, endpointName, route, client, endpoint, whenOver)
                        .begin();
                new WebSocketProtocolHandshakeHandler(List.of(handshake), coupled).handleRequest(exchange);
            } catch (Exception e) {
                LOG.log(Level.DEBUG, () -> "a client's upgrade failed: " + e);
                IoUtils.safeClose(endpoint, exchange.getConnection());
                over();
            }
        }

        private void over() {
            if (whenOver != null) {
                whenOver.run();
                whenOver = null;
            }
        }

        /** One opening handshake with an endpoint. */
        private final class Attempt {
            private final String name;
            private final int number;
            private final long sentUs = turn.nowUs();
            private IoFuture<WebSocketChannel> opening;
            private XnioExecutor.Key limit;
            private boolean ended;

            Attempt(String name) {
                this.name = name;
                this.number = request.addAttempt(() -> end(AttemptResult.CANCELLED));
            }

            private void begin(InetSocketAddress address, long timeoutUs) {
                long leftUs = request.endUs() - sentUs;
                if (request.over() || leftUs <= 0) {
                    end(AttemptResult.NOT_SENT);
                    return;
                }
                if (address == null) {
                    end(AttemptResult.NOT_CONNECTED);
                    return;
                }
                URI uri;
                try {
                    uri = new URI("ws://" + address.getAddress().getHostAddress() + ":" + address.getPort() + path);
                } catch (URISyntaxException e) {
                    end(AttemptResult.NOT_SENT);
                    return;
                }
                limit = turn.in(
                        timeoutUs > 0 ? Math.min(timeoutUs, leftUs) : leftUs, () -> end(AttemptResult.TIMED_OUT));
                WebSocketClientNegotiation negotiation = new WebSocketClientNegotiation(subprotocols, List.of()) {
                    @Override
                    public void beforeRequest(Map<String, List<String>> out) {
                        out.putAll(headers);
                    }
                };
                opening = WebSocketClient.connectionBuilder(turn.thread().getWorker(), buffers, uri)
                        .setOptionMap(OptionMap.create(Options.TCP_NODELAY, true))
                        .setClientNegotiation(negotiation)
                        .connect();
                opening.addNotifier(
                        new IoFuture.HandlingNotifier<WebSocketChannel, Void>() {
                            @Override
                            public void handleDone(WebSocketChannel channel, Void nothing) {
                                turn.soon(() -> opened(channel, negotiation.getSelectedSubProtocol()));
                            }

                            @Override
                            public void handleFailed(java.io.IOException e, Void nothing) {
                                turn.soon(() -> end(
                                        e instanceof java.net.ConnectException
                                                ? AttemptResult.NOT_CONNECTED
                                                : AttemptResult.ERRORED));
                            }
                        },
                        null);
            }

            private void opened(WebSocketChannel channel, String agreed) {
                if (ended || request.over()) {
                    IoUtils.safeClose(channel);
                    end(AttemptResult.CANCELLED);
                    return;
                }
                endpoint = channel;
                endpointName = name;
                subprotocol = agreed == null || agreed.isEmpty() ? null : agreed;
                // What it holds of its limits it holds until the session is over.
                whenOver = request.takeWhenOver();
                counters.add("sessions opened");
                end(AttemptResult.COMPLETED);
            }

            private void end(AttemptResult ending) {
                if (ended) {
                    return;
                }
                ended = true;
                if (limit != null) {
                    limit.remove();
                }
                if (opening != null && ending != AttemptResult.COMPLETED) {
                    opening.cancel();
                }
                book.ended(
                        request,
                        number,
                        ending,
                        turn.nowUs() - sentUs,
                        ending == AttemptResult.COMPLETED ? new UpstreamResponse(101, List.of(), new byte[0]) : null);
            }
        }
    }
}
