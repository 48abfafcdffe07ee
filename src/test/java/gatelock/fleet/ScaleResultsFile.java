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

/** The file of results at the steps of the ladder: for each step the last run of each scenario and mode. */
final class ScaleResultsFile {
    /** Relays hold the whole list. */
    static final String MODE_ALL = "all";
    /** Relays hold a subset of it. */
    static final String MODE_SUBSET = "scope";

    static final List<String> MODES = List.of(MODE_ALL, MODE_SUBSET);
    private static final ObjectMapper MAPPER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private final Path path;

    ScaleResultsFile(Path path) {
        this.path = path;
    }

    static String text(JsonNode node) throws JsonProcessingException {
        return MAPPER.writeValueAsString(node);
    }

    /** Puts a result in place of an earlier one of the same step, scenario and mode; steps stay in their order. */
    void merge(ScaleStep step, ObjectNode result, String commit) throws IOException {
        ObjectNode file = Files.exists(path) ? (ObjectNode) MAPPER.readTree(path.toFile()) : MAPPER.createObjectNode();
        putRun(file.putObject("run"), result, commit);
        JsonNode previousSteps = file.path("steps");
        ArrayNode steps = MAPPER.createArrayNode();
        String largest = "";
        for (ScaleStep each : ScaleStep.LADDER) {
            ObjectNode previous = findStep(previousSteps, each);
            if (previous == null && !each.equals(step)) {
                continue;
            }
            ObjectNode merged = previous == null ? MAPPER.createObjectNode() : previous;
            ArrayNode plays = mergePlays(merged.path("plays"), each.equals(step) ? result : null);
            putStep(merged, each, plays);
            steps.add(merged);
            largest = isComplete(each, plays) ? each.name() : largest;
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

    private static void putStep(ObjectNode node, ScaleStep step, ArrayNode plays) {
        node.put("step", step.name()).put("relays", step.relays()).put("units", step.endpoints());
        node.put("services", step.services()).put("zones", step.zones());
        node.set("plays", plays);
    }

    /** The results of a step in the order of scenarios and modes; {@code replacement}: a new one of them, or null. */
    private static ArrayNode mergePlays(JsonNode previous, ObjectNode replacement) {
        ArrayNode plays = MAPPER.createArrayNode();
        for (FleetScenario scenario : FleetScenario.values()) {
            for (String mode : MODES) {
                JsonNode play = replacement != null && isOf(replacement, scenario, mode)
                        ? replacement
                        : findPlay(previous, scenario, mode);
                if (play != null) {
                    plays.add(play);
                }
            }
        }
        return plays;
    }

    /** Whether some run of a step simulated all of its relays. */
    private static boolean isComplete(ScaleStep step, ArrayNode plays) {
        for (JsonNode play : plays) {
            if (play.get("relaysPlayed").asInt() == step.relays()) {
                return true;
            }
        }
        return false;
    }

    private static ObjectNode findStep(JsonNode steps, ScaleStep step) {
        ObjectNode found = null;
        for (JsonNode each : steps) {
            found = each.get("step").asText().equals(step.name()) ? (ObjectNode) each : found;
        }
        return found;
    }

    private static JsonNode findPlay(JsonNode plays, FleetScenario scenario, String mode) {
        for (JsonNode play : plays) {
            if (isOf(play, scenario, mode)) {
                return play;
            }
        }
        return null;
    }

    private static boolean isOf(JsonNode play, FleetScenario scenario, String mode) {
        return play.get("play").asText().equalsIgnoreCase(scenario.name())
                && play.get("scope").asText().equals(mode);
    }
}
