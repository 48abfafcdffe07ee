package gatelock.api;

/**
 * A request that a {@link DecisionEngine} has accepted. Everything that happens to it later is a call on this handle.
 */
public interface RequestHandle {

    /**
     * Reports that an attempt has ended.
     *
     * @param nowUs the current time
     * @param attemptNo the number of the attempt
     * @param result how it ended
     * @param tookUs how long it took, in microseconds
     * @param answered whether the request has its final answer, from this attempt or an earlier one, or needs none any
     *     more
     * @param load what the endpoint reported with its answer, or {@link LoadReport#NONE}
     */
    void attemptEnded(long nowUs, int attemptNo, AttemptResult result, long tookUs, boolean answered, LoadReport load);

    /**
     * Whether an attempt may still start. Asked before the first byte is sent if a connection had to be opened, as the
     * state of the endpoint or of the release may have changed meanwhile. An attempt that may not start ends as
     * {@link AttemptResult#NOT_SENT}.
     *
     * @param nowUs the current time
     * @param attemptNo the number of the attempt
     * @return whether it may start
     */
    boolean mayStart(long nowUs, int attemptNo);

    /**
     * Reports that no final answer is owed any more: the client has left, or the response has begun as a stream.
     *
     * @param nowUs the current time
     */
    void responseNoLongerOwed(long nowUs);

    /**
     * Whether nothing more can happen to the request, so that the caller may forget it.
     *
     * @return whether it is answered and all of its attempts have ended
     */
    boolean isSettled();
}
