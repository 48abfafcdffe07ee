package gatelock.capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What the system has to carry, from docs/capacity/target.json: inputs, bounds, the steps of the ladder; {@code
 * spreads}: over how many relays a service's trial is spread; {@code errors}: of bad builds, as shares.
 */
record Target(
        Map<String, Input> inputs,
        Map<String, Bound> bounds,
        List<Step> steps,
        List<Integer> spreads,
        List<Double> errors) {

    /** A figure, its unit and source; {@code scales}: it goes down with the steps of the ladder. */
    record Input(double value, String unit, boolean scales, boolean assumed, String source) {}

    /** What may not be passed, or, with {@code least}, not be missed; a value or a formula of inputs. */
    record Bound(
            Double value, String formula, String unit, String what, boolean least, boolean assumed, String source) {}

    /** A share of the target. */
    record Step(String name, double share) {}

    /** @throws IOException where the file can't be read, or holds anything that is not known */
    static Target read(Path file) throws IOException {
        return new ObjectMapper().readValue(file.toFile(), Target.class);
    }

    /** Every input by its name at a share of the target. */
    Map<String, Double> at(double share) {
        Map<String, Double> values = new LinkedHashMap<>();
        inputs.forEach((name, input) -> values.put(name, input.value * (input.scales ? share : 1)));
        return values;
    }
}
