package gatelock.capacity;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;

/**
 * The formulas of the capacity page, read from docs/capacity/lines.json.
 *
 * @param derived formulas of derived variables by name, in the order of their evaluation
 * @param loads loads by name
 * @param metrics metrics of all roles
 */
record CapacityModel(
        LinkedHashMap<String, String> derived,
        LinkedHashMap<String, Load> loads,
        @JsonProperty("lines") List<Metric> metrics) {

    /**
     * A load under which metrics are evaluated.
     *
     * @param variables formulas of the variables that the load sets, by name
     */
    record Load(
            @JsonProperty("what") String description,
            @JsonProperty("set") LinkedHashMap<String, String> variables) {}

    /**
     * A metric of one role, such as the heap of a relay.
     *
     * @param bound name of its bound, or null if it has none
     * @param loads loads under which it applies, or null if it applies under all
     * @param mechanism mechanism that keeps it within its bound, or null if there is none
     * @param ladderLoad load under which the ladder evaluates it, or null if it is not part of the ladder
     * @param formulaWithSubsets formula with membership by scope, or null if membership by scope does not change it
     * @param lossBeyondBound what the system loses when the bound is crossed
     */
    record Metric(
            String id,
            String role,
            @JsonProperty("line") String description,
            String formula,
            String unit,
            String bound,
            List<String> loads,
            String mechanism,
            @JsonProperty("ladder") String ladderLoad,
            @JsonProperty("after") String formulaWithSubsets,
            @JsonProperty("lost") String lossBeyondBound) {
        /** Whether the metric applies under a load. */
        boolean appliesUnder(String load) {
            return loads == null || loads.contains(load);
        }
    }

    /**
     * Reads the model from a JSON file.
     *
     * @throws IOException if the file cannot be read or has an unknown key
     */
    static CapacityModel read(Path file) throws IOException {
        return new ObjectMapper().readValue(file.toFile(), CapacityModel.class);
    }

    /**
     * Returns the metric with an ID.
     *
     * @throws IllegalArgumentException if there is no such metric
     */
    Metric metric(String id) {
        return metrics.stream()
                .filter(metric -> metric.id.equals(id))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("unknown metric " + id));
    }
}
