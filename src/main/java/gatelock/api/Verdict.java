package gatelock.api;

/** A vote on the canary build. */
public enum Verdict {
    NONE,
    ON,
    HOLD,
    BACK
}
