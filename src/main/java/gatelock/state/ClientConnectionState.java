package gatelock.state;

/** What a client connection is waiting for. */
public enum ClientConnectionState {
    /** Accepted; no byte has been read from it yet. */
    AWAITING_FIRST_REQUEST,
    /** A part of a request, of its head or its body, has been read. */
    READING_REQUEST,
    /** A complete request is owed its response. */
    AWAITING_RESPONSE,
    /** A response is being written, to a complete request or as the rejection of an incomplete one. */
    WRITING_RESPONSE,
    /** The last response has been written and nothing has been read since. */
    IDLE;

    /** Whether nothing is under way on the connection, as far as has been read. */
    boolean isQuiet() {
        return this == AWAITING_FIRST_REQUEST || this == IDLE;
    }
}
