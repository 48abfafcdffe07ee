package gatelock.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What a run has measured: docs/capacity/slopes.json, membership.json and scale.json. Whatever such a file lacks is not measured; the
 * id of its run it must have.
 */
final class Measured {
    static final String NO_RUN = "not run";
    /** Names that formulas may use whether or not a run has given them; with a 0 behind: the intercept. */
    static final Set<String> KNOWN = Set.of(
            "heapPerUnit",
            "heapPerRoute",
            "heapPerTenant",
            "heapPerConnection",
            "cpuPerReqUs",
            "cpuPerListChangeUs",
            "cpuPerBeatUs",
            "cpuPerReqByUnitsUs",
            "cpuPerReqScopedPoolUs",
            "cpuPerVersionUs",
            "bytesPerEntry",
            "bytesPerChange",
            "bytesPerVersion",
            "startPerEntry",
            "cpuPerEntryReadUs",
            "heapPerUnitOutOfScope",
            "cpuPerChangeOutOfScopeUs",
            "addedP99Ms",
            "agentCpuPerChangeUs",
            "distributorCpuPerMessageUs",
            "deskCpuPerVoteUs",
            "operatorCpuPerScrapeUs");

    private final JsonNode file;
    /** Of this run, and of others whose slopes stand beside. */
    private final ArrayNode slopes;

    private Measured(JsonNode file, ArrayNode slopes) {
        this.file = file;
        this.slopes = slopes;
    }

    private static Measured of(JsonNode file) {
        ArrayNode slopes = JsonNodeFactory.instance.arrayNode();
        file.path("slopes").forEach(slopes::add);
        return new Measured(file, slopes);
    }

    /** This run with the slopes of another one behind its own. */
    Measured with(Measured other) {
        return new Measured(file, slopes.deepCopy().addAll(other.slopes));
    }

    /** @throws IOException where the file is there and can't be read, or names no run */
    static Measured read(Path file) throws IOException {
        if (!Files.exists(file)) {
            return of(MissingNode.getInstance());
        }
        JsonNode read = new ObjectMapper().readTree(file.toFile());
        if (read.path("run").path("id").asText().isBlank()) {
            throw new IOException(file + ": no run.id");
        }
        return of(read);
    }

    String runId() {
        return file.isMissingNode() ? NO_RUN : file.path("run").path("id").asText();
    }

    JsonNode run() {
        return file.path("run");
    }

    JsonNode rows(String name) {
        return name.equals("slopes") ? slopes : file.path(name);
    }

    /** Slopes and, with a 0 behind the name, intercepts. */
    Map<String, Double> values() {
        Map<String, Double> values = new LinkedHashMap<>();
        slopes.forEach(s -> {
            put(values, s.path("name").asText(), s.path("slope"));
            put(values, s.path("name").asText() + "0", s.path("intercept"));
        });
        return values;
    }

    private static void put(Map<String, Double> values, String name, JsonNode value) {
        if (value.isNumber() && Double.isFinite(value.asDouble())) {
            values.put(name, value.asDouble());
        }
    }

    /** The largest distance of a slope's point from its line, as a share; NaN: not measured. */
    double residual(String name) {
        for (JsonNode slope : slopes) {
            if (name.equals(slope.path("name").asText())) {
                return slope.path("residual").asDouble(Double.NaN);
            }
        }
        return Double.NaN;
    }

    /** Milliseconds added for 99 in 100 at a rate, between the two rates measured beside it; NaN outside. */
    double addedP99Ms(double perS) {
        TreeMap<Double, Double> byRate = new TreeMap<>();
        file.path("latency")
                .forEach(l ->
                        byRate.put(l.path("perS").asDouble(), l.path("p99Us").asDouble() / 1000));
        Map.Entry<Double, Double> below = byRate.floorEntry(perS);
        Map.Entry<Double, Double> above = byRate.ceilingEntry(perS);
        if (below == null || above == null) {
            return Double.NaN;
        }
        double width = above.getKey() - below.getKey();
        double part = width == 0 ? 0 : (perS - below.getKey()) / width;
        return below.getValue() + part * (above.getValue() - below.getValue());
    }

    /** The points of a slope as {x, y}; given as pairs or as objects. */
    static List<double[]> points(JsonNode slope) {
        List<double[]> points = new ArrayList<>();
        slope.path("points")
                .forEach(p -> points.add(
                        p.isArray()
                                ? new double[] {p.path(0).asDouble(), p.path(1).asDouble()}
                                : new double[] {
                                    p.path("x").asDouble(), p.path("y").asDouble()
                                }));
        return points;
    }
}
