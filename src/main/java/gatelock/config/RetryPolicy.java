package gatelock.config;

import gatelock.api.AttemptResult;
import java.util.Set;

/**
 * Determines which retries a request may have. A policy can only restrict the retries that the decision engine would
 * make without it.
 *
 * @param name the policy's name; empty for {@link #UNRESTRICTED}
 * @param maxAttempts maximum number of attempts of a request, including the first
 * @param retryableResults results of an attempt after which another attempt may follow
 * @param attemptTimeoutUs timeout of one attempt in microseconds; 0 if only the request's deadline bounds it
 * @param budgetRatio maximum ratio of retries to requests under this policy
 */
record RetryPolicy(
        String name, int maxAttempts, Set<AttemptResult> retryableResults, long attemptTimeoutUs, double budgetRatio) {

    /** Used if a version names no policy: it does not restrict the decision engine. */
    static final RetryPolicy UNRESTRICTED =
            new RetryPolicy("", Integer.MAX_VALUE, Set.of(AttemptResult.values()), 0, 1);

    /** Returns whether the policy allows a retry after an attempt that may have been executed. */
    boolean mayExecuteTwice() {
        return maxAttempts > 1 && retryableResults.stream().anyMatch(result -> !result.neverExecuted);
    }
}
