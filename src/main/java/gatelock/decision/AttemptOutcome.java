package gatelock.decision;

/**
 * How one attempt ended: its endpoint and machine kind, whether it failed, its time per announced work, the load it
 * met and the endpoint's age.
 */
record AttemptOutcome(
        Object endpoint, int kind, boolean failed, boolean late, double slowness, double load, long ageUs) {

    double error() {
        return failed ? 1 : 0;
    }
}
