package gatelock.discovery;

import gatelock.net.JsonObject;
import java.util.Map;

/** How a list tells the service of an endpoint; what a list does not tell is "", one service of its own. */
public interface ServiceNameExtractor {

    /** All endpoints are of one service. */
    ServiceNameExtractor ONE = (endpoint, entry, labels) -> "";

    String of(String endpoint, JsonObject entry, Map<String, String> labels);

    /** By a label of the endpoint or, where it has none of that name, by a field of its entry. */
    static ServiceNameExtractor byLabel(String name) {
        return (endpoint, entry, labels) -> labels.containsKey(name) ? labels.get(name) : entry.textOr(name, "");
    }

    /** By what stands in the endpoint's name before this text last comes. */
    static ServiceNameExtractor before(String separator) {
        return (endpoint, entry, labels) -> endpoint.substring(0, Math.max(0, endpoint.lastIndexOf(separator)));
    }
}
