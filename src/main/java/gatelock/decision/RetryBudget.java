package gatelock.decision;

import gatelock.api.AttemptResult;

/**
 * The retry budget: each request earns a part of a retry, up to a burst. Guards against retries that multiply the load of
 * an overloaded fleet.
 */
final class RetryBudget {
    private static final double EARNED_BY_REQUEST = 0.1;

    /** A retry after a failed connect, which no endpoint has worked on: each request may have one. */
    private static final double RECONNECT_PRICE = EARNED_BY_REQUEST;

    private static final double BURST = 5;

    private double tokens = BURST;

    void requestArrived() {
        tokens = Math.min(BURST, tokens + EARNED_BY_REQUEST);
    }

    /** What a retry costs after an attempt that ended so. */
    static double priceAfter(AttemptResult last) {
        boolean reconnect = last == AttemptResult.NOT_CONNECTED || last == AttemptResult.NOT_SENT;
        return reconnect ? RECONNECT_PRICE : 1;
    }

    boolean covers(double price) {
        return tokens >= price;
    }

    void spend(double price) {
        tokens -= price;
    }
}
