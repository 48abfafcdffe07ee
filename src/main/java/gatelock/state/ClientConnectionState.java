package gatelock.state;

/** The state of a client connection: what it is waiting for. */
public enum ClientConnectionState {
    /** Accepted; no byte has been read from it yet. */
    AWAITING_FIRST_REQUEST,
    /** A part of a request, that is of its head or its body, has been read. */
    READING_REQUEST,
    /** A complete request has been read, and its response has not been started. */
    AWAITING_RESPONSE,
    /** A response is being written: to a complete request, or the rejection of an incomplete one. */
    WRITING_RESPONSE,
    /** The last response has been written and nothing has been read since. */
    IDLE;

    /** Returns whether, by the bytes that have been read, no request or response is in progress on the connection. */
    boolean isInactive() {
        return this == AWAITING_FIRST_REQUEST || this == IDLE;
    }
}
