package gatelock.standin;

import gatelock.api.DecisionActions;
import gatelock.api.Verdict;

/** A way out on which nothing is done; whoever looks at some of its calls says which. */
public interface NoOpActions extends DecisionActions {
    @Override
    default void send(String id, String endpoint, long timeoutUs) {}

    @Override
    default void shed(String id, long pauseUs) {}

    @Override
    default void error(String id) {}

    @Override
    default void cancel(String id, int attemptNo) {}

    @Override
    default void vote(int build, int stage, Verdict verdict) {}

    @Override
    default void timer(long inUs, long token) {}

    @Override
    default void followList() {}

    @Override
    default void say(String line) {}
}
