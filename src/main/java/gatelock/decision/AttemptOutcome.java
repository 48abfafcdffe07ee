package gatelock.decision;

/**
 * How one try ended: its unit and machine kind, whether it failed, its time per announced work, the load it
 * met and the unit's age.
 */
record AttemptOutcome(Object unit, int kind, boolean failed, boolean late, double slowness, double load,
               long ageUs) {

    double error() {
        return failed ? 1 : 0;
    }
}
