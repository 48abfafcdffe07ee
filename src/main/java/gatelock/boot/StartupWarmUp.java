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
 * Warms the process up before a relay reports that it is ready: a pipeline of its own, with decisions that are thrown
 * away, takes requests from this very process and forwards them to it as to endpoints.
 *
 * <p>Guards against a cold virtual machine that gets a whole relay's load in its first second, falls behind and stays
 * there.
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
    /** The canary build and its cap: the share of requests that may go to it. */
    private static final int CANARY_BUILD = 1;

    private static final double CANARY_CAP = 0.3;
    private static final int BODY_BYTES = 200;
    private static final byte[] RESPONSE_BODY = new byte[BODY_BYTES];
    private static final int COOKIES = 1000;
    private static final String ID_HEADER = "X-Trace-Id";

    private final RelayConfig config;
    private final InetSocketAddress address;
    private final EventLoop eventLoop;
    private final ClientListener clientListener;
    private final HttpHandler clientRequests;
    private final Consumer<StartupWarmUp> whenDone;
    private final Counters counters = new Counters();
    private final RequestPipeline pipeline;
    private final ConnectionPool selfPool;
    private final String idPrefix;
    private int sent;
    private int running;
    private boolean over;

    /**
     * Prepares a warm-up.
     *
     * @param address where this relay listens
     * @param clientRequests takes the requests that are not the warm-up's own
     * @param whenDone runs once all requests of the warm-up have ended
     */
    StartupWarmUp(
            RelayConfig config,
            InetSocketAddress address,
            EventLoop eventLoop,
            ClientListener clientListener,
            HttpHandler clientRequests,
            Consumer<StartupWarmUp> whenDone) {
        this.clientRequests = clientRequests;
        this.config = config;
        this.address = address;
        this.eventLoop = eventLoop;
        this.clientListener = clientListener;
        this.whenDone = whenDone;
        this.pipeline = new RequestPipeline(config, eventLoop, counters, clientListener, null, null, null);
        this.selfPool = new ConnectionPool(
                eventLoop, new Counters(), CONNECT_TIMEOUT_US, IDLE_TIMEOUT_US, 0, CONCURRENT_REQUESTS);
        this.idPrefix = "rehearsal-" + Long.toHexString(config.settings().seed()) + "-";
    }

    /** Sends requests until there were enough, the time is over, or the first client comes. */
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
            running++;
            sendNext();
        }
        eventLoop.schedule(MAX_DURATION_US, () -> over = true);
    }

    /** Endpoints that are all this relay itself: of two builds, in two zones and of two kinds. */
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
     * Wraps the handler that takes requests once the warm-up has ended: attempts of the warm-up are closed.
     *
     * <p>Guards against an attempt of the warm-up that is read only then, and that no endpoint may see. Harms nobody,
     * as its ids are this start's own.
     */
    HttpHandler closeOwnRequestsBefore(HttpHandler real) {
        return exchange -> {
            if (isOwn(exchange.getRequestHeaders().getFirst(ID_HEADER))) {
                IoUtils.safeClose(exchange.getConnection());
            } else {
                real.handleRequest(exchange);
            }
        };
    }

    private boolean isOwn(String id) {
        return id != null && id.startsWith(idPrefix);
    }

    /**
     * Handles a request during the warm-up. The warm-up's own come twice: first as from a client, then as to an
     * endpoint, while the first is still in flight.
     *
     * <p>Guards against clients that come before this relay is ready: their requests must not be part of the warm-up,
     * as nobody but this relay would answer them. They are held, and the warm-up ends at once. Should hold whenever
     * they come; could do harm where thousands come then, as the code is less warm for them.
     */
    private void handle(HttpServerExchange exchange) throws Exception {
        String id = exchange.getRequestHeaders().getFirst(ID_HEADER);
        if (!isOwn(id)) {
            over = true;
            clientRequests.handleRequest(exchange);
        } else if (pipeline.inFlight().get(id) == null) {
            pipeline.requestReader().handleRequest(exchange);
        } else {
            exchange.getRequestReceiver()
                    .receiveFullBytes((ex, body) -> ex.getResponseSender().send(ByteBuffer.wrap(RESPONSE_BODY)));
        }
    }

    private void sendNext() {
        if (over || sent >= MAX_REQUESTS) {
            running--;
            if (running == 0) {
                end();
            }
            return;
        }
        ByteBuffer request = StandardCharsets.US_ASCII.encode(requestText(sent));
        sent++;
        selfPool.send(address, request, REQUEST_TIMEOUT_US, new OutboundConnection.ResponseHandler() {
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

    /** A request to each route in turn: GET where it is retriable, else POST with an idempotency key and a body. */
    private String requestText(int number) {
        List<RoutePolicy> routes = config.settings().routes();
        int route = number % routes.size();
        boolean get = routes.get(route).retrySafety() == RoutePolicy.RetrySafety.RETRIABLE;
        String name = config.rawSettings().get("lanes." + route + ".name");
        StringBuilder text = new StringBuilder()
                .append(get ? "GET /" : "POST /")
                .append(name)
                .append(" HTTP/1.1\r\nHost: rehearsal\r\n")
                .append(ID_HEADER + ": ")
                .append(idPrefix)
                .append(number)
                .append("\r\nX-Customer: none\r\nCookie: k=")
                .append(Integer.toHexString(number % COOKIES))
                .append("\r\nX-Expires-In-Ms: 500\r\nX-Size-Hint: 2000\r\n");
        if (get) {
            return text.append("\r\n").toString();
        }
        return text.append("Idempotency-Key: ")
                .append(number)
                .append("\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n")
                .append("0".repeat(BODY_BYTES))
                .toString();
    }

    /** All requests of the warm-up have ended. */
    private void end() {
        LOG.log(Level.INFO, "rehearsed " + sent + " requests: " + counters);
        pipeline.stopWarmUp();
        selfPool.shutdown();
        whenDone.accept(this);
    }
}
