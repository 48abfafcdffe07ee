package gatelock.fleet;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/** When an endpoint became available, or unavailable, in the eyes of one observer. */
final class StatusHistory {
    private final TreeMap<Long, Boolean> unavailableByTimeUs = new TreeMap<>();

    /** Unavailable from a time on, unless something is already known of just that time. */
    void addUnavailableIfAbsent(long atUs) {
        unavailableByTimeUs.putIfAbsent(atUs, true);
    }

    void addUnavailable(long atUs) {
        unavailableByTimeUs.put(atUs, true);
    }

    void addAvailable(long atUs) {
        unavailableByTimeUs.put(atUs, false);
    }

    /** Since when the endpoint has been unavailable without a break at a time; empty: it is available then. */
    OptionalLong unavailableSinceUs(long atUs) {
        Map.Entry<Long, Boolean> current = unavailableByTimeUs.floorEntry(atUs);
        if (current == null || !current.getValue()) {
            return OptionalLong.empty();
        }
        // A second notice of the same departure must not begin a new grace period.
        long sinceUs = current.getKey();
        Map.Entry<Long, Boolean> earlier = unavailableByTimeUs.lowerEntry(sinceUs);
        while (earlier != null && earlier.getValue()) {
            sinceUs = earlier.getKey();
            earlier = unavailableByTimeUs.lowerEntry(sinceUs);
        }
        return OptionalLong.of(sinceUs);
    }
}
