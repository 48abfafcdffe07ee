package gatelock.session;

import java.util.EnumMap;
import java.util.Map;

/**
 * The state machine of one session between a client and an endpoint. Whatever ends the session and in whatever order
 * events arrive, each side that is still connected is sent exactly one close frame. A side that does not answer it
 * within {@link #CLOSE_TIMEOUT_US} is disconnected.
 */
public final class WebSocketSession {
    /** How long a side may take to answer a close frame. */
    static final long CLOSE_TIMEOUT_US = 1_000_000;

    private enum SideState {
        OPEN,
        /** A close frame was sent to the side, which has not answered it yet. */
        CLOSING,
        DISCONNECTED
    }

    private final SessionTransport transport;
    private final Map<SessionSide, SideState> states =
            new EnumMap<>(Map.of(SessionSide.CLIENT, SideState.OPEN, SessionSide.ENDPOINT, SideState.OPEN));
    private final int id;
    private final String endpointName;
    private final int route;
    private CloseReason closeReason;
    private long closedAtUs;

    /** Creates an open session with both sides connected. */
    WebSocketSession(int id, String endpointName, int route, SessionTransport transport) {
        this.id = id;
        this.endpointName = endpointName;
        this.route = route;
        this.transport = transport;
    }

    /** Returns the name of the endpoint at which the session was opened. */
    public String endpointName() {
        return endpointName;
    }

    /** Returns the index of the route through which the session was opened. */
    public int route() {
        return route;
    }

    /** Returns the number that identifies the session in its {@link SessionRegistry}. */
    int id() {
        return id;
    }

    /** Returns whether messages are still forwarded. */
    public boolean isOpen() {
        return closeReason == null;
    }

    /** Returns whether both sides are disconnected. */
    public boolean isFinished() {
        return states.get(SessionSide.CLIENT) == SideState.DISCONNECTED
                && states.get(SessionSide.ENDPOINT) == SideState.DISCONNECTED;
    }

    /** Returns why the session ended, or null while it is open. */
    public CloseReason closeReason() {
        return closeReason;
    }

    /**
     * Ends the session on behalf of the relay. Has no effect if it has already ended.
     *
     * @param reconnectAfterMs after how long the client may reconnect, which is appended to the reason text; 0 to omit
     *     it
     */
    public void end(long nowUs, CloseReason reason, long reconnectAfterMs) {
        if (closeReason != null) {
            return;
        }
        closeReason = reason;
        closedAtUs = nowUs;
        String clientText = reconnectAfterMs > 0 ? reason.text() + " after " + reconnectAfterMs + " ms" : reason.text();
        sendClose(SessionSide.CLIENT, reason.code(SessionSide.CLIENT), clientText);
        sendClose(SessionSide.ENDPOINT, reason.code(SessionSide.ENDPOINT), reason.text());
    }

    /**
     * Handles a close frame from a side. The first one ends the session, is answered and is forwarded to the other
     * side; a later one is the answer to the close frame that was sent. In both cases the side is disconnected.
     */
    public void closeReceived(long nowUs, SessionSide side, int code, String reason) {
        if (closeReason == null) {
            closeReason = CloseReason.CLOSED_BY_PEER;
            closedAtUs = nowUs;
            int reply = CloseCodes.replyTo(code);
            sendClose(side, reply, "");
            sendClose(side.other(), reply, reason);
        }
        disconnect(side);
    }

    /** Handles the loss of a side's connection. The other side is sent a close frame if the session was open. */
    public void connectionLost(long nowUs, SessionSide side) {
        if (states.get(side) == SideState.DISCONNECTED) {
            return;
        }
        states.put(side, SideState.DISCONNECTED);
        end(nowUs, side == SessionSide.CLIENT ? CloseReason.CLIENT_LOST : CloseReason.ENDPOINT_LOST, 0);
    }

    /** Disconnects the sides that did not answer a close frame in time. Returns the same as {@link #isFinished()}. */
    boolean disconnectOverdue(long nowUs) {
        if (closeReason != null && nowUs - closedAtUs >= CLOSE_TIMEOUT_US) {
            disconnect(SessionSide.CLIENT);
            disconnect(SessionSide.ENDPOINT);
        }
        return isFinished();
    }

    private void sendClose(SessionSide side, int code, String reason) {
        if (states.get(side) == SideState.OPEN) {
            states.put(side, SideState.CLOSING);
            transport.close(side, code, reason);
        }
    }

    private void disconnect(SessionSide side) {
        if (states.get(side) != SideState.DISCONNECTED) {
            states.put(side, SideState.DISCONNECTED);
            transport.disconnect(side);
        }
    }
}
