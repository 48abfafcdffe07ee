package gatelock.discovery;

/**
 * Receives the outcome of each poll of the endpoint list. Exactly one method is called for each poll, except that
 * {@link #fullListApplied} may be called in addition.
 */
interface ListResponseListener {

    /**
     * The list is well formed.
     *
     * @param index the index from which the next watch starts
     * @param changed whether the list contains any change
     * @param apply applies the list; to be called if it contains a change, after the next poll has been queued
     */
    void accepted(long index, boolean changed, Runnable apply);

    /** A full list was applied to the subset. Called in addition to {@link #accepted}. */
    void fullListApplied();

    /** The list is malformed and has no effect. */
    void rejected(String reason);

    /**
     * A list of many entries declared only after its entries that its type, a full list or changes, is not the
     * requested one. The next poll has to request a full list, which can then be read.
     */
    void rejectedForUnexpectedType(String reason);

    /** The list exceeds the size limit and has no effect. */
    void tooLong(String reason);

    /** No list began to arrive in time, or the connection failed before that. */
    void notReceived();
}
