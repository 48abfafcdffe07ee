package gatelock.capacity;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What the system has to carry, from docs/capacity/target.json.
 *
 * @param inputs by name
 * @param bounds by name
 * @param steps the ladder to the target
 * @param canaryRelayCounts over how many relays a service's canary may be spread
 * @param badBuildErrorRates error rates of bad builds, as shares
 */
record CapacityTarget(
        Map<String, Input> inputs,
        Map<String, Bound> bounds,
        List<Step> steps,
        @JsonProperty("spreads") List<Integer> canaryRelayCounts,
        @JsonProperty("errors") List<Double> badBuildErrorRates) {

    /** A figure, its unit and its source; {@code scales}: it goes down with the steps of the ladder. */
    record Input(double value, String unit, boolean scales, boolean assumed, String source) {}

    /**
     * A value, or a formula of inputs, that a figure may not pass.
     *
     * @param what what it limits
     * @param minimum the figure may not be below it, instead of above
     */
    record Bound(
            Double value,
            String formula,
            String unit,
            String what,
            @JsonProperty("least") boolean minimum,
            boolean assumed,
            String source) {}

    /** A share of the target. */
    record Step(String name, double share) {}

    /** @throws IOException where the file can't be read, or has a key that is not known */
    static CapacityTarget read(Path file) throws IOException {
        return new ObjectMapper().readValue(file.toFile(), CapacityTarget.class);
    }

    /** The value of every input, by name, at a share of the target. */
    Map<String, Double> inputsAt(double share) {
        Map<String, Double> values = new LinkedHashMap<>();
        inputs.forEach((name, input) -> values.put(name, input.value * (input.scales ? share : 1)));
        return values;
    }
}
