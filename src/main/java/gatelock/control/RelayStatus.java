package gatelock.control;

import gatelock.config.CompiledConfig;
import gatelock.config.VersionTracker;
import gatelock.discovery.DiscoveryClient;
import gatelock.state.Counters;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Builds the JSON documents that describe a running relay to its operators. The keys are part of the public interface
 * and must not change.
 */
final class RelayStatus {
    private static final int US_PER_S = 1_000_000;
    private static final int US_PER_MS = 1_000;

    private final Counters counters;
    private final ConfigUpdater updater;
    private final Supplier<ConfigSubscription> subscription;
    private Supplier<DiscoveryClient.ListStatus> endpointList;

    /**
     * Creates a status without an endpoint list.
     *
     * @param subscription supplies the subscription to the control service, or null if there is none
     */
    RelayStatus(Counters counters, ConfigUpdater updater, Supplier<ConfigSubscription> subscription) {
        this.counters = counters;
        this.updater = updater;
        this.subscription = subscription;
    }

    /** Sets the source of the endpoint list status that the status document includes. */
    void setEndpointListStatus(Supplier<DiscoveryClient.ListStatus> endpointList) {
        this.endpointList = endpointList;
    }

    /** Returns the state of the active version, the control service, the endpoint list, the limits and the counters. */
    Map<String, Object> status(long nowUs) {
        Map<String, Object> status = new LinkedHashMap<>();
        putVersions(status, nowUs);
        ConfigSubscription current = subscription.get();
        if (current != null) {
            status.put("service", current.service().toString());
            status.put("silentForS", (nowUs - current.lastResponseUs()) / US_PER_S);
            status.put("failures", current.consecutiveFailures());
        }
        if (endpointList != null) {
            status.put("list", endpointList(nowUs, endpointList.get()));
        }
        status.put("admission", updater.admission().state(nowUs));
        status.put("counters", counters.toString());
        return status;
    }

    private void putVersions(Map<String, Object> status, long nowUs) {
        VersionTracker versions = updater.versions();
        List<VersionTracker.HistoryEntry> history = versions.history();
        CompiledConfig config = updater.admission().activeConfig();
        status.put("inForce", textOrNull(versions.active()));
        status.put("held", textOrNull(versions.latestAccepted()));
        status.put(
                "inForceForS",
                history.isEmpty()
                        ? null
                        : (nowUs - history.get(history.size() - 1).activatedUs()) / US_PER_S);
        status.put("pinned", versions.isPinned());
        status.put("routes", config == null ? 0 : config.routeCount());
        status.put("refusals", versions.rejectionCount());
        status.put("met", versions.offerCounts());
        status.put("longestSwapUs", updater.longestSwapUs());
        status.put("latestCompileUs", updater.latestCompileUs());
    }

    private static String textOrNull(Object value) {
        return value == null ? null : value.toString();
    }

    private static Map<String, Object> endpointList(long nowUs, DiscoveryClient.ListStatus list) {
        boolean hasChanged = list.changedUs() >= 0;
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("units", list.listed());
        fields.put("byScope", list.usesSubset());
        fields.put("inScope", list.inScope());
        fields.put("services", list.services());
        fields.put("index", list.index());
        fields.put("lastChangeMs", hasChanged ? list.changedUs() / US_PER_MS : null);
        fields.put("unchangedForS", hasChanged ? (nowUs - list.changedUs()) / US_PER_S : null);
        fields.put("tooLong", list.tooLongLists());
        return fields;
    }

    /** Returns the activations of versions, each with its time, its source, and the author and note of the version. */
    Map<String, Object> history() {
        List<Map<String, Object>> history = new ArrayList<>();
        for (VersionTracker.HistoryEntry entry : updater.versions().history()) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("version", entry.version().toString());
            fields.put("number", entry.version().number());
            fields.put("hash", entry.version().hash());
            fields.put("sinceMs", entry.activatedUs() / US_PER_MS);
            fields.put("from", entry.reason());
            fields.put("by", entry.author());
            fields.put("note", entry.note());
            history.add(fields);
        }
        return Map.of("history", history);
    }
}
