package gatelock.config;

import gatelock.api.AttemptResult;
import java.util.Set;

/**
 * Which retries a request may have. A policy only narrows what the decision engine would do by itself.
 *
 * @param maxAttempts attempts of a request, the first one included
 * @param retryableResults results of an attempt after which another one may follow
 * @param attemptTimeoutUs how long one attempt may take, in microseconds; 0: as long as the request
 * @param budgetRatio retries as a share of the requests under this policy
 */
record RetryPolicy(
        String name, int maxAttempts, Set<AttemptResult> retryableResults, long attemptTimeoutUs, double budgetRatio) {

    /** Used where a version names no policy: the decision engine is not narrowed. */
    static final RetryPolicy UNRESTRICTED =
            new RetryPolicy("", Integer.MAX_VALUE, Set.of(AttemptResult.values()), 0, 1);

    /** Whether the policy allows a retry after an attempt that may have been executed. */
    boolean mayExecuteTwice() {
        return maxAttempts > 1 && retryableResults.stream().anyMatch(result -> !result.neverRan);
    }
}
