package gatelock.api;

/** An endpoint as the list shows it; {@code startUs} is its latest start, 0 for long past. */
public record Endpoint(String endpoint, int build, int zone, int kind, int cell, Health health, long startUs) {

    /** What the list knows of the process. */
    public enum Health {
        READY,
        DRAINING,
        GONE
    }
}
