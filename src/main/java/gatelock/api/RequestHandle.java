package gatelock.api;

/**
 * A request that a {@link DecisionEngine} has accepted. All later events of the request are reported on this handle.
 */
public interface RequestHandle {

    /**
     * Reports that an attempt has ended.
     *
     * @param nowUs the current time
     * @param attemptNo the number of the attempt
     * @param result how it ended
     * @param durationUs how long it took, in microseconds
     * @param answered whether the request got its final answer, from this attempt or an earlier one, or no longer needs
     *     one
     * @param load what the endpoint reported with its answer, or {@link LoadReport#NONE}
     */
    void attemptEnded(
            long nowUs, int attemptNo, AttemptResult result, long durationUs, boolean answered, LoadReport load);

    /**
     * Whether an attempt may still start. If a connection had to be opened, this is asked before the first byte is
     * sent, as the state of the endpoint or of the release may have changed meanwhile. An attempt that may not start
     * ends as {@link AttemptResult#NOT_SENT}.
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
     * Whether no further event of the request is possible, so that the caller may drop it.
     *
     * @return whether it is answered and all of its attempts have ended
     */
    boolean isSettled();
}
