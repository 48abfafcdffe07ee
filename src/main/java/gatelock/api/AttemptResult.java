package gatelock.api;

/** How one attempt at an endpoint ended. */
public enum AttemptResult {
    /** The endpoint answered with status 200. */
    COMPLETED(false),
    /** The endpoint answered with another status, which does not prove that the request was not executed. */
    ERRORED(false),
    /** The endpoint rejected the request and stated that it never executed it. */
    TURNED_AWAY(true),
    /** No answer came within the attempt's timeout. */
    TIMED_OUT(false),
    /** No connection came up, or it broke before the last byte of the request was written. */
    NOT_CONNECTED(true),
    /** The connection broke, or the answer was unreadable, after the request had been written completely. */
    BROKEN_OFF(false),
    /** The attempt was cancelled on behalf of the decision engine. */
    CANCELLED(false),
    /** The attempt was abandoned before the first byte was sent. */
    NOT_SENT(true);

    /** Whether this result proves that the endpoint never executed the request. */
    public final boolean neverExecuted;

    AttemptResult(boolean neverExecuted) {
        this.neverExecuted = neverExecuted;
    }
}
