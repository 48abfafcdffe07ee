package gatelock.capacity;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;

/**
 * The formulas of the capacity page, from docs/capacity/lines.json.
 *
 * @param derived formulas of names that others may use, in the order in which they are evaluated
 * @param loads by name
 */
record CapacityModel(
        LinkedHashMap<String, String> derived,
        LinkedHashMap<String, Load> loads,
        @JsonProperty("lines") List<Metric> metrics) {

    /** A load under which metrics are evaluated; {@code variables}: formulas of the names that it sets. */
    record Load(
            @JsonProperty("what") String description,
            @JsonProperty("set") LinkedHashMap<String, String> variables) {}

    /**
     * One figure of one role.
     *
     * @param bound the name of its bound; null: none
     * @param loads those under which it means something; null: all
     * @param mechanism what keeps it under its bound; null: none
     * @param ladderLoad the load under which it is on the ladder; null: it is not on it
     * @param formulaWithSubsets its formula once membership by scope is in place; null: unchanged
     * @param lossBeyondBound what is lost where its bound is crossed
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
        boolean appliesUnder(String load) {
            return loads == null || loads.contains(load);
        }
    }

    /** @throws IOException where the file can't be read, or has a key that is not known */
    static CapacityModel read(Path file) throws IOException {
        return new ObjectMapper().readValue(file.toFile(), CapacityModel.class);
    }

    /** @throws IllegalArgumentException where there is no such metric */
    Metric metric(String id) {
        return metrics.stream()
                .filter(metric -> metric.id.equals(id))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no metric " + id));
    }
}
