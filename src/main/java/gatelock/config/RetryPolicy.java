package gatelock.config;

import gatelock.api.AttemptResult;

import java.util.Set;

/**
 * What further tries a req may have.
 *
 * @param most tries, the first one included
 * @param after endings after which one more may follow
 * @param tryUs how long one try may take; 0: as long as the req
 * @param budget further tries as a share of reqs
 */
record RetryPolicy(String name, int most, Set<AttemptResult> after, long tryUs, double budget) {

    /** Where a version names none: what the decisions do is not narrowed. */
    static final RetryPolicy FREE = new RetryPolicy("", Integer.MAX_VALUE, Set.of(AttemptResult.values()), 0, 1);

    /** Whether it lets a req run that may have run before. */
    boolean mayRunTwice() {
        return most > 1 && after.stream().anyMatch(e -> !e.neverRan);
    }
}
