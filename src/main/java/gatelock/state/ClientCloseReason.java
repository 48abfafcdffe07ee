package gatelock.state;

/** Why a client connection is closed. */
public enum ClientCloseReason {
    /** No byte of the first request arrived before the timeout. */
    NO_REQUEST("clients closed, no whole req"),
    /** A request was not complete before the timeout. */
    REQUEST_INCOMPLETE("clients closed, no whole req"),
    /** The client did not read its response before the timeout. */
    RESPONSE_NOT_READ("clients closed, answer unread"),
    /** No further request arrived before the idle timeout. */
    IDLE("clients closed, idle"),
    /** It was evicted before any byte of its first request had arrived. */
    EVICTED_WITHOUT_REQUEST("clients closed for room, silent"),
    /** It was evicted before its request was complete. */
    EVICTED_INCOMPLETE("clients closed for room, no whole req"),
    /** It was evicted while it was idle. */
    EVICTED_IDLE("clients closed for room, idle"),
    /** The relay is shutting down. */
    SHUTDOWN("clients closed, leaving"),
    /** A request was rejected before it was read completely. */
    REJECTED("clients closed, refused"),
    /** It sent more behind a request than the relay reads ahead, so that a close behind it would not be seen. */
    SENT_TOO_FAR_AHEAD("clients closed, sent too far ahead"),
    /** Handling its request or writing the response has thrown an unexpected exception. */
    FAILED("clients closed, failed"),
    /** The client closed the connection or aborted its request. */
    CLIENT_DISCONNECTED("clients closed, gone first");

    private final String counter;

    ClientCloseReason(String counter) {
        this.counter = counter;
    }

    /** Returns the name of the counter that counts closes for this reason. */
    String counter() {
        return counter;
    }

    /**
     * Returns whether a connection may be closed for this reason in any state, because its client is not owed a
     * response any more or cannot be sent one.
     */
    boolean appliesInAnyState() {
        return this == CLIENT_DISCONNECTED || this == SENT_TOO_FAR_AHEAD || this == REJECTED || this == FAILED;
    }

    /** Returns the reason for closing a connection that timed out in a state. */
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
