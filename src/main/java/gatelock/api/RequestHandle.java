package gatelock.api;

/** A request that was taken: all that happens to it later is a call on this handle. */
public interface RequestHandle {

    /**
     * An upstream try has ended.
     *
     * @param over whether the request has its final answer, by this outcome or earlier
     * @param load what the endpoint reported with it, or {@link LoadReport#NONE}
     */
    void ended(long nowUs, int attemptNo, AttemptResult ending, long tookUs, boolean over, LoadReport load);

    /**
     * Whether an attempt that was sent may still go, asked before its first byte: its connection had to come up, and
     * what holds may have changed meanwhile. If not, it ends as {@link AttemptResult#NOT_SENT}.
     */
    boolean mayGo(long nowUs, int attemptNo);

    /** The relay owes no answer any more: the client has left, or the answer's head came as a stream. */
    void concluded(long nowUs);

    /** Whether nothing more can happen to the request, so that the caller may forget it. */
    boolean settled();
}
