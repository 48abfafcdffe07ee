package gatelock.discovery;

import gatelock.net.JsonObject;
import java.util.Map;

/** How a list tells the service of a unit; what a list does not tell is "", one service of its own. */
public interface ServiceNameExtractor {

    /** All units are of one service. */
    ServiceNameExtractor ONE = (unit, entry, labels) -> "";

    String of(String unit, JsonObject entry, Map<String, String> labels);

    /** By a label of the unit or, where it has none of that name, by a field of its entry. */
    static ServiceNameExtractor byLabel(String name) {
        return (unit, entry, labels) -> labels.containsKey(name) ? labels.get(name) : entry.textOr(name, "");
    }

    /** By what stands in the unit's name before this text last comes. */
    static ServiceNameExtractor before(String separator) {
        return (unit, entry, labels) -> unit.substring(0, Math.max(0, unit.lastIndexOf(separator)));
    }
}
