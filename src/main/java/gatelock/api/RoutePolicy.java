package gatelock.api;

/**
 * The policy of one route.
 *
 * @param repeat whether its requests may be retried after they may have been executed
 * @param group the endpoints that share their deduplication state
 * @param rememberUs the deduplication window: how long an endpoint remembers an idempotency key, in microseconds
 * @param objectiveUs the latency objective, in microseconds
 * @param value the priority weight of a request
 */
public record RoutePolicy(Repeat repeat, Group group, long rememberUs, long objectiveUs, double value) {

    /** Whether a request may be executed more than once. */
    public enum Repeat {
        /** It is idempotent. */
        RETRIABLE,
        /** It bears an idempotency key, by which endpoints drop a repeat within the deduplication window. */
        DEDUPED,
        /** It must not be executed twice. */
        NON_RETRIABLE
    }

    /** The endpoints among which a repeat of a deduplicated request is dropped. */
    public enum Group {
        /** All endpoints. */
        ALL,
        /** The endpoints of one zone. */
        ZONE,
        /** The endpoints of one cell. */
        CELL
    }
}
