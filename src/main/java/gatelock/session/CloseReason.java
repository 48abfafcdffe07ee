package gatelock.session;

/**
 * Why a session ended. Each reason has a close code for each side (RFC 6455, 7.4 and its IANA registry) and the reason
 * text of the close frame, which must not change because clients read it.
 */
public enum CloseReason {
    /** A side closed the session; its code is forwarded to the other side instead of the codes given here. */
    CLOSED_BY_PEER(1000, 1000, "closed"),
    /** The client's connection ended without a close frame. */
    CLIENT_LOST(1001, 1001, "client lost"),
    /** The endpoint's connection ended without a close frame. */
    ENDPOINT_LOST(1014, 1001, "unit lost, come back"),
    /** The endpoint is draining, was removed or was replaced. */
    ENDPOINT_DRAINING(1012, 1001, "unit leaves, come back"),
    /** The endpoint's build is being or was rolled back. */
    BUILD_ROLLED_BACK(1012, 1001, "build taken back, come back"),
    /** The relay is shutting down. */
    RELAY_SHUTDOWN(1012, 1001, "relay leaves, come back"),
    /** A message waited too long for capacity at its endpoint. */
    OVERLOADED(1013, 1001, "no room for messages, come back"),
    /** No message was sent in either direction for the idle timeout of the route. */
    IDLE_TIMEOUT(1000, 1000, "idle"),
    /** Nothing was received from the client, not even answers to pings. */
    CLIENT_UNRESPONSIVE(1001, 1001, "no sign of life"),
    /** Nothing was received from the endpoint, not even answers to pings. */
    ENDPOINT_UNRESPONSIVE(1014, 1001, "unit silent, come back"),
    /** A message could not be written to a side in time, because the side reads too slowly. */
    SLOW_READER(1008, 1001, "reads too slowly"),
    /** A message from the client is larger than the route permits. */
    MESSAGE_TOO_BIG(1009, 1001, "message too big"),
    /** A text message from the client is not valid UTF-8. */
    INVALID_UTF8(1007, 1001, "no UTF-8"),
    /** The client violated RFC 6455. */
    PROTOCOL_ERROR(1002, 1001, "against the protocol"),
    /** The client sent more frames per second than the route permits. */
    TOO_MANY_FRAMES(1008, 1001, "too many frames"),
    /** The endpoint violated RFC 6455 or sent a message larger than the route permits. */
    ENDPOINT_PROTOCOL_ERROR(1011, 1002, "unit broke the protocol");

    private final int clientCode;
    private final int endpointCode;
    private final String text;

    CloseReason(int clientCode, int endpointCode, String text) {
        this.clientCode = clientCode;
        this.endpointCode = endpointCode;
        this.text = text;
    }

    /** Returns the close code that is sent to this side. */
    public int code(SessionSide side) {
        return side == SessionSide.CLIENT ? clientCode : endpointCode;
    }

    /** Returns the reason text of the close frame. */
    public String text() {
        return text;
    }
}
