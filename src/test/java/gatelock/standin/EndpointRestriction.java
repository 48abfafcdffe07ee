package gatelock.standin;

import gatelock.api.RequestConstraints;
import gatelock.api.AttemptResult;

/** Bounds that name the units a req may reach, as a pool of a plan does, and nothing else. */
@FunctionalInterface
public interface EndpointRestriction extends RequestConstraints {
    @Override
    default int mostTries() {
        return NONE.mostTries();
    }

    @Override
    default long tryUs() {
        return NONE.tryUs();
    }

    @Override
    default boolean goesOn(long nowUs, AttemptResult last) {
        return NONE.goesOn(nowUs, last);
    }
}
