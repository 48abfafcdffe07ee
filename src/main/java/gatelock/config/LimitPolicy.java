package gatelock.config;

/**
 * A limit on requests: a token bucket, a bound on requests in flight and a queue, each of which may be absent.
 *
 * @param scope what has a bucket of its own
 * @param ratePerUs tokens a microsecond, one for each request; infinite: no bound on the rate
 * @param burst capacity of the token bucket
 * @param maxInFlight requests that may be unanswered at a time
 * @param maxQueueLength requests that may wait; 0: none
 * @param maxWaitUs how long a request may wait, in microseconds
 */
record LimitPolicy(
        String name, Scope scope, double ratePerUs, double burst, int maxInFlight, int maxQueueLength, long maxWaitUs) {

    /** What has a bucket of its own. The constants are mapped by name from the words of a version's text. */
    enum Scope {
        ALL,
        ROUTE,
        TENANT,
        ROUTE_AND_TENANT;

        boolean isPerRoute() {
            return this == ROUTE || this == ROUTE_AND_TENANT;
        }

        boolean isPerTenant() {
            return this == TENANT || this == ROUTE_AND_TENANT;
        }
    }

    /** Whether the limit bounds the rate at all. */
    boolean hasRate() {
        return ratePerUs < Double.POSITIVE_INFINITY;
    }
}
