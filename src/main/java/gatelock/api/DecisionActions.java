package gatelock.api;

/**
 * The actions that a {@link DecisionEngine} can order. They take effect in the order of the calls, at the time of the
 * engine call during which they were ordered. They never call back into the engine before that call has returned.
 */
public interface DecisionActions {

    /**
     * Sends a request to an endpoint. The attempts of a request are numbered from 0 in the order of these calls.
     *
     * @param id the request
     * @param endpoint the endpoint's name, as listed by discovery
     * @param timeoutUs how long the attempt may take, in microseconds; 0 for as long as the client waits
     */
    void sendAttempt(String id, String endpoint, long timeoutUs);

    /**
     * Gives the final answer that the request was not executed and may safely be retried.
     *
     * @param id the request
     * @param retryAfterUs the delay after which the client should retry, in microseconds; 0 for no advice
     */
    void shedRequest(String id, long retryAfterUs);

    /**
     * Gives the final answer that the request failed; it may have been executed.
     *
     * @param id the request
     */
    void failRequest(String id);

    /**
     * Stops waiting for one attempt. Its end is still reported, as {@link AttemptResult#CANCELLED} unless it had ended
     * before.
     *
     * @param id the request
     * @param attemptNo the number of the attempt
     */
    void cancelAttempt(String id, int attemptNo);

    /**
     * Casts this relay's one vote at the release controller.
     *
     * @param build the build that is voted on
     * @param stage the stage of its rollout
     * @param verdict the vote
     */
    void castVote(int build, int stage, Verdict verdict);

    /**
     * Schedules one call of {@link DecisionEngine#timerFired}.
     *
     * @param delayUs the delay in microseconds
     * @param token the token that is passed back in the call
     */
    void scheduleTimer(long delayUs, long token);

    /** Subscribes to changes of the endpoint list; has no effect if the relay is subscribed already. */
    void subscribeToEndpoints();

    /**
     * Writes a line to the operators' log.
     *
     * @param line the message, without a line break
     */
    void log(String line);
}
