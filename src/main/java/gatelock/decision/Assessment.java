package gatelock.decision;

/** The result of analyzing the outcomes of a build. */
enum Assessment {
    /** There are too few outcomes for a result. */
    NO_VERDICT,
    /** The error rate and the latency are below their thresholds with confidence. */
    PASS,
    /** A confidence interval contains its threshold. */
    INCONCLUSIVE,
    /** The build does not fail, but is not to be promoted without more evidence. */
    SUSPECT,
    /** The latency is above its threshold with confidence. */
    SLOW,
    /** The error rate is above its threshold with confidence. */
    ERRORS;

    /** Whether the build fails with confidence. */
    boolean isFailure() {
        return this == SLOW || this == ERRORS;
    }
}
