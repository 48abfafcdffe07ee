package gatelock.config;

/**
 * Bounds the retries under one policy to a share of its requests, both counted with a decay of {@link
 * #TIME_CONSTANT_US}. A budget is kept across versions as long as they define a policy of the same name.
 */
final class RetryBudget {
    /** The number of retries that are available regardless of the ratio, so that a policy with few requests has any. */
    private static final double RESERVE = 3;

    /** The time constant with which the counts of requests and retries decay. */
    private static final double TIME_CONSTANT_US = 10e6;

    private final DecayingCounter requests = new DecayingCounter(TIME_CONSTANT_US);
    private final DecayingCounter retries = new DecayingCounter(TIME_CONSTANT_US);

    /** Counts a request under the policy. */
    void recordRequest(long nowUs) {
        requests.increment(nowUs);
    }

    /**
     * Takes one retry from the budget; returns false if the budget is exhausted.
     *
     * @param nowUs the current time
     * @param ratio the policy's allowed ratio of retries to requests
     */
    boolean tryAcquire(long nowUs, double ratio) {
        if (retries.read(nowUs) >= RESERVE + ratio * requests.read(nowUs)) {
            return false;
        }
        retries.increment(nowUs);
        return true;
    }
}
