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
    /** Releases the session's share of its route's limits. */
    private Runnable onFinished;

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
        opened = endpoint;
        // The session keeps the request's share of the route's limits until it is finished.
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
                new WebSocketProxySession(context, policy, route, clientChannel, opened, onFinished).start();
            } catch (RuntimeException | Error e) {
                closeBoth(exchange, e);
            }
        };
        try {
            new WebSocketProtocolHandshakeHandler(List.of(handshake), startSession).handleRequest(exchange);
        } catch (Exception | Error e) {
            closeBoth(exchange, e);
        }
    }

    /** Closes the connections to the client and to the endpoint, and releases the session's share of the limits. */
    private void closeBoth(HttpServerExchange exchange, Throwable failure) {
        LOG.log(Level.DEBUG, () -> "WebSocket upgrade of a client failed: " + failure);
        IoUtils.safeClose(opened.channel(), exchange.getConnection());
        if (onFinished != null) {
            onFinished.run();
            onFinished = null;
        }
    }
}
