package gatelock.api;

/** What the decisions can have done; calls take effect in order, at the time of the call that led to them. */
public interface DecisionActions {

    /** Sends a request to an endpoint; tries of a request number from 0 in the order sent. 0: until the client leaves. */
    void send(String id, String endpoint, long timeoutUs);

    /** Final answer: not done, trying again is harmless, best after {@code pauseUs} (0: no advice). */
    void shed(String id, long pauseUs);

    /** Final answer: errored, nothing promised. */
    void error(String id);

    /** Stops waiting for one attempt; its ending still comes. */
    void cancel(String id, int attemptNo);

    /** Casts this relay's one vote. */
    void vote(int build, int stage, Verdict verdict);

    /** Asks for {@link DecisionEngine#due} with this token. */
    void timer(long inUs, long token);

    /** Subscribes to changes of the list. */
    void followList();

    /** Leaves a line for the operators. */
    void say(String line);
}
