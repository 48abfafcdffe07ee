package gatelock.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Changes of which the decision engine has not been notified yet. Only the last entry of an endpoint is kept; endpoints
 * are in the order in which they first changed.
 */
final class PendingChanges {
    private Map<String, EndpointEntry> entries = new LinkedHashMap<>();

    /** Adds an entry, replacing a pending entry of the same endpoint. */
    void add(EndpointEntry entry) {
        entries.put(entry.name(), entry);
    }

    /** Returns the pending entries and clears them. */
    List<EndpointEntry> drain() {
        if (entries.isEmpty()) {
            return List.of();
        }
        List<EndpointEntry> drained = List.copyOf(entries.values());
        entries = new LinkedHashMap<>();
        return drained;
    }
}
