package gatelock.standin;

import gatelock.api.AttemptResult;
import gatelock.api.RequestConstraints;

/**
 * Request constraints that only restrict the endpoints a request may reach, as a pool of a configuration version does; the
 * other limits are those of {@link RequestConstraints#NONE}.
 */
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
