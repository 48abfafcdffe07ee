package gatelock.fleet;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/** The times at which an endpoint became available or unavailable according to one observer. */
final class StatusHistory {
    private final TreeMap<Long, Boolean> unavailableByTimeUs = new TreeMap<>();

    /** Adds that the endpoint became unavailable, unless there is already an entry for exactly that time. */
    void addUnavailableIfAbsent(long atUs) {
        unavailableByTimeUs.putIfAbsent(atUs, true);
    }

    /** Adds that the endpoint became unavailable, replacing any entry for exactly that time. */
    void addUnavailable(long atUs) {
        unavailableByTimeUs.put(atUs, true);
    }

    /** Adds that the endpoint became available, replacing any entry for exactly that time. */
    void addAvailable(long atUs) {
        unavailableByTimeUs.put(atUs, false);
    }

    /**
     * Returns the start of the continuous unavailability at a time; empty if the endpoint is available at that time.
     */
    OptionalLong unavailableSinceUs(long atUs) {
        Map.Entry<Long, Boolean> current = unavailableByTimeUs.floorEntry(atUs);
        if (current == null || !current.getValue()) {
            return OptionalLong.empty();
        }
        // A repeated notice of the same unavailability must not start a new grace period.
        long sinceUs = current.getKey();
        Map.Entry<Long, Boolean> earlier = unavailableByTimeUs.lowerEntry(sinceUs);
        while (earlier != null && earlier.getValue()) {
            sinceUs = earlier.getKey();
            earlier = unavailableByTimeUs.lowerEntry(sinceUs);
        }
        return OptionalLong.of(sinceUs);
    }
}
