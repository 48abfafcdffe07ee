package gatelock.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Endpoints of which the decisions have to be notified. Of an endpoint only the last entry counts; the order is that
 * in which endpoints first changed.
 */
final class PendingChanges {
    private Map<String, EndpointEntry> entries = new LinkedHashMap<>();

    /** Notifies the decisions of an entry with the next change. */
    void add(EndpointEntry entry) {
        entries.put(entry.name(), entry);
    }

    /** Returns what is pending, which is not pending any more. */
    List<EndpointEntry> drain() {
        if (entries.isEmpty()) {
            return List.of();
        }
        List<EndpointEntry> drained = List.copyOf(entries.values());
        entries = new LinkedHashMap<>();
        return drained;
    }
}
