package gatelock.session;

/**
 * Why a session ends, and what each side is told: one code (RFC 6455, 7.4 and its registry) and one reason.
 */
public enum CloseReason {
    /** A side closed it; its own code goes to the other. */
    CLOSED(1000, 1000, "closed"),
    CLIENT_LOST(1001, 1001, "client lost"),
    UNIT_LOST(1014, 1001, "unit lost, come back"),
    DRAIN(1012, 1001, "unit leaves, come back"),
    TRIAL_BACK(1012, 1001, "build taken back, come back"),
    LEAVING(1012, 1001, "relay leaves, come back"),
    NO_ROOM(1013, 1001, "no room for messages, come back"),
    IDLE(1000, 1000, "idle"),
    SILENT_CLIENT(1001, 1001, "no sign of life"),
    SILENT_UNIT(1014, 1001, "unit silent, come back"),
    STALLED(1008, 1001, "reads too slowly"),
    TOO_BIG(1009, 1001, "message too big"),
    INVALID(1007, 1001, "no UTF-8"),
    PROTOCOL(1002, 1001, "against the protocol"),
    FLOOD(1008, 1001, "too many frames"),
    UNIT_FAULT(1011, 1002, "unit broke the protocol");

    private final int toClient;
    private final int toEndpoint;
    private final String reason;

    CloseReason(int toClient, int toEndpoint, String reason) {
        this.toClient = toClient;
        this.toEndpoint = toEndpoint;
        this.reason = reason;
    }

    public int code(Session.Side side) {
        return side == Session.Side.CLIENT ? toClient : toEndpoint;
    }

    public String reason() {
        return reason;
    }
}
