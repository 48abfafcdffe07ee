package gatelock.discovery;

import gatelock.api.Endpoint;
import gatelock.membership.EndpointEntry;
import gatelock.net.JsonObject;
import gatelock.net.MalformedMessageException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Converts the entries of an endpoint list; the only place where the form of an entry is checked. */
final class EndpointEntryReader {
    private static final int MAX_LABELS = 32;
    /** How far an endpoint's start may lie ahead of this relay's clock. */
    private static final long MAX_CLOCK_SKEW_US = 60_000_000;

    private static final Map<String, Endpoint.Health> HEALTH_BY_STATUS = Map.of(
            "in_service",
            Endpoint.Health.READY,
            "terminating",
            Endpoint.Health.DRAINING,
            "terminated",
            Endpoint.Health.GONE);

    private final List<String> zones;
    private final List<String> kinds;
    private final ServiceNameExtractor serviceNames;

    /**
     * Creates a reader.
     *
     * @param zones the names of the zones, in the order of their numbers
     * @param kinds the names of the machine types, in the order of their numbers
     */
    EndpointEntryReader(List<String> zones, List<String> kinds, ServiceNameExtractor serviceNames) {
        this.zones = zones;
        this.kinds = kinds;
        this.serviceNames = serviceNames;
    }

    /**
     * Reads all entries of a buffered list, in its order.
     *
     * @throws IOException where an entry is malformed or two have the same name
     */
    List<EndpointEntry> readAll(JsonObject list, long nowUs) throws IOException {
        List<EndpointEntry> entries = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (JsonObject object : list.objects("endpoints")) {
            EndpointEntry entry = read(object, nowUs);
            if (!names.add(entry.name())) {
                throw new MalformedMessageException("expected each endpoint once, found twice " + entry.name());
            }
            entries.add(entry);
        }
        return entries;
    }

    /**
     * Reads one entry. The form of its address is checked, but its host is not looked up.
     *
     * @throws IOException where the entry is malformed
     */
    EndpointEntry read(JsonObject entry, long nowUs) throws IOException {
        String endpoint = entry.text("name");
        Endpoint.Health health = HEALTH_BY_STATUS.get(entry.text("status"));
        if (health == null) {
            throw new MalformedMessageException("expected a known status for " + endpoint);
        }
        long startUs = entry.nonNegativeLongOr("since_ms", 0) * 1000;
        if (startUs > nowUs + MAX_CLOCK_SKEW_US) {
            throw new MalformedMessageException("expected a start in the past for " + endpoint);
        }
        Map<String, String> labels = labels(entry);
        return new EndpointEntry(
                endpoint,
                serviceNames.serviceOf(endpoint, entry, labels),
                entry.addressText("address"),
                indexIn(zones, entry, "zone"),
                indexIn(kinds, entry, "type"),
                (int) entry.nonNegativeLongOr("group", 0),
                entry.nonNegativeInt("image_id"),
                health,
                startUs,
                labels);
    }

    /** Labels are an extension of the list's protocol, so those that are not text are ignored, not rejected. */
    private static Map<String, String> labels(JsonObject entry) {
        if (!(entry.fields().get("labels") instanceof Map<?, ?> listed)) {
            return Map.of();
        }
        Map<String, String> labels = new HashMap<>();
        listed.forEach((name, value) -> {
            if (value instanceof String text && labels.size() < MAX_LABELS) {
                labels.put(String.valueOf(name), text);
            }
        });
        return labels;
    }

    /** The number of the name in that field; 0 for an unknown or absent one. */
    private static int indexIn(List<String> names, JsonObject entry, String field) {
        return Math.max(0, names.indexOf(entry.textOr(field, "")));
    }
}
