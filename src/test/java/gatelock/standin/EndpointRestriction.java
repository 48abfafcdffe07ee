package gatelock.standin;

import gatelock.api.AttemptResult;
import gatelock.api.RequestConstraints;

/** Bounds that name the endpoints a request may reach, as a pool of a plan does, and nothing else. */
@FunctionalInterface
public interface EndpointRestriction extends RequestConstraints {
    @Override
    default int mostAttempts() {
        return NONE.mostAttempts();
    }

    @Override
    default long attemptUs() {
        return NONE.attemptUs();
    }

    @Override
    default boolean goesOn(long nowUs, AttemptResult last) {
        return NONE.goesOn(nowUs, last);
    }
}
