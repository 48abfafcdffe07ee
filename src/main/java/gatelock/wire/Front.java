package gatelock.wire;

import gatelock.kept.Counters;

import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.Headers;

import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;

/** The listener: client connections, how many there may be, readiness, and taking leave. */
public final class Front {
    private static final int BUFFER_BYTES = 4096;
    private static final int BACKLOG = 256;
    private static final int SPARE = 32;
    private static final long LOOK_AGAIN_US = 50_000;

    private final Turn turn;
    private final Counters counters;
    private final int most;
    private final Map<ServerConnection, HttpServerExchange> clients = new LinkedHashMap<>();
    private AcceptingChannel<StreamConnection> listener;
    private HttpHandler takeIn;
    private boolean ready;
    private boolean leaving;

    /** @param most client connections held at a time; further ones wait to be accepted */
    public Front(Turn turn, Counters counters, int most) {
        this.turn = turn;
        this.counters = counters;
        this.most = most;
    }

    /** Listens; until {@link #admit} says that it is ready, a relay is not ready for clients. */
    public void listen(InetSocketAddress address) throws IOException {
        OptionMap http = OptionMap.builder().set(UndertowOptions.MAX_HEADER_SIZE, 16 * 1024)
            .set(UndertowOptions.ALWAYS_SET_DATE, false).set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
            .set(UndertowOptions.NO_REQUEST_TIMEOUT, 120_000).getMap();
        HttpOpenListener opened = new HttpOpenListener(
            new DefaultByteBufferPool(true, BUFFER_BYTES, 200, 0, 0), http);
        opened.setRootHandler(this::handle);
        OptionMap socket = OptionMap.builder().set(Options.TCP_NODELAY, true).set(Options.REUSE_ADDRESSES, true)
            .set(Options.BACKLOG, BACKLOG).set(Options.CONNECTION_HIGH_WATER, most + SPARE)
            .set(Options.CONNECTION_LOW_WATER, most + SPARE - 1).getMap();
        listener = turn.thread().getWorker().createStreamConnectionServer(address,
            ChannelListeners.openListenerAdapter(opened), socket);
        listener.resumeAccepts();
    }

    /** Names who takes reqs in from now on. */
    public void admit(HttpHandler takeIn, boolean ready) {
        this.takeIn = takeIn;
        this.ready = ready;
    }

    private void handle(HttpServerExchange exchange) throws Exception {
        busy(exchange);
        String path = exchange.getRequestPath();
        if (path.startsWith("/-/")) {
            boolean isReady = path.equals("/-/ready");
            exchange.setStatusCode(isReady && ready && !leaving || path.equals("/-/healthy") ? 200 : isReady ? 503
                : 404);
            last(exchange);
            exchange.endExchange();
        } else {
            takeIn.handleRequest(exchange);
        }
    }

    /** Notes the connection a req came on, so that it is known which stand between reqs. */
    private void busy(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        if (clients.remove(connection) == null) {
            counters.add("client connections");
            connection.addCloseListener(clients::remove);
        }
        clients.put(connection, exchange);
        if (clients.size() >= most) {
            closeLongestIdle();
        }
    }

    /** Guards against idle connections that keep others from being accepted. Could harm none but their owners. */
    private void closeLongestIdle() {
        for (Map.Entry<ServerConnection, HttpServerExchange> e : clients.entrySet()) {
            if (e.getValue().isComplete()) {
                counters.add("idle clients closed");
                IoUtils.safeClose(e.getKey());
                return;
            }
        }
    }

    /** Says on the way out of an answer that the connection ends with it. */
    void last(HttpServerExchange exchange) {
        if (leaving) {
            exchange.setPersistent(false);
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
    }

    /**
     * Takes leave: serves what still comes for a while, then closes connections between reqs and ends when
     * all that was taken is answered.
     */
    public void leave(long stillComingUs, Runnable then) {
        leaving = true;
        turn.in(stillComingUs, () -> {
            IoUtils.safeClose(listener);
            closeWhenDone(then);
        });
    }

    private void closeWhenDone(Runnable then) {
        for (Map.Entry<ServerConnection, HttpServerExchange> e : new ArrayList<>(clients.entrySet())) {
            if (e.getValue().isComplete()) {
                IoUtils.safeClose(e.getKey());
            }
        }
        if (clients.isEmpty()) {
            then.run();
        } else {
            turn.in(LOOK_AGAIN_US, () -> closeWhenDone(then));
        }
    }
}
