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
 * The results of a measurement run, read from docs/capacity/slopes.json, membership.json or scale.json. The file must
 * have a run ID; values that it lacks count as not measured.
 */
final class MeasurementRun {
    static final String NO_RUN = "not run";
    /**
     * Names of the slopes that formulas may use, whether or not a run has measured them. A name with 0 appended is the
     * intercept of that slope.
     */
    static final Set<String> KNOWN_SLOPES = Set.of(
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

    private final JsonNode root;
    /** The slopes of this run and of the runs that were added to it. */
    private final ArrayNode slopes;

    private MeasurementRun(JsonNode root, ArrayNode slopes) {
        this.root = root;
        this.slopes = slopes;
    }

    private static MeasurementRun fromJson(JsonNode root) {
        ArrayNode slopes = JsonNodeFactory.instance.arrayNode();
        root.path("slopes").forEach(slopes::add);
        return new MeasurementRun(root, slopes);
    }

    /** Returns a copy of this run with the slopes of another run appended to its own. */
    MeasurementRun withSlopesOf(MeasurementRun other) {
        return new MeasurementRun(root, slopes.deepCopy().addAll(other.slopes));
    }

    /**
     * Reads a run from a file. If the file does not exist, the run has no results.
     *
     * @throws IOException if the file cannot be read or has no run ID
     */
    static MeasurementRun read(Path file) throws IOException {
        if (!Files.exists(file)) {
            return fromJson(MissingNode.getInstance());
        }
        JsonNode root = new ObjectMapper().readTree(file.toFile());
        if (root.path("run").path("id").asText().isBlank()) {
            throw new IOException(file + ": run.id is missing or blank");
        }
        return fromJson(root);
    }

    /** Returns the run ID, or {@link #NO_RUN} if there is no file. */
    String runId() {
        return root.isMissingNode() ? NO_RUN : root.path("run").path("id").asText();
    }

    /** Returns the date, the machine and the commit of the run. */
    JsonNode run() {
        return root.path("run");
    }

    /** Returns a section of the file, or a missing node if there is none. */
    JsonNode section(String name) {
        return name.equals("slopes") ? slopes : root.path(name);
    }

    /** Returns the slopes by name, and their intercepts by the name with 0 appended. */
    Map<String, Double> slopesAndIntercepts() {
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

    /** Returns the largest relative distance of a point of a slope from the fitted line, or NaN if not measured. */
    double residual(String name) {
        for (JsonNode slope : slopes) {
            if (name.equals(slope.path("name").asText())) {
                return slope.path("residual").asDouble(Double.NaN);
            }
        }
        return Double.NaN;
    }

    /**
     * Returns the added p99 latency in milliseconds at a request rate, interpolated between measured rates, or NaN
     * outside their range.
     */
    double addedP99Ms(double requestsPerS) {
        TreeMap<Double, Double> p99MsByRate = new TreeMap<>();
        for (JsonNode row : root.path("latency")) {
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

    /** Returns the points of a slope, which the file has as pairs or as objects with x and y. */
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
