package gatelock.api;

/** A relay's vote on the canary build. */
public enum Verdict {
    /** No vote: there is not enough evidence. */
    NONE,
    /** Promote the build to the next stage. */
    ON,
    /** Keep the build at its stage. */
    HOLD,
    /** Roll the build back. */
    BACK
}
