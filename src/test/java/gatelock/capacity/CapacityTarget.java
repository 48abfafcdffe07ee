package gatelock.capacity;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The load that the system has to carry and the bounds that it has to keep, read from docs/capacity/target.json.
 *
 * @param inputs inputs of the model by name
 * @param bounds bounds by name
 * @param steps shares of the target at which the ladder evaluates metrics
 * @param canaryRelayCounts numbers of relays among which the requests to a service's canary can be divided
 * @param badBuildErrorRates error rates of bad builds, from 0 to 1
 */
record CapacityTarget(
        Map<String, Input> inputs,
        Map<String, Bound> bounds,
        List<Step> steps,
        @JsonProperty("spreads") List<Integer> canaryRelayCounts,
        @JsonProperty("errors") List<Double> badBuildErrorRates) {

    /**
     * An input of the model.
     *
     * @param scales whether the value is multiplied by the share of the target
     * @param assumed whether the value is an assumption rather than given
     */
    record Input(double value, String unit, boolean scales, boolean assumed, String source) {}

    /**
     * A limit on metrics: either a value, or a formula of inputs.
     *
     * @param what description of what it limits
     * @param minimum whether it is a lower limit instead of an upper one
     * @param assumed whether the limit is an assumption rather than given
     */
    record Bound(
            Double value,
            String formula,
            String unit,
            String what,
            @JsonProperty("least") boolean minimum,
            boolean assumed,
            String source) {}

    /** A step of the ladder: a share of the target and its name. */
    record Step(String name, double share) {}

    /**
     * Reads the target from a JSON file.
     *
     * @throws IOException if the file cannot be read or has an unknown key
     */
    static CapacityTarget read(Path file) throws IOException {
        return new ObjectMapper().readValue(file.toFile(), CapacityTarget.class);
    }

    /** Returns the value of each input, by name, at a share of the target. */
    Map<String, Double> inputsAt(double share) {
        Map<String, Double> values = new LinkedHashMap<>();
        inputs.forEach((name, input) -> values.put(name, input.value * (input.scales ? share : 1)));
        return values;
    }
}
