package gatelock.standin;

import gatelock.api.AttemptResult;
import gatelock.api.RequestConstraints;

/** Bounds that name the endpoints a request may reach, as a pool of a plan does, and nothing else. */
@FunctionalInterface
public interface EndpointRestriction extends RequestConstraints {
    @Override
    default int maxAttempts() {
        return NONE.maxAttempts();
    }

    @Override
    default long attemptTimeoutUs() {
        return NONE.attemptTimeoutUs();
    }

    @Override
    default boolean acquireRetry(long nowUs, AttemptResult last) {
        return NONE.acquireRetry(nowUs, last);
    }
}
