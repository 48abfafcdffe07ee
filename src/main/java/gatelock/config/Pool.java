package gatelock.config;

import java.util.Map;
import java.util.Set;

/**
 * A named set of endpoints that serve the same routes.
 *
 * @param zones indices of the zones whose endpoints belong to it; empty: any zone
 * @param kinds indices of the endpoint kinds that belong to it; empty: any kind
 * @param labels labels that an endpoint must have, all of them
 * @param fallback name of the pool that serves when too few endpoints of this one are ready; null: none
 * @param minReadyShare share of the endpoints that the pool recently had, below which its fallback serves
 */
record Pool(
        String name,
        Set<Integer> zones,
        Set<Integer> kinds,
        Map<String, String> labels,
        String fallback,
        double minReadyShare) {

    /** Returns the selection criteria alone, so that pools that choose the same endpoints are equal. */
    Pool selector() {
        return new Pool("", zones, kinds, labels, null, 0);
    }

    /** Whether an endpoint with these properties belongs to the pool. */
    boolean selects(int zone, int kind, Map<String, String> endpointLabels) {
        return (zones.isEmpty() || zones.contains(zone))
                && (kinds.isEmpty() || kinds.contains(kind))
                && (labels.isEmpty() || endpointLabels.entrySet().containsAll(labels.entrySet()));
    }
}
