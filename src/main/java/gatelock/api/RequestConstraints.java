package gatelock.api;

/**
 * What is set for one request beyond the deployment's settings. Constraints can only restrict: they never allow a
 * decision engine anything that it could not do without them.
 */
public interface RequestConstraints {

    /** Constrains nothing. */
    RequestConstraints NONE = new RequestConstraints() {
        @Override
        public boolean allowsEndpoint(String endpoint) {
            return true;
        }

        @Override
        public int maxAttempts() {
            return Integer.MAX_VALUE;
        }

        @Override
        public long attemptTimeoutUs() {
            return 0;
        }

        @Override
        public boolean acquireRetry(long nowUs, AttemptResult last) {
            return true;
        }
    };

    /**
     * Whether an attempt may go to an endpoint.
     *
     * @param endpoint the endpoint's name
     * @return whether it may be used
     */
    boolean allowsEndpoint(String endpoint);

    /**
     * The maximum number of attempts, including the first.
     *
     * @return at least 1
     */
    int maxAttempts();

    /**
     * The timeout of one attempt.
     *
     * @return microseconds; 0 for as long as the request may take
     */
    long attemptTimeoutUs();

    /**
     * Requests one more attempt. This is not a pure query: an attempt that is granted is charged to the retry budget.
     *
     * @param nowUs the current time
     * @param last how the previous attempt ended
     * @return whether it is granted
     */
    boolean acquireRetry(long nowUs, AttemptResult last);
}
