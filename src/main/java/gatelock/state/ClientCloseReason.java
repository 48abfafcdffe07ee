package gatelock.state;

/** Why a client connection is closed. */
public enum ClientCloseReason {
    /** Nothing came on it in time. */
    NO_REQUEST("clients closed, no whole req"),
    /** A request was not complete in time. */
    REQUEST_INCOMPLETE("clients closed, no whole req"),
    /** The client did not read its response in time. */
    RESPONSE_NOT_READ("clients closed, answer unread"),
    /** No further request came in time. */
    IDLE("clients closed, idle"),
    /** Nothing had come on it when connections had to be evicted. */
    EVICTED_WITHOUT_REQUEST("clients closed for room, silent"),
    /** It was idle when connections had to be evicted. */
    EVICTED_IDLE("clients closed for room, idle"),
    /** The relay shuts down. */
    SHUTDOWN("clients closed, leaving"),
    /** A request was rejected before it was read completely. */
    REJECTED("clients closed, refused"),
    /** The client closed the connection, or broke off its own request. */
    CLIENT_LEFT("clients closed, gone first");

    private final String counter;

    ClientCloseReason(String counter) {
        this.counter = counter;
    }

    /** The name of the counter under which such closes are counted. */
    String counter() {
        return counter;
    }

    /** Whether a connection may be closed for this reason in any state, as its client is owed nothing any more. */
    boolean appliesInAnyState() {
        return this == CLIENT_LEFT || this == REJECTED;
    }

    /** The reason for closing a connection whose time in a state is over. */
    static ClientCloseReason ofTimeoutIn(ClientConnectionState state) {
        return switch (state) {
            case AWAITING_FIRST_REQUEST -> NO_REQUEST;
            case READING_REQUEST -> REQUEST_INCOMPLETE;
            case WRITING_RESPONSE -> RESPONSE_NOT_READ;
            case IDLE -> IDLE;
            case AWAITING_RESPONSE -> throw new IllegalArgumentException("no timeout while a response is owed");
        };
    }
}
