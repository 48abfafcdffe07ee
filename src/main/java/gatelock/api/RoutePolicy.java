package gatelock.api;

/** What was agreed for the reqs of one route. */
public record RoutePolicy(Repeat repeat, Group group, long rememberUs, long objectiveUs, double value) {

    /** Whether a req may run again. */
    public enum Repeat { RETRIABLE, DEDUPED, NON_RETRIABLE }

    /** Which units drop a repeat of a deduped req. */
    public enum Group { ALL, ZONE, CELL }
}
