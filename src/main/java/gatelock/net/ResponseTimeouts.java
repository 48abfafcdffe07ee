package gatelock.net;

/**
 * How long the response to a request may take, in microseconds.
 *
 * @param firstByteUs until it begins; 0 for any time, then none of the limits applies
 * @param pauseUs from one piece of it to the next; 0 where all of it has to arrive within {@code firstByteUs}
 * @param totalUs from the request to the end of a response that arrives in pieces
 */
public record ResponseTimeouts(long firstByteUs, long pauseUs, long totalUs) {
    /** The response may take any time, and may never end. */
    static final ResponseTimeouts NONE = new ResponseTimeouts(0, 0, 0);

    /** All of the response has to arrive within this time. */
    static ResponseTimeouts total(long us) {
        return new ResponseTimeouts(us, 0, us);
    }
}
