package gatelock.discovery;

import gatelock.net.JsonObject;
import java.util.Map;

/** Derives the service of an endpoint from its entry in the list; "" is a service of its own, for those without one. */
public interface ServiceNameExtractor {

    /** All endpoints belong to one service. */
    ServiceNameExtractor SINGLE_SERVICE = (endpoint, entry, labels) -> "";

    /**
     * Returns the service of an endpoint, "" where the list says none.
     *
     * @param endpoint the endpoint's name
     * @param entry the entry as it was received
     * @param labels the labels of the entry
     */
    String serviceOf(String endpoint, JsonObject entry, Map<String, String> labels);

    /** Takes the value of a label or, where the endpoint has no label of that name, of a field of its entry. */
    static ServiceNameExtractor byLabel(String name) {
        return (endpoint, entry, labels) -> labels.containsKey(name) ? labels.get(name) : entry.textOr(name, "");
    }

    /** Takes the part of the endpoint's name before the last separator, "" where there is none. */
    static ServiceNameExtractor byNamePrefix(String separator) {
        return (endpoint, entry, labels) -> endpoint.substring(0, Math.max(0, endpoint.lastIndexOf(separator)));
    }
}
