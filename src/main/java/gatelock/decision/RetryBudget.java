package gatelock.decision;

import gatelock.api.AttemptResult;

/**
 * The retry budget: each request adds a fraction of a retry, up to a burst. Guards against retries that multiply the
 * load of an overloaded fleet.
 */
final class RetryBudget {
    private static final double TOKENS_PER_REQUEST = 0.1;

    /** The cost of a retry after a failed connect, which put no load on an endpoint: each request may have one. */
    private static final double RECONNECT_COST = TOKENS_PER_REQUEST;

    private static final double BURST = 5;

    private double tokens = BURST;

    /** Adds the tokens of one request. */
    void requestArrived() {
        tokens = Math.min(BURST, tokens + TOKENS_PER_REQUEST);
    }

    /** Returns the cost of a retry after an attempt with this result. */
    static double costAfter(AttemptResult last) {
        boolean reconnect = last == AttemptResult.NOT_CONNECTED || last == AttemptResult.NOT_SENT;
        return reconnect ? RECONNECT_COST : 1;
    }

    /** Whether the budget has tokens for this cost. */
    boolean covers(double cost) {
        return tokens >= cost;
    }

    /** Charges a retry. */
    void spend(double cost) {
        tokens -= cost;
    }
}
