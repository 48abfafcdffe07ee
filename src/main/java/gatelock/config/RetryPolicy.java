package gatelock.config;

import gatelock.api.AttemptResult;
import java.util.Set;

/**
 * What retries a request may have.
 *
 * @param most tries, the first one included
 * @param after endings after which one more may follow
 * @param attemptUs how long one attempt may take; 0: as long as the request
 * @param budget retries as a share of requests
 */
record RetryPolicy(String name, int most, Set<AttemptResult> after, long attemptUs, double budget) {

    /** Where a version names none: what the decisions do is not narrowed. */
    static final RetryPolicy FREE = new RetryPolicy("", Integer.MAX_VALUE, Set.of(AttemptResult.values()), 0, 1);

    /** Whether it lets a request run that may have run before. */
    boolean mayRunTwice() {
        return most > 1 && after.stream().anyMatch(e -> !e.neverRan);
    }
}
