package gatelock.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Tables of the measured values in the data files of the runs. */
final class MeasurementTables {
    private static final String NOT_MEASURED = "Not measured.";
    private static final String NO_VALUE = "-";
    /** A shorter text in the place of JVM flags is a remark, which is not formatted as code. */
    private static final int MIN_FLAGS_LENGTH = 12;

    private static final double BYTES_PER_MB = 1e6;

    private MeasurementTables() {}

    /** Returns the runs whose results are on the page. */
    static String runs(Map<String, MeasurementRun> runs) {
        MarkdownTable table =
                new MarkdownTable("file", "run", "date", "commit", "cores", "machine", "Java", "flags of a relay");
        runs.forEach((file, measured) -> {
            JsonNode run = measured.run();
            table.row(
                    file,
                    "`" + measured.runId() + "`",
                    run.path("date").asText(),
                    run.path("commit").asText(),
                    run.path("cores").asText(),
                    run.path("machine").asText(),
                    run.path("java").asText(),
                    flags(run.path("flags").asText()));
        });
        return table.toString();
    }

    private static String flags(String flags) {
        return flags.length() < MIN_FLAGS_LENGTH ? flags : "`" + flags + "`";
    }

    /** Returns the notes in the files of the runs, for example on parts that failed or were not run. */
    static String notes(Map<String, MeasurementRun> runs) {
        MarkdownTable table = new MarkdownTable("file", "part", "note");
        runs.forEach((file, measured) -> measured.section("notes")
                .properties()
                .forEach(note -> table.row(file, note.getKey(), cell(note.getValue()))));
        return table.size() == 0 ? "The runs note nothing." : table.toString();
    }

    /** Returns the measured slopes with their points and residuals. */
    static String slopes(MeasurementRun measured) {
        MarkdownTable table = new MarkdownTable(
                "slope",
                "what",
                "a",
                "points",
                "slope",
                "from",
                "residual, largest",
                "last to first",
                "to a req's time",
                "how");
        measured.section("slopes").forEach(slope -> addSlopeRow(table, slope));
        return table.toString();
    }

    private static void addSlopeRow(MarkdownTable table, JsonNode slope) {
        List<Fit.Point> points = MeasurementRun.points(slope);
        Fit.Point first = points.get(0);
        Fit.Point last = points.get(points.size() - 1);
        String growth = "x " + MarkdownTable.figure(last.y() / first.y()) + " for x "
                + MarkdownTable.figure(last.x() / first.x());
        String ratioToRequest = slope.has("ratioToReq")
                ? MarkdownTable.figure(slope.path("ratioToReq").asDouble())
                : "";
        table.row(
                slope.path("name").asText(),
                slope.path("what").asText(),
                slope.path("x").asText(),
                points.stream().map(MeasurementTables::text).collect(Collectors.joining("; ")),
                MarkdownTable.figure(slope.path("slope").asDouble()) + " "
                        + slope.path("y").asText(),
                slope.path("intercept").asDouble(),
                MarkdownTable.percent(slope.path("residual").asDouble()),
                growth,
                ratioToRequest,
                slope.path("how").asText());
    }

    private static String text(Fit.Point point) {
        return MarkdownTable.figure(point.x()) + ": " + MarkdownTable.figure(point.y());
    }

    /** Returns the latency that the relay adds, by request rate. */
    static String latency(MeasurementRun measured) {
        MarkdownTable table =
                new MarkdownTable("reqs/s", "p50 added, ms", "p99 added, ms", "p99.9 added, ms", "p99 to p50");
        measured.section("latency")
                .forEach(row -> table.row(
                        row.path("perS").asDouble(),
                        row.path("p50Us").asDouble() / 1000,
                        row.path("p99Us").asDouble() / 1000,
                        row.path("p999Us").asDouble() / 1000,
                        row.path("p99Us").asDouble() / row.path("p50Us").asDouble()));
        return table.toString();
    }

    /** Returns rows of a data file unchanged, with a column for each field; fields with nested values are left out. */
    static String rows(JsonNode rows) {
        Set<String> fields = new LinkedHashSet<>();
        rows.forEach(row -> row.properties().stream()
                .filter(field -> field.getValue().isValueNode())
                .forEach(field -> fields.add(field.getKey())));
        if (fields.isEmpty()) {
            return NOT_MEASURED;
        }
        MarkdownTable table = new MarkdownTable(fields.toArray(String[]::new));
        rows.forEach(row ->
                table.row(fields.stream().map(field -> cell(row.path(field))).toArray()));
        return table.toString();
    }

    /** Returns the fields of an object, one row for each. */
    static String figures(JsonNode node) {
        if (node.isEmpty()) {
            return NOT_MEASURED;
        }
        MarkdownTable table = new MarkdownTable("figure", "value");
        node.properties().forEach(field -> table.row(field.getKey(), cell(field.getValue())));
        return table.toString();
    }

    private static Object cell(JsonNode value) {
        if (value.isNumber()) {
            return value.asDouble();
        }
        return value.isNull() || value.isMissingNode()
                ? NO_VALUE
                : value.asText().replace("|", "\\|");
    }

    /** Returns the results of the scenarios run with simulated fleets at the steps of the ladder. */
    static String scale(MeasurementRun scale) {
        if (scale.section("steps").isEmpty()) {
            return "Not run.";
        }
        MarkdownTable table = new MarkdownTable(
                "step",
                "relays",
                "units",
                "services",
                "play",
                "scope",
                "has a change: p50, p99, last, ms",
                "bytes/s a relay",
                "cores a relay",
                "heap a relay, MB",
                "reqs taken",
                "refused",
                "lost",
                "rule 3",
                "rule 4",
                "wall s");
        scale.section("steps")
                .forEach(step -> step.path("plays").forEach(scenario -> addScenarioRow(table, step, scenario)));
        return table.toString();
    }

    private static void addScenarioRow(MarkdownTable table, JsonNode step, JsonNode scenario) {
        JsonNode heap = scenario.path("heapPerRelayBytes");
        table.row(
                step.path("step").asText(),
                cell(step.path("relays")),
                cell(step.path("units")),
                cell(step.path("services")),
                scenario.path("play").asText(),
                scenario.path("scope").asText(),
                text(scenario, "reachedP50Ms") + ", " + text(scenario, "reachedP99Ms") + ", "
                        + text(scenario, "reachedLastMs"),
                text(scenario, "bytesPerRelayS"),
                text(scenario, "cpuPerRelayShare"),
                heap.isNumber() ? MarkdownTable.figure(heap.asDouble() / BYTES_PER_MB) : NO_VALUE,
                text(scenario, "taken"),
                text(scenario, "refused"),
                text(scenario, "lost"),
                text(scenario, "rule3"),
                text(scenario, "rule4"),
                text(scenario, "wallS"));
    }

    private static String text(JsonNode scenario, String field) {
        Object cell = cell(scenario.path(field));
        return cell instanceof Double figure ? MarkdownTable.figure(figure) : String.valueOf(cell);
    }
}
