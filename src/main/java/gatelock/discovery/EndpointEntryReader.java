package gatelock.discovery;

import gatelock.api.Endpoint;
import gatelock.membership.EndpointEntry;
import gatelock.net.JsonObject;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What an entry of a list means; the one place where its form is checked. */
final class EndpointEntryReader {
    private static final int MOST_LABELS = 32;
    /** How far an endpoint's start may lie ahead of this relay's clock. */
    private static final long AHEAD_US = 60_000_000;

    private static final Map<String, Endpoint.Health> HEALTH = Map.of(
            "in_service",
            Endpoint.Health.READY,
            "terminating",
            Endpoint.Health.DRAINING,
            "terminated",
            Endpoint.Health.GONE);

    private final List<String> zones;
    private final List<String> kinds;
    private final ServiceNameExtractor service;

    EndpointEntryReader(List<String> zones, List<String> kinds, ServiceNameExtractor service) {
        this.zones = zones;
        this.kinds = kinds;
        this.service = service;
    }

    /** An entry whose address is of the right form, and not looked up yet. */
    EndpointEntry read(JsonObject e, long nowUs) throws IOException {
        String endpoint = e.text("name");
        Endpoint.Health health = HEALTH.get(e.text("status"));
        if (health == null) {
            throw new IOException("expected a known status for " + endpoint);
        }
        long startUs = e.wholeOr("since_ms", 0) * 1000;
        if (startUs > nowUs + AHEAD_US) {
            throw new IOException("expected a start that has been for " + endpoint);
        }
        Map<String, String> labels = labels(e);
        return new EndpointEntry(
                endpoint,
                service.of(endpoint, e, labels),
                e.addressText("address"),
                number(zones, e, "zone"),
                number(kinds, e, "type"),
                (int) e.wholeOr("group", 0),
                e.count("image_id"),
                health,
                startUs,
                labels);
    }

    /** Labels are our own addition to an entry; what is no text under them is left out. */
    private static Map<String, String> labels(JsonObject entry) {
        if (!(entry.fields().get("labels") instanceof Map<?, ?> borne)) {
            return Map.of();
        }
        Map<String, String> labels = new HashMap<>();
        borne.forEach((name, value) -> {
            if (value instanceof String text && labels.size() < MOST_LABELS) {
                labels.put(String.valueOf(name), text);
            }
        });
        return labels;
    }

    private static int number(List<String> names, JsonObject entry, String field) {
        return Math.max(0, names.indexOf(entry.textOr(field, "")));
    }
}
