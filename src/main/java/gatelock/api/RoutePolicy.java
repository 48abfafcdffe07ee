package gatelock.api;

/** What was agreed for the requests of one route. */
public record RoutePolicy(Repeat repeat, Group group, long rememberUs, long objectiveUs, double value) {

    /** Whether a request may run again. */
    public enum Repeat {
        RETRIABLE,
        DEDUPED,
        NON_RETRIABLE
    }

    /** Which endpoints drop a repeat of a deduped request. */
    public enum Group {
        ALL,
        ZONE,
        CELL
    }
}
