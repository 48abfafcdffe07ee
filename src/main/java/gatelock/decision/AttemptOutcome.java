package gatelock.decision;

/**
 * How one attempt ended, as evidence about its build.
 *
 * @param endpoint the {@link EndpointState} for an outcome of this relay's own; for one of the release controller's
 *     sample, whose endpoints are unknown, a number that stands for its route
 * @param kind the machine kind; a number that stands for the route in a sample
 * @param failed whether the attempt ended in an error
 * @param late whether it took longer than its route's latency objective
 * @param slowness its time divided by its announced work
 * @param load how many requests were in flight at the endpoint, for all relays, on average
 * @param ageUs the time since the endpoint started, {@link Long#MAX_VALUE} where it started long ago
 */
record AttemptOutcome(
        Object endpoint, int kind, boolean failed, boolean late, double slowness, double load, long ageUs) {

    /** 1 for a failed attempt, else 0: the mean over outcomes is the share of errors. */
    double error() {
        return failed ? 1 : 0;
    }
}
