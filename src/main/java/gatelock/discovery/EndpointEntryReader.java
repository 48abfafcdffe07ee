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

/** Converts the entries of an endpoint list. The format of an entry is validated only here. */
final class EndpointEntryReader {
    private static final int MAX_LABELS = 32;
    /** How far the start time of an endpoint may lie ahead of the clock of this relay. */
    private static final long MAX_CLOCK_SKEW_US = 60_000_000;

    private static final Map<String, Endpoint.Health> HEALTH_BY_STATUS = Map.of(
            "in_service",
            Endpoint.Health.READY,
            "terminating",
            Endpoint.Health.DRAINING,
            "terminated",
            Endpoint.Health.GONE);

    private final List<String> zones;
    private final List<String> instanceTypes;
    private final ServiceNameExtractor serviceNames;

    /**
     * Creates a reader.
     *
     * @param zones the names of the zones, in the order of their indexes
     * @param instanceTypes the names of the instance types, in the order of their indexes
     * @param serviceNames derives the service of each endpoint
     */
    EndpointEntryReader(List<String> zones, List<String> instanceTypes, ServiceNameExtractor serviceNames) {
        this.zones = zones;
        this.instanceTypes = instanceTypes;
        this.serviceNames = serviceNames;
    }

    /**
     * Reads all entries of a buffered list, in the order of the list.
     *
     * @throws IOException if an entry is malformed or two entries have the same name
     */
    List<EndpointEntry> readAll(JsonObject list, long nowUs) throws IOException {
        List<EndpointEntry> entries = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (JsonObject object : list.objects("endpoints")) {
            EndpointEntry entry = read(object, nowUs);
            if (!names.add(entry.name())) {
                throw new MalformedMessageException("duplicate endpoint " + entry.name());
            }
            entries.add(entry);
        }
        return entries;
    }

    /**
     * Reads one entry. The format of its address is checked, but the host name is not resolved.
     *
     * @throws IOException if the entry is malformed
     */
    EndpointEntry read(JsonObject entry, long nowUs) throws IOException {
        String endpoint = entry.text("name");
        Endpoint.Health health = HEALTH_BY_STATUS.get(entry.text("status"));
        if (health == null) {
            throw new MalformedMessageException("unknown status of endpoint " + endpoint);
        }
        long startedAtUs = entry.nonNegativeLongOr("since_ms", 0) * 1000;
        if (startedAtUs > nowUs + MAX_CLOCK_SKEW_US) {
            throw new MalformedMessageException("start time in the future for endpoint " + endpoint);
        }
        Map<String, String> labels = labels(entry);
        return new EndpointEntry(
                endpoint,
                serviceNames.extractService(endpoint, entry, labels),
                entry.addressText("address"),
                indexIn(zones, entry, "zone"),
                indexIn(instanceTypes, entry, "type"),
                (int) entry.nonNegativeLongOr("group", 0),
                entry.nonNegativeInt("image_id"),
                health,
                startedAtUs,
                labels);
    }

    /**
     * Returns the labels of an entry. They are an optional extension of the list protocol, so labels that are not
     * strings are ignored and do not make the entry malformed.
     */
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

    /** Returns the index of the name in the given field, or 0 if the name is absent or unknown. */
    private static int indexIn(List<String> names, JsonObject entry, String field) {
        return Math.max(0, names.indexOf(entry.textOr(field, "")));
    }
}
