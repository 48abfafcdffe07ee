package gatelock.decision;

/** An assessment of a build together with the figures it rests on. */
record Finding(Assessment assessment, Evidence evidence) {

    boolean isFail() {
        return assessment.isFail();
    }
}
