package gatelock.state;

/**
 * Sends the response to a client's request, in any protocol. Exactly one of the methods that send a response is called,
 * and only once, unless the client leaves before. If a response cannot be sent, the sink itself closes the connection to
 * the client.
 */
public interface ResponseSink {

    /** Returns whether the client is still connected, for which all that has arrived from it is read. */
    boolean isClientConnected();

    /**
     * Ends the request without a response if its client has left. Must not be called while the decision engine runs.
     *
     * @return whether the client has left
     */
    boolean endIfClientLeft();

    /**
     * Holds memory for the part of a response that has arrived.
     *
     * @param bytes the length of that part
     * @return whether there is room for it
     */
    default boolean holdResponse(long bytes) {
        return true;
    }

    /** Forwards an endpoint's response. */
    void forward(UpstreamResponse response);

    /**
     * Rejects the request, which was not executed and can be retried safely.
     *
     * @param retryAfterUs how long the client should wait before a retry, in microseconds; 0 to send no advice
     */
    void reject(long retryAfterUs);

    /**
     * Reports that the request failed, although an endpoint may have executed it.
     *
     * @param timedOut whether the request failed because its deadline passed
     */
    void fail(boolean timedOut);
}
