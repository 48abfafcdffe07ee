package gatelock.state;

/** Where the response to a client's request goes, whatever the protocol. Exactly one of the methods is called, once. */
public interface ResponseSink {

    /** Forwards an endpoint's response. */
    void forward(UpstreamResponse response);

    /**
     * Rejects the request: it was not executed, and may be retried without harm.
     *
     * @param retryAfterUs when the client had best retry, in microseconds from now; 0 for no advice
     */
    void reject(long retryAfterUs);

    /**
     * Reports that the request failed; it may have been executed.
     *
     * @param timedOut whether the client's time is over
     */
    void fail(boolean timedOut);
}
