package gatelock.control;

import com.fasterxml.jackson.jr.ob.JSON;
import gatelock.config.CompiledConfig;
import gatelock.config.VersionTracker;
import gatelock.discovery.DiscoveryClient;
import gatelock.net.EventLoop;
import gatelock.state.Counters;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/**
 * The operator's listener, on loopback: status, history, the text of a version, going back to one and letting
 * the control
 * service lead again. Few connections at a time; nothing of it is on the way of requests.
 */
public final class AdminServer {
    private static final int MOST = 8;
    private static final int IDLE_MS = 10_000;

    private final EventLoop turn;
    private final Counters counters;
    private final ConfigUpdater steward;
    private final Supplier<ConfigSubscription> subscription;
    private Supplier<DiscoveryClient.State> list;
    private AcceptingChannel<StreamConnection> listener;

    public AdminServer(
            EventLoop turn, Counters counters, ConfigUpdater steward, Supplier<ConfigSubscription> subscription) {
        this.turn = turn;
        this.counters = counters;
        this.steward = steward;
        this.subscription = subscription;
    }

    /** Shows the list of endpoints too. */
    public void shows(Supplier<DiscoveryClient.State> list) {
        this.list = list;
    }

    /** Listens, and tells where. */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        OptionMap http = OptionMap.builder()
                .set(UndertowOptions.MAX_HEADER_SIZE, 8 * 1024)
                .set(UndertowOptions.MAX_ENTITY_SIZE, 1024L)
                .set(UndertowOptions.IDLE_TIMEOUT, IDLE_MS)
                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, IDLE_MS)
                .getMap();
        HttpOpenListener opened = new HttpOpenListener(new DefaultByteBufferPool(true, 4096, 16, 0, 0), http);
        opened.setRootHandler(this::handle);
        listener = turn.thread()
                .getWorker()
                .createStreamConnectionServer(
                        address,
                        ChannelListeners.openListenerAdapter(opened),
                        OptionMap.builder()
                                .set(Options.TCP_NODELAY, true)
                                .set(Options.REUSE_ADDRESSES, true)
                                .set(Options.CONNECTION_HIGH_WATER, MOST)
                                .set(Options.CONNECTION_LOW_WATER, MOST - 1)
                                .getMap());
        listener.resumeAccepts();
        return listener.getLocalAddress(InetSocketAddress.class);
    }

    public void close() {
        IoUtils.safeClose(listener);
    }

    private void handle(HttpServerExchange exchange) throws IOException {
        boolean get = exchange.getRequestMethod().equalToString("GET");
        switch (exchange.getRequestPath()) {
            case "/status" -> answer(exchange, get ? 200 : 405, status());
            case "/history" -> answer(exchange, get ? 200 : 405, Map.of("history", history()));
            case "/version" -> version(exchange);
            case "/back" -> back(exchange, !get);
            case "/release" -> {
                if (!get) {
                    steward.release();
                }
                answer(exchange, get ? 405 : 200, status());
            }
            default ->
                answer(exchange, 404, Map.of("error", "there is /status, /history, /version, /back and /release"));
        }
    }

    private Map<String, Object> status() {
        long nowUs = turn.nowUs();
        Map<String, Object> status = new LinkedHashMap<>();
        CompiledConfig plan = steward.admission().plan();
        VersionTracker succession = steward.succession();
        status.put(
                "inForce",
                succession.inForce() == null ? null : succession.inForce().toString());
        status.put("held", succession.held() == null ? null : succession.held().toString());
        List<VersionTracker.Past> past = succession.history();
        status.put(
                "inForceForS",
                past.isEmpty() ? null : (nowUs - past.get(past.size() - 1).sinceUs()) / 1_000_000);
        status.put("pinned", succession.pinned());
        status.put("routes", plan == null ? 0 : plan.routes());
        status.put("refusals", succession.refusals());
        status.put("met", succession.met());
        status.put("longestSwapUs", steward.longestSwapUs());
        status.put("latestCompileUs", steward.latestCompileUs());
        ConfigSubscription stream = subscription.get();
        if (stream != null) {
            status.put("service", stream.service().toString());
            status.put("silentForS", (nowUs - stream.heardUs()) / 1_000_000);
            status.put("failures", stream.failures());
        }
        if (list != null) {
            status.put("list", listed(nowUs, list.get()));
        }
        status.put("admission", steward.admission().state(nowUs));
        status.put("counters", counters.toString());
        return status;
    }

    private static Map<String, Object> listed(long nowUs, DiscoveryClient.State list) {
        Map<String, Object> said = new LinkedHashMap<>();
        said.put("units", list.listed());
        said.put("byScope", list.scoped());
        said.put("inScope", list.inScope());
        said.put("services", list.services());
        said.put("index", list.index());
        said.put("lastChangeMs", list.changedUs() < 0 ? null : list.changedUs() / 1_000);
        said.put("unchangedForS", list.changedUs() < 0 ? null : (nowUs - list.changedUs()) / 1_000_000);
        said.put("tooLong", list.tooLong());
        return said;
    }

    private List<Map<String, Object>> history() {
        List<Map<String, Object>> history = new ArrayList<>();
        for (VersionTracker.Past p : steward.succession().history()) {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("version", p.stamp().toString());
            one.put("number", p.stamp().number());
            one.put("hash", p.stamp().hash());
            one.put("sinceMs", p.sinceUs() / 1000);
            one.put("from", p.why());
            one.put("by", p.by());
            one.put("note", p.note());
            history.add(one);
        }
        return history;
    }

    private void version(HttpServerExchange exchange) throws IOException {
        VersionTracker.Past past = steward.succession().past(number(exchange));
        if (past == null) {
            answer(exchange, 404, Map.of("error", "no such version is remembered; see /history"));
        } else {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
            exchange.getResponseSender().send(ByteBuffer.wrap(past.text()));
        }
    }

    private void back(HttpServerExchange exchange, boolean post) throws IOException {
        if (!post) {
            answer(exchange, 405, Map.of("error", "POST /back?number=N&why=TEXT"));
            return;
        }
        String why = first(exchange, "why");
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> steward.goBack(number(exchange), why == null ? "" : why, wrong -> {
                    try {
                        answer(exchange, wrong == null ? 200 : 409, wrong == null ? status() : Map.of("error", wrong));
                    } catch (IOException e) {
                        turn.soon(exchange::endExchange);
                    }
                }));
    }

    private static String first(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? null : values.peekFirst();
    }

    private static long number(HttpServerExchange exchange) {
        try {
            return Long.parseLong(String.valueOf(first(exchange, "number")));
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static void answer(HttpServerExchange exchange, int status, Map<String, Object> said) throws IOException {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender()
                .send(ByteBuffer.wrap((JSON.std.asString(said) + "\n").getBytes(StandardCharsets.UTF_8)));
    }
}
