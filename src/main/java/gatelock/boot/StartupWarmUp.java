package gatelock.boot;

import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.api.RoutePolicy;
import gatelock.http.ClientListener;
import gatelock.net.ConnectionPool;
import gatelock.net.EventLoop;
import gatelock.net.OutboundConnection;
import gatelock.state.Counters;
import gatelock.state.UpstreamResponse;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.xnio.IoUtils;

/**
 * Warms up the process before a relay reports that it is ready. A separate pipeline, whose decisions are discarded,
 * receives requests from this process and forwards them to this process, which also acts as the endpoints.
 *
 * <p>Guards against a cold JVM that receives the full load of a relay in its first second, falls behind and does not
 * catch up.
 */
final class StartupWarmUp {
    private static final System.Logger LOG = System.getLogger("gatelock.boot");
    private static final long MAX_DURATION_US = 350_000;
    private static final long REQUEST_TIMEOUT_US = 500_000;
    private static final long RETRY_DELAY_US = 1_000;
    private static final long CONNECT_TIMEOUT_US = 1_000_000;
    private static final long IDLE_TIMEOUT_US = 1_000_000;
    private static final int MAX_REQUESTS = 4_000;
    private static final int CONCURRENT_REQUESTS = 8;
    private static final int ENDPOINTS = 20;
    /** The canary build; {@link #CANARY_CAP} is its exposure cap, the share of requests that it may receive. */
    private static final int CANARY_BUILD = 1;

    private static final double CANARY_CAP = 0.3;
    private static final int BODY_BYTES = 200;
    private static final byte[] RESPONSE_BODY = new byte[BODY_BYTES];
    private static final int DISTINCT_COOKIES = 1000;
    private static final String ID_HEADER = "X-Trace-Id";

    private final RelayConfig config;
    private final InetSocketAddress address;
    private final EventLoop eventLoop;
    private final ClientListener clientListener;
    private final HttpHandler clientHandler;
    private final Consumer<StartupWarmUp> onComplete;
    private final Counters counters = new Counters();
    private final RequestPipeline pipeline;
    private final ConnectionPool clientPool;
    private final String idPrefix;
    private int sent;
    private int activeSenders;
    private boolean stopping;

    /**
     * Prepares a warm-up.
     *
     * @param config the relay's configuration
     * @param address the address on which this relay listens
     * @param clientListener accepts the connections of the warm-up and of clients
     * @param clientHandler handles requests that do not belong to the warm-up
     * @param onComplete called once all requests of the warm-up have ended
     */
    StartupWarmUp(
            RelayConfig config,
            InetSocketAddress address,
            EventLoop eventLoop,
            ClientListener clientListener,
            HttpHandler clientHandler,
            Consumer<StartupWarmUp> onComplete) {
        this.clientHandler = clientHandler;
        this.config = config;
        this.address = address;
        this.eventLoop = eventLoop;
        this.clientListener = clientListener;
        this.onComplete = onComplete;
        this.pipeline = new RequestPipeline(config, eventLoop, counters, clientListener, null, null, null);
        this.clientPool = new ConnectionPool(
                eventLoop, new Counters(), CONNECT_TIMEOUT_US, IDLE_TIMEOUT_US, 0, CONCURRENT_REQUESTS);
        this.idPrefix = "rehearsal-" + Long.toHexString(config.settings().seed()) + "-";
    }

    /** Sends requests until the maximum number or duration is reached, or until the first client request arrives. */
    void begin() {
        DecisionEngine engine = pipeline.engine();
        engine.start(eventLoop.nowUs());
        pipeline.startForwarding();
        engine.endpointsUpdated(eventLoop.nowUs(), DecisionEngine.EndpointUpdateType.FULL, registerEndpoints());
        engine.releaseStateUpdated(
                eventLoop.nowUs(),
                CANARY_BUILD,
                0,
                DecisionEngine.ReleasePhase.TRIAL,
                CANARY_CAP,
                0,
                DecisionEngine.VoteResponse.NOT_ASKED);
        clientListener.setRequestHandler(this::handle, false);
        for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
            activeSenders++;
            sendNext();
        }
        eventLoop.schedule(MAX_DURATION_US, () -> stopping = true);
    }

    /**
     * Registers endpoints of two builds, two zones and two instance types, which all have the address of this relay.
     */
    private List<Endpoint> registerEndpoints() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            int build = i % 4 == 0 ? CANARY_BUILD : 0;
            Endpoint endpoint = new Endpoint("rehearsal-" + i, build, i % 2, i % 2, 0, Endpoint.Health.READY, 0);
            endpoints.add(endpoint);
            pipeline.addresses().put(address, endpoint);
        }
        return endpoints;
    }

    /**
     * Wraps the handler that is used once the warm-up has ended: it closes the connections of attempts that belong to
     * the warm-up.
     *
     * <p>Guards against forwarding an attempt of the warm-up to an endpoint if the attempt is read only after the end
     * of the warm-up. Clients are not affected, because the ids of the warm-up are unique to this start.
     */
    HttpHandler wrapToCloseOwnRequests(HttpHandler delegate) {
        return exchange -> {
            if (isOwn(exchange.getRequestHeaders().getFirst(ID_HEADER))) {
                IoUtils.safeClose(exchange.getConnection());
            } else {
                delegate.handleRequest(exchange);
            }
        };
    }

    private boolean isOwn(String id) {
        return id != null && id.startsWith(idPrefix);
    }

    /**
     * Handles a request during the warm-up. Each request of the warm-up arrives twice: first as a client's request, and
     * then, while that is still in flight, as the attempt at an endpoint.
     *
     * <p>Guards against clients that connect before this relay is ready. Their requests must not be part of the
     * warm-up, because only this relay itself would answer them. They are passed to the client handler, which queues
     * them until the relay is ready, and the warm-up ends immediately. This applies at any time during the warm-up. If
     * thousands of requests arrive early, the code that processes them is less warm.
     */
    private void handle(HttpServerExchange exchange) throws Exception {
        String id = exchange.getRequestHeaders().getFirst(ID_HEADER);
        if (!isOwn(id)) {
            stopping = true;
            clientHandler.handleRequest(exchange);
        } else if (pipeline.inFlight().get(id) == null) {
            pipeline.requestReader().handleRequest(exchange);
        } else {
            exchange.getRequestReceiver()
                    .receiveFullBytes((ex, body) -> ex.getResponseSender().send(ByteBuffer.wrap(RESPONSE_BODY)));
        }
    }

    private void sendNext() {
        if (stopping || sent >= MAX_REQUESTS) {
            activeSenders--;
            if (activeSenders == 0) {
                finish();
            }
            return;
        }
        ByteBuffer request = StandardCharsets.US_ASCII.encode(requestText(sent));
        sent++;
        clientPool.send(address, request, REQUEST_TIMEOUT_US, new OutboundConnection.ResponseHandler() {
            @Override
            public boolean onResponse(UpstreamResponse response) {
                eventLoop.execute(StartupWarmUp.this::sendNext);
                return true;
            }

            @Override
            public void onConnectionLost(boolean written) {
                eventLoop.schedule(RETRY_DELAY_US, StartupWarmUp.this::sendNext);
            }

            @Override
            public void onTimeout() {
                sendNext();
            }
        });
    }

    /** Returns a request to each route in turn: GET if the route is retriable, otherwise POST with a key and a body. */
    private String requestText(int number) {
        List<RoutePolicy> routes = config.settings().routes();
        int route = number % routes.size();
        boolean isGet = routes.get(route).retrySafety() == RoutePolicy.RetrySafety.RETRIABLE;
        String name = config.rawSettings().get("lanes." + route + ".name");
        StringBuilder text = new StringBuilder()
                .append(isGet ? "GET /" : "POST /")
                .append(name)
                .append(" HTTP/1.1\r\nHost: rehearsal\r\n")
                .append(ID_HEADER + ": ")
                .append(idPrefix)
                .append(number)
                .append("\r\nX-Customer: none\r\nCookie: k=")
                .append(Integer.toHexString(number % DISTINCT_COOKIES))
                .append("\r\nX-Expires-In-Ms: 500\r\nX-Size-Hint: 2000\r\n");
        if (isGet) {
            return text.append("\r\n").toString();
        }
        return text.append("Idempotency-Key: ")
                .append(number)
                .append("\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n")
                .append("0".repeat(BODY_BYTES))
                .toString();
    }

    /** Completes the warm-up after all of its requests have ended. */
    private void finish() {
        LOG.log(Level.INFO, "warm-up complete, " + sent + " requests sent: " + counters);
        pipeline.stopWarmUp();
        clientPool.shutdown();
        onComplete.accept(this);
    }
}
