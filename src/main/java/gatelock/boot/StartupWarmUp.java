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
 * Before a relay says that it is ready it serves itself for a while: a chain of its own, with decisions that
 * are thrown away, takes requests from this very process and sends them to it as to endpoints. Guards against a cold
 * virtual machine that meets a whole relay's load in its first second, falls behind and stays there.
 */
final class StartupWarmUp {
    private static final System.Logger LOG = System.getLogger("gatelock.boot");
    private static final long LONGEST_US = 350_000;
    private static final long ONE_US = 500_000;
    private static final int REQS = 4_000;
    private static final int AT_ONCE = 8;
    private static final int UNITS = 20;
    private static final byte[] ANSWER = new byte[200];

    private final RelayConfig told;
    private final InetSocketAddress at;
    private final EventLoop turn;
    private final ClientListener front;
    private final HttpHandler clients;
    private final Consumer<StartupWarmUp> then;
    private final Counters counters = new Counters();
    private final RequestPipeline chain;
    private final ConnectionPool own;
    private final String mark;
    private int asked;
    private int running;
    private boolean over;

    /**
     * @param at where this relay listens
     * @param clients takes the requests that are not the rehearsal's own
     */
    StartupWarmUp(
            RelayConfig told,
            InetSocketAddress at,
            EventLoop turn,
            ClientListener front,
            HttpHandler clients,
            Consumer<StartupWarmUp> then) {
        this.clients = clients;
        this.told = told;
        this.at = at;
        this.turn = turn;
        this.front = front;
        this.then = then;
        this.chain = new RequestPipeline(told, turn, counters, front, null, null, null);
        this.own = new ConnectionPool(turn, new Counters(), 1_000_000, 1_000_000, 0, AT_ONCE);
        this.mark = "rehearsal-" + Long.toHexString(told.charter().seed()) + "-";
    }

    void begin() {
        chain.gate.start(turn.nowUs());
        chain.open();
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < UNITS; i++) {
            endpoints.add(
                    new Endpoint("rehearsal-" + i, i % 4 == 0 ? 1 : 0, i % 2, i % 2, 0, Endpoint.Health.READY, 0));
            chain.addresses.put(at, endpoints.get(i));
        }
        chain.gate.listed(turn.nowUs(), DecisionEngine.ListForm.FULL, endpoints);
        chain.gate.news(turn.nowUs(), 1, 0, DecisionEngine.Phase.TRIAL, 0.3, 0, DecisionEngine.VoteAnswer.NOT_ASKED);
        front.admit(this::handle, false);
        for (int i = 0; i < AT_ONCE; i++) {
            running++;
            ask();
        }
        turn.in(LONGEST_US, () -> over = true);
    }

    /**
     * Who takes requests in once the rehearsal has ended. Guards against an attempt of the rehearsal that is read only
     * then, and that no endpoint may see; harms nobody, as its ids are this start's own.
     */
    HttpHandler before(HttpHandler real) {
        return exchange -> {
            String id = exchange.getRequestHeaders().getFirst("X-Trace-Id");
            if (mine(id)) {
                IoUtils.safeClose(exchange.getConnection());
            } else {
                real.handleRequest(exchange);
            }
        };
    }

    private boolean mine(String id) {
        return id != null && id.startsWith(mark);
    }

    /**
     * The same request comes twice: first from a client, then as to an endpoint, while the first is still open.
     *
     * <p>Guards against clients that come before this relay is ready: their requests must not be rehearsed with,
     * as nobody but this relay would answer them. They are held, and the rehearsal ends at once. Should hold
     * whenever they come; could harm where thousands come then, as the code is less warm for them.
     */
    private void handle(HttpServerExchange exchange) throws Exception {
        String id = exchange.getRequestHeaders().getFirst("X-Trace-Id");
        if (!mine(id)) {
            over = true;
            clients.handleRequest(exchange);
        } else if (chain.open.get(id) == null) {
            chain.takeIn.handleRequest(exchange);
        } else {
            exchange.getRequestReceiver()
                    .receiveFullBytes((ex, body) -> ex.getResponseSender().send(ByteBuffer.wrap(ANSWER)));
        }
    }

    private void ask() {
        if (over || asked >= REQS) {
            running--;
            if (running == 0) {
                end();
            }
            return;
        }
        int n = asked++;
        List<RoutePolicy> routes = told.charter().routes();
        int route = n % routes.size();
        boolean get = routes.get(route).repeat() == RoutePolicy.Repeat.RETRIABLE;
        String name = told.settings().get("lanes." + route + ".name");
        String body = get ? "" : "0".repeat(200);
        String text = (get ? "GET /" : "POST /") + name + " HTTP/1.1\r\nHost: rehearsal\r\nX-Trace-Id: "
                + mark + n
                + "\r\nX-Customer: none\r\nCookie: k=" + Integer.toHexString(n % 1000)
                + "\r\nX-Expires-In-Ms: 500\r\n"
                + "X-Size-Hint: 2000\r\n" + (get ? "" : "Idempotency-Key: " + n + "\r\nContent-Length: 200\r\n")
                + "\r\n"
                + body;
        own.call(at, StandardCharsets.US_ASCII.encode(text), ONE_US, new OutboundConnection.User() {
            @Override
            public boolean answered(UpstreamResponse answer) {
                turn.soon(StartupWarmUp.this::ask);
                return true;
            }

            @Override
            public void broken(boolean written) {
                turn.in(1_000, StartupWarmUp.this::ask);
            }

            @Override
            public void late() {
                ask();
            }
        });
    }

    /** All that was asked has ended. */
    private void end() {
        LOG.log(Level.INFO, "rehearsed " + asked + " reqs: " + counters);
        chain.orders.stop();
        own.stop();
        chain.endpoints.stop();
        then.accept(this);
    }
}
