package gatelock.decision;

/** What outcomes say of a build. */
enum Assessment {
    /** There are too few outcomes to say anything. */
    NO_VERDICT,
    /** Errors and latency are below their bars with confidence. */
    PASS,
    /** An interval contains its bar. */
    CLOSE,
    /** Not a fail, but not to be passed over either. */
    SUSPECT,
    /** Latency is above its bar with confidence. */
    SLOW,
    /** Errors are above their bar with confidence. */
    ERRORS;

    /** Whether it is a confident fail. */
    boolean isFail() {
        return this == SLOW || this == ERRORS;
    }
}
