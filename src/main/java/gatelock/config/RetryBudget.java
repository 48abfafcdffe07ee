package gatelock.config;

/**
 * Bounds the retries under one policy to a share of its requests, both counted over about {@link #TIME_CONSTANT_US}. It
 * outlives versions while the policy's name stays.
 */
final class RetryBudget {
    /** Retries that are always available, so that a policy with few requests can have any. */
    private static final double RESERVE = 3;

    private static final double TIME_CONSTANT_US = 10e6;

    private final DecayingCounter requests = new DecayingCounter(TIME_CONSTANT_US);
    private final DecayingCounter retries = new DecayingCounter(TIME_CONSTANT_US);

    void recordRequest(long nowUs) {
        requests.increment(nowUs);
    }

    /** Takes one retry if the budget allows it; {@code ratio} is the policy's share of retries among requests. */
    boolean tryAcquire(long nowUs, double ratio) {
        if (retries.read(nowUs) >= RESERVE + ratio * requests.read(nowUs)) {
            return false;
        }
        retries.increment(nowUs);
        return true;
    }
}
