package gatelock.websocket;

import gatelock.config.SessionPolicy;
import gatelock.net.EventLoop;
import gatelock.session.CloseReason;
import gatelock.session.SessionSide;
import gatelock.session.SessionTransport;
import gatelock.session.WebSocketSession;
import io.undertow.websockets.core.WebSocketChannel;

/**
 * One session: forwards messages between its two sides as the decision engine permits, checks that both sides are alive
 * and carries out the closes decided by {@link WebSocketSession}.
 */
final class WebSocketProxySession implements SessionTransport, SessionPeer.Listener {
    /** Delay after which a message that exceeded the exposure cap is checked again. */
    private static final long ADMISSION_RETRY_US = 20_000;
    /** Maximum time that a message waits for admission before its session is closed. */
    private static final long MAX_ADMISSION_WAIT_US = 2_000_000;
    /** After how long a client whose message waited too long may reconnect. */
    private static final long OVERLOADED_RECONNECT_MS = 500;

    private static final long CLOSING_CHECK_INTERVAL_US = 1_000_000;
    private static final long MIN_CHECK_INTERVAL_US = 50_000;

    private final SessionContext context;
    private final EventLoop loop;
    private final SessionPolicy policy;
    private final SessionPeer client;
    private final SessionPeer endpoint;
    private final WebSocketSession session;
    /** Releases the session's share of its route's limits; null once run. */
    private Runnable onFinished;

    private long lastMessageUs;

    /**
     * Creates and registers the session of two open connections.
     *
     * @param onFinished run once both sides are disconnected
     */
    WebSocketProxySession(
            SessionContext context,
            SessionPolicy policy,
            int route,
            WebSocketChannel clientChannel,
            OpenedEndpoint opened,
            Runnable onFinished) {
        this.context = context;
        this.loop = context.loop();
        this.policy = policy;
        this.onFinished = onFinished;
        this.client = new SessionPeer(SessionSide.CLIENT, clientChannel, loop, policy, this);
        this.endpoint = new SessionPeer(SessionSide.ENDPOINT, opened.channel(), loop, policy, this);
        this.session = context.sessions().register(loop.nowUs(), opened.endpointName(), route, this);
    }

    /** Starts reading from both sides and schedules the liveness checks. */
    void start() {
        lastMessageUs = loop.nowUs();
        client.start();
        endpoint.start();
        loop.schedule(checkIntervalUs(), this::checkLiveness);
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
        // The session may end during its registration in the constructor, before the field is set.
        if (session != null && session.isFinished() && onFinished != null) {
            onFinished.run();
            onFinished = null;
        }
    }

    /** Ends the session if a timeout has expired, pings silent sides otherwise, and schedules the next check. */
    private void checkLiveness() {
        if (!session.isOpen()) {
            finishIfDisconnected();
            if (!session.isFinished()) {
                loop.schedule(CLOSING_CHECK_INTERVAL_US, this::checkLiveness);
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
        loop.schedule(checkIntervalUs(), this::checkLiveness);
    }

    /** Returns the reason for which the session has to end now, or null if there is none. */
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
        return Math.max(MIN_CHECK_INTERVAL_US, shortestUs / 2);
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

    /**
     * Forwards a client's message once the decision engine admits it. Until then nothing more is read from the client.
     */
    private void forwardToEndpoint(boolean text, byte[] message, long receivedUs, boolean firstCheck) {
        if (!session.isOpen()) {
            return;
        }
        long nowUs = loop.nowUs();
        switch (context.engine().admitMessage(nowUs, session.endpointName(), session.route(), firstCheck)) {
            case NOW -> {
                context.counters().increment("messages to units");
                endpoint.send(text, message, client);
            }
            case NEVER -> context.sessions().endUnreachable(nowUs, session);
            case LATER -> {
                if (nowUs - receivedUs >= MAX_ADMISSION_WAIT_US) {
                    session.end(nowUs, CloseReason.OVERLOADED, OVERLOADED_RECONNECT_MS);
                } else {
                    loop.schedule(ADMISSION_RETRY_US, () -> forwardToEndpoint(text, message, receivedUs, false));
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
