package gatelock.discovery;

import gatelock.net.JsonObject;
import java.util.Map;

/**
 * Derives the service of an endpoint from its entry in the list. Endpoints without a service form one service with the
 * name "".
 */
public interface ServiceNameExtractor {

    /** Assigns all endpoints to one service. */
    ServiceNameExtractor SINGLE_SERVICE = (endpoint, entry, labels) -> "";

    /**
     * Returns the service of an endpoint, or "" if the list does not name one.
     *
     * @param endpoint the name of the endpoint
     * @param entry the entry as it was received
     * @param labels the labels of the entry
     */
    String extractService(String endpoint, JsonObject entry, Map<String, String> labels);

    /**
     * Returns an extractor that uses the value of a label or, if an endpoint has no such label, of the field of that
     * name in its entry.
     */
    static ServiceNameExtractor byLabel(String name) {
        return (endpoint, entry, labels) -> labels.containsKey(name) ? labels.get(name) : entry.textOr(name, "");
    }

    /**
     * Returns an extractor that uses the part of the endpoint name before the last separator, or "" if there is no
     * separator.
     */
    static ServiceNameExtractor byNamePrefix(String separator) {
        return (endpoint, entry, labels) -> endpoint.substring(0, Math.max(0, endpoint.lastIndexOf(separator)));
    }
}
