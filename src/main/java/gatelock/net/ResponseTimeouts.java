package gatelock.net;

/**
 * How long the response to a request may take, in microseconds.
 *
 * @param firstByteTimeoutUs from the request to the first data of the response; 0 for no limit, in which case none of
 *     the limits applies
 * @param dataTimeoutUs from one part of the response to the next; 0 if the complete response has to arrive within
 *     {@code firstByteTimeoutUs}
 * @param totalTimeoutUs from the request to the end of a response that is consumed as it arrives
 */
public record ResponseTimeouts(long firstByteTimeoutUs, long dataTimeoutUs, long totalTimeoutUs) {
    /** No limits: the response may take any time and may never end. */
    static final ResponseTimeouts UNLIMITED = new ResponseTimeouts(0, 0, 0);

    /** Returns timeouts by which the complete response has to arrive within the given time. */
    static ResponseTimeouts total(long timeoutUs) {
        return new ResponseTimeouts(timeoutUs, 0, timeoutUs);
    }
}
