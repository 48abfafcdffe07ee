package gatelock.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;

/** The file of scale results, which has the last run of each step, scenario and mode. */
final class ScaleResultsFile {
    /** Relays hold the full list. */
    static final String MODE_FULL_LIST = "all";
    /** Relays hold a subset of the list. */
    static final String MODE_SUBSET = "scope";

    /** All modes, in the order of the file. */
    static final List<String> MODES = List.of(MODE_FULL_LIST, MODE_SUBSET);

    private static final ObjectMapper MAPPER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private final Path path;

    /** @param path the file, which need not exist yet */
    ScaleResultsFile(Path path) {
        this.path = path;
    }

    /** Returns indented JSON. */
    static String text(JsonNode node) throws JsonProcessingException {
        return MAPPER.writeValueAsString(node);
    }

    /** Writes a result to the file, replacing one of the same step, scenario and mode; the order of steps is kept. */
    void merge(ScaleStep step, ObjectNode result, String commit) throws IOException {
        ObjectNode file = Files.exists(path) ? (ObjectNode) MAPPER.readTree(path.toFile()) : MAPPER.createObjectNode();
        putRun(file.putObject("run"), result, commit);
        JsonNode previousSteps = file.path("steps");
        ArrayNode steps = MAPPER.createArrayNode();
        String largest = "";
        for (ScaleStep listedStep : ScaleStep.STEPS) {
            ObjectNode previous = findStep(previousSteps, listedStep);
            if (previous == null && !listedStep.equals(step)) {
                continue;
            }
            ObjectNode merged = previous == null ? MAPPER.createObjectNode() : previous;
            ArrayNode results = mergeResults(merged.path("plays"), listedStep.equals(step) ? result : null);
            putStep(merged, listedStep, results);
            steps.add(merged);
            largest = isComplete(listedStep, results) ? listedStep.name() : largest;
        }
        file.put("largest", largest);
        file.set("steps", steps);
        Files.createDirectories(path.getParent());
        Files.writeString(path, text(file) + "\n");
    }

    private static void putRun(ObjectNode run, ObjectNode result, String commit) {
        run.put("id", result.get("run").asText());
        run.put("date", Instant.now().toString()).put("commit", commit);
        run.put("cores", Runtime.getRuntime().availableProcessors());
        run.put("java", System.getProperty("java.version"));
    }

    private static void putStep(ObjectNode node, ScaleStep step, ArrayNode results) {
        node.put("step", step.name()).put("relays", step.relays()).put("units", step.endpoints());
        node.put("services", step.services()).put("zones", step.zones());
        node.set("plays", results);
    }

    /**
     * Returns the results of a step in the order of scenarios and modes; {@code replacement} is a new result or null.
     */
    private static ArrayNode mergeResults(JsonNode previous, ObjectNode replacement) {
        ArrayNode results = MAPPER.createArrayNode();
        for (FleetScenario scenario : FleetScenario.values()) {
            for (String mode : MODES) {
                JsonNode result = replacement != null && isResultOf(replacement, scenario, mode)
                        ? replacement
                        : findResult(previous, scenario, mode);
                if (result != null) {
                    results.add(result);
                }
            }
        }
        return results;
    }

    /** Returns whether any run of a step simulated all of its relays. */
    private static boolean isComplete(ScaleStep step, ArrayNode results) {
        for (JsonNode result : results) {
            if (result.get("relaysPlayed").asInt() == step.relays()) {
                return true;
            }
        }
        return false;
    }

    private static ObjectNode findStep(JsonNode steps, ScaleStep step) {
        ObjectNode found = null;
        for (JsonNode node : steps) {
            found = node.get("step").asText().equals(step.name()) ? (ObjectNode) node : found;
        }
        return found;
    }

    private static JsonNode findResult(JsonNode results, FleetScenario scenario, String mode) {
        for (JsonNode result : results) {
            if (isResultOf(result, scenario, mode)) {
                return result;
            }
        }
        return null;
    }

    private static boolean isResultOf(JsonNode result, FleetScenario scenario, String mode) {
        return result.get("play").asText().equalsIgnoreCase(scenario.name())
                && result.get("scope").asText().equals(mode);
    }
}
