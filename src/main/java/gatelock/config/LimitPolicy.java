package gatelock.config;

/**
 * A bound on requests.
 *
 * @param perUs requests a microsecond, or infinite
 * @param burst requests that may come at once
 * @param inFlight requests not answered yet at a time
 * @param queueLength requests that may wait; 0: none
 * @param waitUs how long one may wait
 */
record LimitPolicy(String name, Per per, double perUs, double burst, int inFlight, int queueLength, long waitUs) {

    /** What has a count of its own. */
    enum Per {
        ALL,
        ROUTE,
        TENANT,
        ROUTE_AND_TENANT;

        boolean byRoute() {
            return this == ROUTE || this == ROUTE_AND_TENANT;
        }

        boolean byTenant() {
            return this == TENANT || this == ROUTE_AND_TENANT;
        }
    }
}
