package gatelock.decision;

import gatelock.api.AttemptResult;

/**
 * The retry budget: each request earns a part of a retry, up to a burst. Guards against retries that multiply the load of
 * an overloaded fleet.
 */
final class RetryBudget {
    private static final double TOKENS_PER_REQUEST = 0.1;

    /** A retry after a failed connect, which no endpoint has worked on: each request may have one. */
    private static final double RECONNECT_COST = TOKENS_PER_REQUEST;

    private static final double BURST = 5;

    private double tokens = BURST;

    void requestArrived() {
        tokens = Math.min(BURST, tokens + TOKENS_PER_REQUEST);
    }

    /** What a retry costs after an attempt that ended so. */
    static double costAfter(AttemptResult last) {
        boolean reconnect = last == AttemptResult.NOT_CONNECTED || last == AttemptResult.NOT_SENT;
        return reconnect ? RECONNECT_COST : 1;
    }

    boolean covers(double cost) {
        return tokens >= cost;
    }

    void spend(double cost) {
        tokens -= cost;
    }
}
