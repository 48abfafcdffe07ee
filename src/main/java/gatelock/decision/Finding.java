package gatelock.decision;

/** An assessment of a build and the evidence that it is based on. */
record Finding(Assessment assessment, Evidence evidence) {

    /** Whether the build fails with confidence. */
    boolean isFailure() {
        return assessment.isFailure();
    }
}
