package gatelock.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.math.BigDecimal;
import java.math.MathContext;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What a run of {@link Slopes} has measured, and the file docs/capacity/slopes.json that it goes into. */
final class SlopeResults {
    private static final String NOT_RUN = "not run";
    private static final String CUT_SHORT = "cut short";
    /** The slope that others are compared with: processor time for one request. */
    private static final String REQUEST_SLOPE = "cpuPerReqUs";

    private static final int SIGNIFICANT_DIGITS = 5;
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    /**
     * What a slope says.
     *
     * @param x what it is counted by
     * @param y the unit of what is measured
     * @param method how it was measured
     */
    record Description(String name, String what, String x, String y, String method) {}

    private final Path path;
    private final ObjectNode run = NODES.objectNode();
    private final Map<String, ObjectNode> slopes = new LinkedHashMap<>();
    private final ArrayNode latency = NODES.arrayNode();
    private final ArrayNode classes = NODES.arrayNode();
    private final ArrayNode realRelays = NODES.arrayNode();
    private final ObjectNode manyRelays = NODES.objectNode();
    private final Map<String, String> notes = new LinkedHashMap<>();

    SlopeResults(Path path) {
        this.path = path;
    }

    /** Notes when, where and of which commit the run is; {@code relayFlags}: JVM flags of the relay processes. */
    void describeRun(List<String> relayFlags) throws IOException {
        Instant now = Instant.now().truncatedTo(ChronoUnit.SECONDS);
        String commit = output("git", "rev-parse", "--short", "HEAD");
        run.put("id", now.toString().replaceAll("[-:]", "") + "-" + commit);
        run.put("date", now.toString());
        run.put("commit", commit);
        run.put("cores", Runtime.getRuntime().availableProcessors());
        run.put("java", System.getProperty("java.version"));
        run.put("flags", String.join(" ", relayFlags));
        run.put(
                "flagsHere",
                String.join(" ", ManagementFactory.getRuntimeMXBean().getInputArguments()));
        run.put("machine", processorModel());
    }

    private static String processorModel() throws IOException {
        return Files.readString(Path.of("/proc/cpuinfo"))
                .lines()
                .filter(line -> line.startsWith("model name"))
                .findFirst()
                .map(line -> line.replaceAll(".*: ", ""))
                .orElse("not told");
    }

    private static String output(String... command) throws IOException {
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
    }

    // ---- Notes on the parts --------------------------------------------------------------------------------

    void markNotRun(String part) {
        note(part, NOT_RUN);
    }

    /** The part has started; if the process ends before {@link #markComplete}, the note stays. */
    void markStarted(String part) {
        note(part, CUT_SHORT);
    }

    /** The part is complete; a note of its own stays. */
    void markComplete(String part) {
        notes.remove(part, CUT_SHORT);
    }

    void note(String part, String text) {
        notes.put(part, text);
    }

    // ---- Figures -------------------------------------------------------------------------------------------

    /** Fits a line through the points and adds its slope. */
    void addSlope(Description description, List<Fit.Point> points) {
        Fit fit = Fit.through(points);
        ObjectNode slope = NODES.objectNode();
        slope.put("name", description.name);
        slope.put("what", description.what);
        slope.put("x", description.x);
        slope.put("y", description.y);
        ArrayNode pointNodes = slope.putArray("points");
        points.forEach(point -> pointNodes.addArray().add((long) point.x()).add(round(point.y())));
        slope.put("slope", round(fit.slope()));
        slope.put("intercept", round(fit.intercept()));
        slope.put("residual", round(fit.residual()));
        slope.put("how", description.method);
        slopes.put(description.name, slope);
        System.out.printf(
                "%s: %.5g a %s, from %.5g; residual %.3f; %s%n",
                description.name, fit.slope(), description.x, fit.intercept(), fit.residual(), pointNodes);
    }

    /** Adds the latency at one request rate. */
    void addLatency(ObjectNode row) {
        add(latency, row);
    }

    /** Adds the heap that objects of one class take for each endpoint. */
    void addClass(String name, double bytesPerEndpoint) {
        add(classes, NODES.objectNode().put("class", name).put("perUnitBytes", round(bytesPerEndpoint)));
    }

    /** Adds how a real relay fared on a list. */
    void addRealRelay(ObjectNode row) {
        add(realRelays, row);
    }

    /** Sets how many real relays fared on one list. */
    void setManyRelays(ObjectNode figures) {
        manyRelays.setAll(figures);
        System.out.println(figures);
    }

    private static void add(ArrayNode rows, ObjectNode row) {
        rows.add(row);
        System.out.println(row);
    }

    /** Rounded to five significant digits, as no figure here is more precise. */
    static double round(double value) {
        return value == 0 || !Double.isFinite(value)
                ? value
                : new BigDecimal(value)
                        .round(new MathContext(SIGNIFICANT_DIGITS))
                        .doubleValue();
    }

    /** Writes all that is known so far. */
    void write() throws IOException {
        putRatios();
        ObjectNode file = NODES.objectNode();
        file.set("run", run);
        file.putArray("slopes").addAll(slopes.values());
        file.set("latency", latency);
        file.set("classes", classes);
        file.set("real", realRelays);
        file.set("many", manyRelays);
        ObjectNode noteNodes = file.putObject("notes");
        notes.forEach(noteNodes::put);
        Files.createDirectories(path.toAbsolutePath().getParent());
        Files.writeString(
                path,
                new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValueAsString(file) + "\n");
    }

    /** Sets each slope of processor time in relation to that of a request. */
    private void putRatios() {
        JsonNode request = slopes.get(REQUEST_SLOPE);
        if (request == null) {
            return;
        }
        for (ObjectNode slope : slopes.values()) {
            if (slope.get("y").asText().equals("us")) {
                double ratio =
                        slope.get("slope").asDouble() / request.get("slope").asDouble();
                slope.put("ratioToReq", round(ratio));
            }
        }
    }
}
