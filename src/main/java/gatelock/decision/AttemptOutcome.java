package gatelock.decision;

/**
 * The outcome of one attempt, as evidence about its build.
 *
 * @param endpoint the {@link EndpointState} if this relay made the attempt; for an outcome from the release
 *     controller's sample, whose endpoints are unknown, a number that represents its route
 * @param instanceType the endpoint's instance type; in a sample, a number that represents the route
 * @param failed whether the attempt ended in an error
 * @param missedObjective whether it took longer than its route's latency objective
 * @param slowness its latency divided by its announced cost
 * @param load the estimated mean number of requests that all relays together had in flight at the endpoint
 * @param ageUs the time since the endpoint started, {@link Long#MAX_VALUE} if it started long ago
 */
record AttemptOutcome(
        Object endpoint,
        int instanceType,
        boolean failed,
        boolean missedObjective,
        double slowness,
        double load,
        long ageUs) {

    /** Returns 1 for a failed attempt, else 0, so that the mean over outcomes is the error rate. */
    double error() {
        return failed ? 1 : 0;
    }
}
