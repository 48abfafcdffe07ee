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
 * What a run has measured, from docs/capacity/slopes.json, membership.json or scale.json. Whatever such a file lacks is
 * not measured; it must have the id of its run.
 */
final class MeasurementRun {
    static final String NO_RUN = "not run";
    /** Slopes that formulas may use whether or not a run has measured them; with a 0 behind the name: the intercept. */
    static final Set<String> KNOWN_NAMES = Set.of(
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
    /** The slopes of this run, and of others that were added to it. */
    private final ArrayNode slopes;

    private MeasurementRun(JsonNode file, ArrayNode slopes) {
        this.file = file;
        this.slopes = slopes;
    }

    private static MeasurementRun of(JsonNode file) {
        ArrayNode slopes = JsonNodeFactory.instance.arrayNode();
        file.path("slopes").forEach(slopes::add);
        return new MeasurementRun(file, slopes);
    }

    /** This run with the slopes of another one after its own. */
    MeasurementRun withSlopesOf(MeasurementRun other) {
        return new MeasurementRun(file, slopes.deepCopy().addAll(other.slopes));
    }

    /**
     * Reads a file; one that does not exist gives a run that has measured nothing.
     *
     * @throws IOException where the file can't be read, or has no id of its run
     */
    static MeasurementRun read(Path file) throws IOException {
        if (!Files.exists(file)) {
            return of(MissingNode.getInstance());
        }
        JsonNode read = new ObjectMapper().readTree(file.toFile());
        if (read.path("run").path("id").asText().isBlank()) {
            throw new IOException(file + ": no run.id");
        }
        return of(read);
    }

    /** The id of the run; {@link #NO_RUN} where there is no file. */
    String runId() {
        return file.isMissingNode() ? NO_RUN : file.path("run").path("id").asText();
    }

    /** When, where and of which commit the run was. */
    JsonNode run() {
        return file.path("run");
    }

    /** A section of the file; a missing node where there is none. */
    JsonNode section(String name) {
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

    /** The added p99 latency in milliseconds at a rate, interpolated between measured rates; NaN outside of them. */
    double addedP99Ms(double requestsPerS) {
        TreeMap<Double, Double> p99MsByRate = new TreeMap<>();
        for (JsonNode row : file.path("latency")) {
            p99MsByRate.put(row.path("perS").asDouble(), row.path("p99Us").asDouble() / 1000);
        }
        Map.Entry<Double, Double> below = p99MsByRate.floorEntry(requestsPerS);
        Map.Entry<Double, Double> above = p99MsByRate.ceilingEntry(requestsPerS);
        if (below == null || above == null) {
            return Double.NaN;
        }
        double width = above.getKey() - below.getKey();
        double position = width == 0 ? 0 : (requestsPerS - below.getKey()) / width;
        return below.getValue() + position * (above.getValue() - below.getValue());
    }

    /** The points of a slope, which are given as pairs or as objects with x and y. */
    static List<Fit.Point> points(JsonNode slope) {
        List<Fit.Point> points = new ArrayList<>();
        for (JsonNode point : slope.path("points")) {
            JsonNode x = point.isArray() ? point.path(0) : point.path("x");
            JsonNode y = point.isArray() ? point.path(1) : point.path("y");
            points.add(new Fit.Point(x.asDouble(), y.asDouble()));
        }
        return points;
    }
}
