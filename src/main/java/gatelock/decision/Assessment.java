package gatelock.decision;

/** What outcomes say of a build; SUSPECT: not a fail, but not to be passed over either. */
enum Assessment {
    NO_VERDICT,
    PASS,
    CLOSE,
    SUSPECT,
    SLOW,
    ERRORS;

    boolean fails() {
        return this == SLOW || this == ERRORS;
    }
}
