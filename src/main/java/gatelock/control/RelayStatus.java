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

/** The JSON documents in which a running relay describes itself to operators. Their keys are part of its interface. */
final class RelayStatus {
    private static final int US_PER_S = 1_000_000;
    private static final int US_PER_MS = 1_000;

    private final Counters counters;
    private final ConfigUpdater updater;
    private final Supplier<ConfigSubscription> subscription;
    private Supplier<DiscoveryClient.ListStatus> endpointList;

    RelayStatus(Counters counters, ConfigUpdater updater, Supplier<ConfigSubscription> subscription) {
        this.counters = counters;
        this.updater = updater;
        this.subscription = subscription;
    }

    /** Has the status show the state of the endpoint list too. */
    void showEndpointList(Supplier<DiscoveryClient.ListStatus> endpointList) {
        this.endpointList = endpointList;
    }

    /** The version in force, the control service, the endpoint list, limits and counters. */
    Map<String, Object> status(long nowUs) {
        Map<String, Object> status = new LinkedHashMap<>();
        putVersions(status, nowUs);
        ConfigSubscription current = subscription.get();
        if (current != null) {
            status.put("service", current.service().toString());
            status.put("silentForS", (nowUs - current.lastHeardUs()) / US_PER_S);
            status.put("failures", current.failures());
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
        List<VersionTracker.HistoryEntry> past = versions.history();
        CompiledConfig config = updater.admission().activeConfig();
        status.put("inForce", textOrNull(versions.active()));
        status.put("held", textOrNull(versions.latestAccepted()));
        status.put(
                "inForceForS",
                past.isEmpty() ? null : (nowUs - past.get(past.size() - 1).sinceUs()) / US_PER_S);
        status.put("pinned", versions.pinned());
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
        boolean changedOnce = list.changedUs() >= 0;
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("units", list.listed());
        fields.put("byScope", list.usesSubset());
        fields.put("inScope", list.inScope());
        fields.put("services", list.services());
        fields.put("index", list.index());
        fields.put("lastChangeMs", changedOnce ? list.changedUs() / US_PER_MS : null);
        fields.put("unchangedForS", changedOnce ? (nowUs - list.changedUs()) / US_PER_S : null);
        fields.put("tooLong", list.tooLongLists());
        return fields;
    }

    /** Which versions were in force, since when, from what source, whose they are and why they were made. */
    Map<String, Object> history() {
        List<Map<String, Object>> history = new ArrayList<>();
        for (VersionTracker.HistoryEntry past : updater.versions().history()) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("version", past.version().toString());
            fields.put("number", past.version().number());
            fields.put("hash", past.version().hash());
            fields.put("sinceMs", past.sinceUs() / US_PER_MS);
            fields.put("from", past.reason());
            fields.put("by", past.author());
            fields.put("note", past.note());
            history.add(fields);
        }
        return Map.of("history", history);
    }
}
