package gatelock.discovery;

/** Learns the outcome of each poll of the endpoint list: exactly one of these methods is called for a poll. */
interface ListResponseListener {

    /**
     * The list is well formed.
     *
     * @param index from which the next watch starts
     * @param changed whether the list says anything new
     * @param apply applies the list; to be called where it changed, after the next poll has been queued
     */
    void accepted(long index, boolean changed, Runnable apply);

    /** A full list was applied to the subset; called in addition to {@link #accepted}. */
    void fullListApplied();

    /** The list is malformed and changes nothing. */
    void rejected(String reason);

    /**
     * A long list said only behind its entries that it is not what was asked for, a full list or changes. It can be
     * read when a full list is asked for, so that is to be done next.
     */
    void rejectedAsUnannounced(String reason);

    /** The list is longer than is accepted here, and changes nothing. */
    void tooLong(String reason);

    /** No list began to arrive in time, or the connection failed before one did. */
    void silent();
}
