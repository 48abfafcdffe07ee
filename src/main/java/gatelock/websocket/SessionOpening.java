package gatelock.websocket;

import gatelock.config.SessionPolicy;
import gatelock.state.InFlightRequest;
import io.undertow.server.HttpServerExchange;
import io.undertow.websockets.WebSocketConnectionCallback;
import io.undertow.websockets.WebSocketProtocolHandshakeHandler;
import io.undertow.websockets.core.protocol.Handshake;
import io.undertow.websockets.core.protocol.version13.Hybi13Handshake;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import org.xnio.IoUtils;

/** A request that opens a session, from its first attempt until the client's handshake is answered. */
final class SessionOpening implements InFlightRequest.AttemptLauncher {
    private static final System.Logger LOG = System.getLogger("gatelock.websocket");

    private final SessionContext context;
    private final InFlightRequest request;
    private final SessionPolicy policy;
    private final int route;
    private final List<String> subprotocols;
    private OpenedEndpoint opened;
    /** Gives back the session's place and its share of its route's limits; null once it has run. */
    private Runnable onFinished;

    private boolean started;

    /**
     * Creates the opening of a session on a route with this index.
     *
     * @param subprotocols the subprotocols that endpoints are offered
     */
    SessionOpening(
            SessionContext context,
            InFlightRequest request,
            SessionPolicy policy,
            int route,
            List<String> subprotocols) {
        this.context = context;
        this.request = request;
        this.policy = policy;
        this.route = route;
        this.subprotocols = subprotocols;
    }

    @Override
    public void launch(InetSocketAddress address, String endpointName, long timeoutUs) {
        OpeningHandshake handshake = new OpeningHandshake(
                context.buffers(),
                subprotocols,
                (channel, subprotocol) -> endpointOpened(new OpenedEndpoint(endpointName, channel, subprotocol)));
        context.attempts().sendUpgrade(request, endpointName, address, timeoutUs, handshake);
    }

    private void endpointOpened(OpenedEndpoint endpoint) {
        if (opened != null) {
            IoUtils.safeClose(endpoint.channel());
            return;
        }
        opened = endpoint;
        // The session keeps its place and the request's share of the route's limits until it is finished.
        onFinished = request.takeCompletionAction();
        context.counters().increment("sessions opened");
    }

    /**
     * Answers the client's handshake and connects the two sides. Called once the handshake with an endpoint succeeded.
     */
    void answerClient(HttpServerExchange exchange) {
        Set<String> subprotocols = opened.subprotocol() == null ? Set.of() : Set.of(opened.subprotocol());
        Handshake handshake = new Hybi13Handshake(subprotocols, false);
        WebSocketConnectionCallback startSession = (facade, clientChannel) -> {
            try {
                new WebSocketProxySession(context, policy, route, clientChannel, opened, this::releasePlace).start();
                started = true;
            } catch (RuntimeException | Error e) {
                closeBoth(exchange, e.toString());
            }
        };
        // A client that leaves before it has the response is never connected to the endpoint.
        exchange.getConnection().addCloseListener(closed -> {
            if (!started) {
                closeBoth(exchange, "the client has left");
            }
        });
        try {
            new WebSocketProtocolHandshakeHandler(List.of(handshake), startSession).handleRequest(exchange);
        } catch (Exception | Error e) {
            closeBoth(exchange, e.toString());
        }
    }

    /** Closes the connections to the client and to the endpoint, and gives back the session's place. */
    private void closeBoth(HttpServerExchange exchange, String reason) {
        LOG.log(Level.DEBUG, () -> "WebSocket upgrade of a client failed: " + reason);
        IoUtils.safeClose(opened.channel(), exchange.getConnection());
        releasePlace();
    }

    private void releasePlace() {
        Runnable action = onFinished;
        onFinished = null;
        if (action != null) {
            action.run();
        }
    }
}
