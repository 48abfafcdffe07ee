package gatelock.session;

/**
 * Why a session ended. Each reason has the close code for either side (RFC 6455, 7.4 and its IANA registry) and the
 * text of the close frame, which clients read and which therefore must not change.
 */
public enum CloseReason {
    /** A peer closed the session; its own code goes to the other side instead of the codes given here. */
    CLOSED_BY_PEER(1000, 1000, "closed"),
    /** The connection of the client ended without a close frame. */
    CLIENT_LOST(1001, 1001, "client lost"),
    /** The connection of the endpoint ended without a close frame. */
    ENDPOINT_LOST(1014, 1001, "unit lost, come back"),
    /** The endpoint drains, is gone or was replaced. */
    ENDPOINT_DRAINING(1012, 1001, "unit leaves, come back"),
    /** The build of the endpoint is rolled back. */
    BUILD_ROLLED_BACK(1012, 1001, "build taken back, come back"),
    /** The relay shuts down. */
    RELAY_SHUTDOWN(1012, 1001, "relay leaves, come back"),
    /** A message waited too long for capacity at its endpoint. */
    OVERLOADED(1013, 1001, "no room for messages, come back"),
    /** No message came either way for the idle timeout of the route. */
    IDLE_TIMEOUT(1000, 1000, "idle"),
    /** The client did not answer the pings. */
    CLIENT_UNRESPONSIVE(1001, 1001, "no sign of life"),
    /** The endpoint did not answer the pings. */
    ENDPOINT_UNRESPONSIVE(1014, 1001, "unit silent, come back"),
    /** A side did not read one message in time. */
    SLOW_READER(1008, 1001, "reads too slowly"),
    /** A message of the client is larger than the route permits. */
    MESSAGE_TOO_BIG(1009, 1001, "message too big"),
    /** A text message of the client is not UTF-8. */
    INVALID_UTF8(1007, 1001, "no UTF-8"),
    /** The client violated RFC 6455. */
    PROTOCOL_ERROR(1002, 1001, "against the protocol"),
    /** The client sent more frames in a second than the route permits. */
    TOO_MANY_FRAMES(1008, 1001, "too many frames"),
    /** The endpoint violated RFC 6455 or the message size of the route. */
    ENDPOINT_PROTOCOL_ERROR(1011, 1002, "unit broke the protocol");

    private final int clientCode;
    private final int endpointCode;
    private final String text;

    CloseReason(int clientCode, int endpointCode, String text) {
        this.clientCode = clientCode;
        this.endpointCode = endpointCode;
        this.text = text;
    }

    /** Returns the close code that this side receives. */
    public int code(SessionSide side) {
        return side == SessionSide.CLIENT ? clientCode : endpointCode;
    }

    /** Returns the text of the close frame. */
    public String text() {
        return text;
    }
}
