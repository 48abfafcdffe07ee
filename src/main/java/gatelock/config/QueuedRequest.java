package gatelock.config;

/** Receives the outcome of a request that its limits made wait. Exactly one of the two methods is called, once. */
public interface QueuedRequest {
    /** The request's limits admit it now. */
    void onAdmitted(long nowUs);

    /**
     * The request is shed, as it has waited too long or its place in the queue went to another tenant.
     *
     * @param nowUs the current time
     * @param retryAfterUs after how long a new attempt is likely to be admitted
     */
    void onShed(long nowUs, long retryAfterUs);
}
