package gatelock.standin;

import gatelock.api.DecisionActions;
import gatelock.api.Verdict;

/** Decision actions that do nothing; a test overrides the actions that it observes. */
public interface NoOpActions extends DecisionActions {
    @Override
    default void sendAttempt(String id, String endpoint, long timeoutUs) {}

    @Override
    default void shedRequest(String id, long pauseUs) {}

    @Override
    default void failRequest(String id) {}

    @Override
    default void cancelAttempt(String id, int attemptNo) {}

    @Override
    default void castVote(int build, int stage, Verdict verdict) {}

    @Override
    default void scheduleTimer(long inUs, long token) {}

    @Override
    default void subscribeToEndpoints() {}

    @Override
    default void log(String line) {}
}
