package gatelock.config;

import java.util.Map;
import java.util.Set;

/**
 * Endpoints that serve together.
 *
 * @param zones by place; empty: any
 * @param kinds by place; empty: any
 * @param labels that an endpoint must bear, all of them
 * @param fallback serves when too few of these do; null: none
 * @param leastShare of the endpoints that this pool lately had
 */
record Pool(
        String name,
        Set<Integer> zones,
        Set<Integer> kinds,
        Map<String, String> labels,
        String fallback,
        double leastShare) {

    /** What it chooses by, and nothing else. */
    Pool bare() {
        return new Pool("", zones, kinds, labels, null, 0);
    }

    boolean selects(int zone, int kind, Map<String, String> borne) {
        return (zones.isEmpty() || zones.contains(zone))
                && (kinds.isEmpty() || kinds.contains(kind))
                && (labels.isEmpty() || borne.entrySet().containsAll(labels.entrySet()));
    }
}
