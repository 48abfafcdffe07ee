package gatelock.config;

import java.util.Map;
import java.util.Set;

/**
 * A named set of endpoints that serve the same routes.
 *
 * @param name the pool's name; empty in the result of {@link #selector()}
 * @param zones indices of the zones whose endpoints belong to the pool; empty for any zone
 * @param instanceTypes indices of the instance types whose endpoints belong to the pool; empty for any type
 * @param labels labels that an endpoint must all have
 * @param fallback name of the pool that serves when too few endpoints of this one are ready; null if there is none
 * @param minReadyShare the fallback serves when fewer endpoints are ready than this share of the recent peak
 */
record Pool(
        String name,
        Set<Integer> zones,
        Set<Integer> instanceTypes,
        Map<String, String> labels,
        String fallback,
        double minReadyShare) {

    /** Returns a pool with the selection criteria only; the results are equal for pools with the same criteria. */
    Pool selector() {
        return new Pool("", zones, instanceTypes, labels, null, 0);
    }

    /** Returns whether an endpoint with these properties belongs to the pool. */
    boolean selects(int zone, int instanceType, Map<String, String> endpointLabels) {
        return (zones.isEmpty() || zones.contains(zone))
                && (instanceTypes.isEmpty() || instanceTypes.contains(instanceType))
                && (labels.isEmpty() || endpointLabels.entrySet().containsAll(labels.entrySet()));
    }
}
