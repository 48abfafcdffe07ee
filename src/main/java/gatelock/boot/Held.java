package gatelock.boot;

import gatelock.wire.Front;
import gatelock.wire.TakeIn;
import gatelock.wire.Turn;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;

import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients' reqs that come before this relay is ready; there are no more of them than connections. Guards
 * against the clients of an earlier life, which come as soon as the relay listens: their reqs wait until it
 * knows what it needs. Their time runs from when they came. Could harm where a start takes longer than that.
 */
final class Held implements HttpHandler {
    private static final System.Logger LOG = System.getLogger("gatelock.boot");

    private final Turn turn;
    private final List<HttpServerExchange> waiting = new ArrayList<>();

    Held(Turn turn) {
        this.turn = turn;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.putAttachment(TakeIn.CAME_US, turn.nowUs());
        // Undertow ends an exchange whose handler returns without having dispatched it.
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> waiting.add(exchange));
    }

    /** Hands all of them to whoever takes reqs in now. */
    void goOn(Front front) {
        if (!waiting.isEmpty()) {
            LOG.log(Level.INFO, "held until ready: " + waiting.size() + " reqs");
        }
        waiting.forEach(front::again);
        waiting.clear();
    }
}
