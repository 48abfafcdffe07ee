package gatelock.api;

/** How an upstream try ended. */
public enum AttemptResult {
    COMPLETED(false),
    ERRORED(false),
    TURNED_AWAY(true),
    TIMED_OUT(false),
    NOT_CONNECTED(true),
    BROKEN_OFF(false),
    CANCELLED(false),
    NOT_SENT(true);

    /** Whether this ending proves that the request never ran there. */
    public final boolean neverRan;

    AttemptResult(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
