package gatelock.config;

/**
 * Receives the outcome of a request that a limit queued. Exactly one of the two methods is called, once, unless the
 * request is released while it is queued.
 */
public interface QueuedRequest {
    /** Called when the request is admitted. */
    void onAdmitted(long nowUs);

    /**
     * Called when the request is shed because it has waited too long, its place in the queue went to another tenant, or
     * a new version shortened the queue.
     *
     * @param nowUs the current time
     * @param retryAfterUs estimated time in microseconds after which a new attempt would be admitted
     */
    void onShed(long nowUs, long retryAfterUs);
}
