package gatelock.config;

/**
 * A limit on requests: a token bucket, a bound on requests in flight and a queue, each of which may be absent.
 *
 * @param name the limit's name
 * @param scope which requests share a bucket
 * @param ratePerUs tokens added per microsecond; each request takes one; infinite if the rate is not limited
 * @param burst capacity of the token bucket
 * @param maxInFlight maximum number of requests that are unanswered at the same time
 * @param maxQueueLength maximum number of queued requests; 0 if requests are never queued
 * @param maxWaitUs maximum time that a request may be queued, in microseconds
 */
record LimitPolicy(
        String name, Scope scope, double ratePerUs, double burst, int maxInFlight, int maxQueueLength, long maxWaitUs) {

    /** Which requests share a bucket. A version's text names the constants, so their names must not change. */
    enum Scope {
        ALL,
        ROUTE,
        TENANT,
        ROUTE_AND_TENANT;

        /** Returns whether each route has its own bucket. */
        boolean isPerRoute() {
            return this == ROUTE || this == ROUTE_AND_TENANT;
        }

        /** Returns whether each tenant has its own bucket. */
        boolean isPerTenant() {
            return this == TENANT || this == ROUTE_AND_TENANT;
        }
    }

    /** Returns whether the limit bounds the rate of requests. */
    boolean hasRate() {
        return ratePerUs < Double.POSITIVE_INFINITY;
    }
}
