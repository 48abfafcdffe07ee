package gatelock.websocket;

import gatelock.config.SessionPolicy;
import gatelock.net.EventLoop;
import gatelock.session.CloseReason;
import gatelock.session.SessionSide;
import gatelock.session.SessionTransport;
import gatelock.session.WebSocketSession;
import io.undertow.websockets.core.WebSocketChannel;

/**
 * One session: forwards messages between its two sides as the decisions permit, checks that both sides are alive, and
 * carries out the close that {@link Session} decides on.
 */
final class WebSocketProxySession implements SessionTransport, SessionPeer.Listener {
    /** A message that exceeds the cap is tried again after this time. */
    private static final long RETRY_US = 20_000;
    /** A message that exceeds the cap waits this long at the most. */
    private static final long MAX_WAIT_US = 2_000_000;
    /** When a client may reconnect whose message waited for too long. */
    private static final long OVERLOADED_RECONNECT_MS = 500;

    private static final long CLOSING_CHECK_US = 1_000_000;
    private static final long MIN_CHECK_US = 50_000;

    private final SessionContext context;
    private final EventLoop loop;
    private final SessionPolicy policy;
    private final SessionPeer client;
    private final SessionPeer endpoint;
    private final WebSocketSession session;
    /** Releases what the session holds of its route's limits; null once run. */
    private Runnable whenFinished;

    private long lastMessageUs;

    /**
     * Couples two opened connections.
     *
     * @param whenFinished run once both sides are disconnected
     */
    WebSocketProxySession(
            SessionContext context,
            SessionPolicy policy,
            int route,
            WebSocketChannel clientChannel,
            OpenedEndpoint opened,
            Runnable whenFinished) {
        this.context = context;
        this.loop = context.loop();
        this.policy = policy;
        this.whenFinished = whenFinished;
        this.client = new SessionPeer(SessionSide.CLIENT, clientChannel, loop, policy, this);
        this.endpoint = new SessionPeer(SessionSide.ENDPOINT, opened.channel(), loop, policy, this);
        this.session = context.sessions().register(loop.nowUs(), opened.endpointName(), route, this);
    }

    void start() {
        lastMessageUs = loop.nowUs();
        client.start();
        endpoint.start();
        loop.schedule(checkIntervalUs(), this::check);
    }

    private SessionPeer peer(SessionSide side) {
        return side == SessionSide.CLIENT ? client : endpoint;
    }

    @Override
    public void close(SessionSide side, int code, String reason) {
        context.counters().increment("session closes " + code);
        peer(side).sendClose(new CloseFrame(code, reason));
    }

    @Override
    public void disconnect(SessionSide side) {
        peer(side).disconnect();
        finishIfDisconnected();
    }

    private void finishIfDisconnected() {
        // The session may end while the constructor registers it, when the field is not set yet.
        if (session != null && session.isFinished() && whenFinished != null) {
            whenFinished.run();
            whenFinished = null;
        }
    }

    /** Ends the session if something that should have come by now has not. */
    private void check() {
        if (!session.isOpen()) {
            finishIfDisconnected();
            if (!session.isFinished()) {
                loop.schedule(CLOSING_CHECK_US, this::check);
            }
            return;
        }
        long nowUs = loop.nowUs();
        CloseReason failure = failedCheck(nowUs);
        if (failure != null) {
            session.end(nowUs, failure, 0);
        } else {
            client.pingIfSilent(nowUs);
            endpoint.pingIfSilent(nowUs);
        }
        loop.schedule(checkIntervalUs(), this::check);
    }

    /** Returns why the session has to end now, or null. */
    private CloseReason failedCheck(long nowUs) {
        if (policy.idleTimeoutUs() > 0 && nowUs - lastMessageUs >= policy.idleTimeoutUs()) {
            return CloseReason.IDLE_TIMEOUT;
        }
        if (client.isStalled(nowUs) || endpoint.isStalled(nowUs)) {
            return CloseReason.SLOW_READER;
        }
        if (client.isUnresponsive(nowUs)) {
            return CloseReason.CLIENT_UNRESPONSIVE;
        }
        return endpoint.isUnresponsive(nowUs) ? CloseReason.ENDPOINT_UNRESPONSIVE : null;
    }

    private long checkIntervalUs() {
        long shortestUs = policy.idleTimeoutUs() > 0
                ? Math.min(policy.idleTimeoutUs(), policy.pingIntervalUs())
                : policy.pingIntervalUs();
        return Math.max(MIN_CHECK_US, shortestUs / 2);
    }

    @Override
    public boolean isOpen() {
        return session.isOpen();
    }

    @Override
    public void messageReceived(SessionPeer from, boolean text, byte[] message) {
        long nowUs = loop.nowUs();
        lastMessageUs = nowUs;
        if (from.side() == SessionSide.CLIENT) {
            forwardToEndpoint(text, message, nowUs, true);
        } else {
            context.counters().increment("messages to clients");
            client.send(text, message, endpoint);
        }
    }

    /** Forwards a message of the client once the decisions admit it; nothing more is read from the client until then. */
    private void forwardToEndpoint(boolean text, byte[] message, long receivedUs, boolean firstTime) {
        if (!session.isOpen()) {
            return;
        }
        long nowUs = loop.nowUs();
        switch (context.engine().admitMessage(nowUs, session.endpoint(), session.route(), firstTime)) {
            case NOW -> {
                context.counters().increment("messages to units");
                endpoint.send(text, message, client);
            }
            case NEVER -> context.sessions().endUnreachable(nowUs, session);
            case LATER -> {
                if (nowUs - receivedUs >= MAX_WAIT_US) {
                    session.end(nowUs, CloseReason.OVERLOADED, OVERLOADED_RECONNECT_MS);
                } else {
                    loop.schedule(RETRY_US, () -> forwardToEndpoint(text, message, receivedUs, false));
                }
            }
        }
    }

    @Override
    public void closeReceived(SessionSide side, CloseFrame frame) {
        session.closeReceived(loop.nowUs(), side, frame.code(), frame.reason());
        finishIfDisconnected();
    }

    @Override
    public void connectionLost(SessionSide side) {
        session.connectionLost(loop.nowUs(), side);
        finishIfDisconnected();
    }

    @Override
    public void violation(CloseReason reason) {
        session.end(loop.nowUs(), reason, 0);
    }
}
