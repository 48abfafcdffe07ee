package gatelock.api;

/**
 * The policy of one route.
 *
 * @param retrySafety whether its requests may be retried after they may have been executed
 * @param dedupScope the endpoints that share their deduplication state
 * @param dedupWindowUs the deduplication window: how long an endpoint remembers an idempotency key, in microseconds
 * @param latencyObjectiveUs the latency objective, in microseconds
 * @param priorityWeight the priority weight of a request
 */
public record RoutePolicy(
        RetrySafety retrySafety,
        DedupScope dedupScope,
        long dedupWindowUs,
        long latencyObjectiveUs,
        double priorityWeight) {

    /** Whether a request may be executed more than once. */
    public enum RetrySafety {
        /** It is idempotent. */
        RETRIABLE,
        /** It bears an idempotency key, by which endpoints drop a repeat within the deduplication window. */
        DEDUPED,
        /** It must not be executed twice. */
        NON_RETRIABLE
    }

    /** The endpoints among which a repeat of a deduplicated request is dropped. */
    public enum DedupScope {
        /** All endpoints. */
        ALL,
        /** The endpoints of one zone. */
        ZONE,
        /** The endpoints of one cell. */
        CELL
    }
}
