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

/** Collects the results of a run of {@link Slopes} and writes them to docs/capacity/slopes.json. */
final class SlopeResults {
    private static final String NOT_RUN = "not run";
    private static final String CUT_SHORT = "cut short";
    /** The slope with which others are compared: processor time of one request. */
    private static final String REQUEST_SLOPE = "cpuPerReqUs";

    private static final int SIGNIFICANT_DIGITS = 5;
    private static final JsonNodeFactory NODE_FACTORY = JsonNodeFactory.instance;

    /**
     * Describes a slope.
     *
     * @param quantity description of the measured quantity
     * @param xQuantity quantity on the x axis, by which the measured quantity grows
     * @param unit unit of the measured quantity
     * @param method method of measurement
     */
    record Description(String name, String quantity, String xQuantity, String unit, String method) {}

    private final Path path;
    private final ObjectNode run = NODE_FACTORY.objectNode();
    private final Map<String, ObjectNode> slopes = new LinkedHashMap<>();
    private final ArrayNode latency = NODE_FACTORY.arrayNode();
    private final ArrayNode classes = NODE_FACTORY.arrayNode();
    private final ArrayNode relayProcesses = NODE_FACTORY.arrayNode();
    private final ObjectNode manyRelays = NODE_FACTORY.objectNode();
    private final Map<String, String> notes = new LinkedHashMap<>();

    SlopeResults(Path path) {
        this.path = path;
    }

    /**
     * Records the date, the machine and the commit of the run.
     *
     * @param relayFlags JVM flags of the relay processes
     */
    void describeRun(List<String> relayFlags) throws IOException {
        Instant now = Instant.now().truncatedTo(ChronoUnit.SECONDS);
        String commit = commandOutput("git", "rev-parse", "--short", "HEAD");
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

    private static String commandOutput(String... command) throws IOException {
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
    }

    // ---- Notes on parts of the measurement -----------------------------------------------------------------

    /** Notes that a part was not run. */
    void markNotRun(String part) {
        note(part, NOT_RUN);
    }

    /** Notes that a part was cut short, which holds if the process ends before {@link #markComplete}. */
    void markStarted(String part) {
        note(part, CUT_SHORT);
    }

    /** Removes the note that a part was cut short; any other note of the part stays. */
    void markComplete(String part) {
        notes.remove(part, CUT_SHORT);
    }

    /** Sets the note of a part. */
    void note(String part, String text) {
        notes.put(part, text);
    }

    // ---- Figures -------------------------------------------------------------------------------------------

    /** Fits a line to the points, adds its slope and prints it. */
    void addSlope(Description description, List<Fit.Point> points) {
        Fit fit = Fit.through(points);
        ObjectNode slope = NODE_FACTORY.objectNode();
        slope.put("name", description.name);
        slope.put("what", description.quantity);
        slope.put("x", description.xQuantity);
        slope.put("y", description.unit);
        ArrayNode pointNodes = slope.putArray("points");
        points.forEach(point -> pointNodes.addArray().add((long) point.x()).add(round(point.y())));
        slope.put("slope", round(fit.slope()));
        slope.put("intercept", round(fit.intercept()));
        slope.put("residual", round(fit.residual()));
        slope.put("how", description.method);
        slopes.put(description.name, slope);
        System.out.printf(
                "%s: slope %.5g per %s, intercept %.5g; residual %.3f; %s%n",
                description.name, fit.slope(), description.xQuantity, fit.intercept(), fit.residual(), pointNodes);
    }

    /** Adds and prints the latency at one request rate. */
    void addLatency(ObjectNode row) {
        add(latency, row);
    }

    /** Adds and prints the heap that objects of one class occupy for each endpoint. */
    void addClass(String name, double bytesPerEndpoint) {
        add(classes, NODE_FACTORY.objectNode().put("class", name).put("perUnitBytes", round(bytesPerEndpoint)));
    }

    /** Adds and prints the measurements of a relay process with a long list. */
    void addRelayProcess(ObjectNode row) {
        add(relayProcesses, row);
    }

    /** Sets and prints the measurements of the relay processes that follow one list at the same time. */
    void setManyRelays(ObjectNode figures) {
        manyRelays.setAll(figures);
        System.out.println(figures);
    }

    private static void add(ArrayNode rows, ObjectNode row) {
        rows.add(row);
        System.out.println(row);
    }

    /** Rounds to five significant digits, because no measured value is more precise. */
    static double round(double value) {
        return value == 0 || !Double.isFinite(value)
                ? value
                : new BigDecimal(value)
                        .round(new MathContext(SIGNIFICANT_DIGITS))
                        .doubleValue();
    }

    /** Writes all results so far to the file. */
    void write() throws IOException {
        putRatios();
        ObjectNode file = NODE_FACTORY.objectNode();
        file.set("run", run);
        file.putArray("slopes").addAll(slopes.values());
        file.set("latency", latency);
        file.set("classes", classes);
        file.set("real", relayProcesses);
        file.set("many", manyRelays);
        ObjectNode noteNodes = file.putObject("notes");
        notes.forEach(noteNodes::put);
        Files.createDirectories(path.toAbsolutePath().getParent());
        Files.writeString(
                path,
                new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValueAsString(file) + "\n");
    }

    /** Adds the ratio to the processor time of one request to each slope of processor time. */
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
