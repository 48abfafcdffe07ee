package gatelock.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * The tables and the chart of docs/CAPACITY.md, from the files of docs/capacity/. {@code make capacity} writes them;
 * {@link #problems} tells where the page and the files differ.
 */
final class Page {
    private static final Pattern PART = Pattern.compile("<!-- table:([a-z-]+) -->\n(.*?)<!-- end -->", Pattern.DOTALL);
    private static final Pattern NAMED_RUN = Pattern.compile("\\| (slopes|membership|scale) \\| `([^`]*)` \\|");
    private static final Map<String, String> ROLES = roles();
    private static final double POOR_FIT = 0.25;
    private static final int TEXT_OF_A_FLAG = 12;

    private final Path page;
    private final Path data;

    /** @param page the text with the markers; the data and the chart stand in the directory beside it */
    Page(Path page, Path data) {
        this.page = page;
        this.data = data;
    }

    private static Map<String, String> roles() {
        Map<String, String> roles = new LinkedHashMap<>();
        roles.put("role-relay", "relay");
        roles.put("role-unit", "unit, as relays see it");
        roles.put("role-agent", "discovery's agent");
        roles.put("role-distributor", "distributor of lists and configuration");
        roles.put("role-desk", "release desk, collector of votes");
        roles.put("role-tools", "operator's tools");
        return roles;
    }

    /** Writes tables and chart; the page and the directory of its data may be named. */
    public static void main(String[] args) throws IOException {
        Page page = args.length > 1
                ? new Page(Path.of(args[0]), Path.of(args[1]))
                : new Page(Path.of("docs/CAPACITY.md"), Path.of("docs/capacity"));
        page.write();
        page.problems().forEach(System.err::println);
    }

    void write() throws IOException {
        Made made = made();
        Files.writeString(page, filled(Files.readString(page), made.tables));
        Files.writeString(chart(), made.chart);
    }

    private Path chart() {
        return data.resolve("ladder.svg");
    }

    /** What the files give. */
    private record Made(Map<String, String> tables, String chart, Map<String, Measured> runs, Capacity capacity) {}

    private Made made() throws IOException {
        Map<String, Measured> runs = new LinkedHashMap<>();
        for (String file : List.of("slopes", "membership", "scale")) {
            runs.put(file, Measured.read(data.resolve(file + ".json")));
        }
        Capacity capacity = new Capacity(
                Target.read(data.resolve("target.json")),
                runs.get("slopes").with(runs.get("membership")),
                Lines.read(data.resolve("lines.json")));
        List<Ladder.Rung> rungs = Ladder.climb(capacity);
        return new Made(tables(capacity, runs, rungs), Chart.svg(capacity.target(), rungs), runs, capacity);
    }

    private static String filled(String text, Map<String, String> tables) {
        return PART.matcher(text)
                .replaceAll(m -> Matcher.quoteReplacement("<!-- table:" + m.group(1) + " -->\n"
                        + tables.getOrDefault(m.group(1), "no such table") + "\n<!-- end -->"));
    }

    /** Where page and files differ, each told in a line; none: they agree. */
    List<String> problems() throws IOException {
        Made made = made();
        String text = Files.readString(page);
        List<String> problems = new ArrayList<>();
        Set<String> seen = new LinkedHashSet<>();
        Matcher part = PART.matcher(text);
        while (part.find()) {
            String name = part.group(1);
            if (!made.tables.containsKey(name)) {
                problems.add("table " + name + " is none that the files give");
            } else if (!part.group(2).equals(made.tables.get(name) + "\n")) {
                problems.add("table " + name + " is not what the files give: run make capacity");
            }
            if (!seen.add(name)) {
                problems.add("table " + name + " stands there twice");
            }
        }
        made.tables.keySet().stream()
                .filter(name -> !seen.contains(name))
                .forEach(name -> problems.add("table " + name + " is missing"));
        runs(text, made.runs, problems);
        if (!Files.exists(chart()) || !Files.readString(chart()).equals(made.chart)) {
            problems.add("the chart is not what the files give: run make capacity");
        }
        mechanisms(text, made.capacity, problems);
        return problems;
    }

    private static void runs(String text, Map<String, Measured> runs, List<String> problems) {
        Map<String, String> named = new LinkedHashMap<>();
        Matcher run = NAMED_RUN.matcher(text);
        while (run.find()) {
            named.put(run.group(1), run.group(2));
        }
        runs.forEach((file, measured) -> {
            String id = measured.runId();
            if (!id.equals(named.get(file))) {
                problems.add("the page names run " + named.get(file) + " for " + file + ", the file is of run " + id);
            }
        });
    }

    /** What is over its bound has a mechanism, and each mechanism a heading. */
    private static void mechanisms(String text, Capacity capacity, List<String> problems) {
        String low = text.toLowerCase(Locale.ROOT);
        for (Lines.Line line : capacity.over()) {
            if (line.mechanism() == null) {
                problems.add("line " + line.id() + " is over its bound and names no mechanism");
            }
        }
        capacity.lines().lines().stream()
                .map(Lines.Line::mechanism)
                .filter(m -> m != null)
                .distinct()
                .filter(m -> !low.contains("\n### " + m + "\n"))
                .forEach(m -> problems.add("mechanism '" + m + "' has no heading"));
    }

    // ---- Tables --------------------------------------------------------------------------------------------

    private static Map<String, String> tables(Capacity capacity, Map<String, Measured> runs, List<Ladder.Rung> rungs) {
        Map<String, String> tables = new LinkedHashMap<>();
        tables.put("runs", runs(runs));
        tables.put("notes", notes(runs));
        tables.put("inputs", inputs(capacity));
        tables.put("bounds", bounds(capacity));
        tables.put("loads", loads(capacity));
        tables.put("slopes", slopes(capacity.slopes()));
        tables.put("latency", latency(capacity.slopes()));
        tables.put("classes", rows(capacity.slopes().rows("classes")));
        tables.put("real", rows(capacity.slopes().rows("real")));
        tables.put("many", one(capacity.slopes().rows("many")));
        ROLES.forEach((table, role) -> tables.put(table, role(capacity, role)));
        tables.put("over", over(capacity));
        tables.put("ladder", ladder(capacity, rungs));
        tables.put("ladder-lost", lost(rungs));
        Questions questions = new Questions(capacity);
        tables.put("answers", questions.answers().toString());
        tables.put("who-serves", questions.scope().toString());
        tables.put("tenants-met", questions.tenants().toString());
        tables.put("how-changes", questions.changes().toString());
        tables.put("votes-needed", questions.needed().toString());
        tables.put("votes-got", questions.gets().toString());
        tables.put("votes-alone", questions.alone().toString());
        tables.put("holders", questions.holders().toString());
        tables.put("most-holders", questions.mostHolders().toString());
        tables.put("scale", scale(runs.get("scale")));
        return tables;
    }

    private static String runs(Map<String, Measured> runs) {
        Table table = new Table("file", "run", "date", "commit", "cores", "machine", "Java", "flags of a relay");
        for (Map.Entry<String, Measured> file : runs.entrySet()) {
            JsonNode run = file.getValue().run();
            table.row(
                    file.getKey(),
                    "`" + file.getValue().runId() + "`",
                    run.path("date").asText(),
                    run.path("commit").asText(),
                    run.path("cores").asText(),
                    run.path("machine").asText(),
                    run.path("java").asText(),
                    flags(run.path("flags").asText()));
        }
        return table.toString();
    }

    /** What a run says of itself: parts that failed, were not run, or are a trial. */
    private static String notes(Map<String, Measured> runs) {
        Table table = new Table("file", "part", "note");
        for (Map.Entry<String, Measured> file : runs.entrySet()) {
            file.getValue()
                    .rows("notes")
                    .fields()
                    .forEachRemaining(n -> table.row(file.getKey(), n.getKey(), cell(n.getValue())));
        }
        return table.size() == 0 ? "The runs note nothing." : table.toString();
    }

    private static String flags(String flags) {
        return flags.length() < TEXT_OF_A_FLAG ? flags : "`" + flags + "`";
    }

    private static String inputs(Capacity capacity) {
        Table table = new Table("input", "value", "unit", "given or assumed", "source");
        capacity.target()
                .inputs()
                .forEach((name, i) ->
                        table.row(name, i.value(), i.unit(), i.assumed() ? "**assumed**" : "given", i.source()));
        return table.toString();
    }

    private static String bounds(Capacity capacity) {
        Map<String, Double> names = capacity.names(1, "target");
        Table table = new Table("bound", "value", "unit", "of what", "given or assumed", "source");
        capacity.target()
                .bounds()
                .forEach((name, b) -> table.row(
                        name,
                        (b.least() ? "at least " : "at most ") + Table.figure(names.get(name + "Bound")),
                        b.unit(),
                        b.what(),
                        b.assumed() ? "**assumed**" : "given",
                        b.source()));
        return table.toString();
    }

    private static String loads(Capacity capacity) {
        Table table = new Table(
                "load",
                "what",
                "reqs/s a relay",
                "changes of the list/s",
                "changes of configuration/s",
                "units in one answer");
        capacity.lines().loads().forEach((name, load) -> {
            Map<String, Double> names = capacity.names(1, name);
            table.row(
                    name,
                    load.what(),
                    names.get("reqs"),
                    names.get("changes"),
                    names.get("configs"),
                    names.get("burst"));
        });
        return table.toString();
    }

    private static String slopes(Measured slopes) {
        Table table = new Table(
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
        slopes.rows("slopes").forEach(s -> {
            List<double[]> points = Measured.points(s);
            double[] first = points.get(0);
            double[] last = points.get(points.size() - 1);
            table.row(
                    s.path("name").asText(),
                    s.path("what").asText(),
                    s.path("x").asText(),
                    points.stream()
                            .map(p -> Table.figure(p[0]) + ": " + Table.figure(p[1]))
                            .collect(Collectors.joining("; ")),
                    Table.figure(s.path("slope").asDouble()) + " " + s.path("y").asText(),
                    s.path("intercept").asDouble(),
                    percent(s.path("residual").asDouble()),
                    "x " + Table.figure(last[1] / first[1]) + " for x " + Table.figure(last[0] / first[0]),
                    s.has("ratioToReq") ? Table.figure(s.path("ratioToReq").asDouble()) : "",
                    s.path("how").asText());
        });
        return table.toString();
    }

    private static String percent(double share) {
        return Table.figure(share * 100) + "%";
    }

    private static String latency(Measured slopes) {
        Table table = new Table("reqs/s", "p50 added, ms", "p99 added, ms", "p99.9 added, ms", "p99 to p50");
        slopes.rows("latency")
                .forEach(l -> table.row(
                        l.path("perS").asDouble(),
                        l.path("p50Us").asDouble() / 1000,
                        l.path("p99Us").asDouble() / 1000,
                        l.path("p999Us").asDouble() / 1000,
                        l.path("p99Us").asDouble() / l.path("p50Us").asDouble()));
        return table.toString();
    }

    /** Rows of a file as they are, a column for each field of the first; what is nested is left out. */
    private static String rows(JsonNode rows) {
        Set<String> fields = new LinkedHashSet<>();
        rows.forEach(row -> row.fieldNames().forEachRemaining(f -> {
            if (row.path(f).isValueNode()) {
                fields.add(f);
            }
        }));
        if (fields.isEmpty()) {
            return "Not measured.";
        }
        Table table = new Table(fields.toArray(String[]::new));
        rows.forEach(
                row -> table.row(fields.stream().map(f -> cell(row.path(f))).toArray()));
        return table.toString();
    }

    private static String one(JsonNode node) {
        if (node.isEmpty()) {
            return "Not measured.";
        }
        Table table = new Table("figure", "value");
        node.fields().forEachRemaining(f -> table.row(f.getKey(), cell(f.getValue())));
        return table.toString();
    }

    private static Object cell(JsonNode value) {
        return value.isNumber()
                ? (Object) value.asDouble()
                : value.isNull() || value.isMissingNode() ? "-" : value.asText().replace("|", "\\|");
    }

    private static String role(Capacity capacity, String role) {
        List<String> head = new ArrayList<>(List.of("line", "formula", "slopes", "bound"));
        head.addAll(capacity.lines().loads().keySet());
        Table table = new Table(head.toArray(String[]::new));
        for (Lines.Line line : capacity.lines().lines()) {
            if (!line.role().equals(role)) {
                continue;
            }
            List<Object> row = new ArrayList<>(List.of(
                    line.line() + ", " + line.unit(),
                    "`" + line.formula() + "`",
                    slopesOf(capacity, line.formula()),
                    bound(capacity, line)));
            capacity.lines()
                    .loads()
                    .keySet()
                    .forEach(load -> row.add(line.under(load) ? figure(capacity.figure(line, 1, load)) : "-"));
            table.row(row.toArray());
        }
        return table.toString();
    }

    /** Slopes that a formula uses, and what in it is assumed. */
    private static String slopesOf(Capacity capacity, String formula) {
        Set<String> said = new LinkedHashSet<>();
        for (String name : Formulas.names(formula)) {
            String slope = name.endsWith("0") ? name.substring(0, name.length() - 1) : name;
            Target.Input input = capacity.target().inputs().get(name);
            if (Measured.KNOWN.contains(slope)) {
                said.add(slope + (measured(capacity, slope) ? residual(capacity.slopes(), slope) : " (not measured)"));
            } else if (input != null && input.assumed()) {
                said.add(name + " (assumed)");
            }
        }
        return String.join(", ", said);
    }

    /** Said where a line fits its points badly. */
    private static String residual(Measured slopes, String slope) {
        double residual = slopes.residual(slope);
        return residual > POOR_FIT ? " (points up to " + percent(residual) + " off)" : "";
    }

    private static boolean measured(Capacity capacity, String slope) {
        return !capacity.names(1, "target").getOrDefault(slope, Double.NaN).isNaN();
    }

    private static String bound(Capacity capacity, Lines.Line line) {
        return line.bound() == null
                ? ""
                : (capacity.target().bounds().get(line.bound()).least() ? "least " : "")
                        + Table.figure(capacity.names(1, "target").get(line.bound() + "Bound"));
    }

    private static String figure(Capacity.Figure figure) {
        String value = Table.figure(figure.value());
        if (Double.isNaN(figure.factor())) {
            return value;
        }
        String factor = value + " (" + Table.figure(figure.factor()) + ")";
        return figure.over() ? "**" + factor + " over**" : factor;
    }

    private static String over(Capacity capacity) {
        Table table = new Table("role", "line", "worst factor", "mechanism");
        capacity.over().stream()
                .sorted((a, b) -> Double.compare(capacity.worst(b), capacity.worst(a)))
                .forEach(l -> table.row(l.role(), l.line(), capacity.worst(l), l.mechanism()));
        return table.toString();
    }

    private static String ladder(Capacity capacity, List<Ladder.Rung> rungs) {
        List<Target.Step> steps = capacity.target().steps();
        List<String> head = new ArrayList<>(List.of("bound", "figure to bound, under load"));
        steps.forEach(s -> head.add("at " + s.name()));
        head.addAll(List.of(
                "crossed at", "over from step", "with membership by scope: at 1", "crossed at ", "over from step "));
        Table table = new Table(head.stream().map(String::strip).toArray(String[]::new));
        for (Ladder.Rung rung : rungs) {
            List<Object> row = new ArrayList<>(List.of(
                    rung.line().id(), rung.line().line() + "; " + rung.line().ladder()));
            for (double factor : rung.before()) {
                row.add(factor > 1 ? "**" + Table.figure(factor) + "**" : Table.figure(factor));
            }
            row.add(Table.share(rung.crossed()));
            row.add(step(steps, rung.before()));
            if (rung.line().after() == null) {
                row.addAll(List.of("as before", "", ""));
            } else {
                row.addAll(List.of(
                        rung.after()[rung.after().length - 1],
                        Table.share(rung.crossedAfter()),
                        step(steps, rung.after())));
            }
            table.row(row.toArray());
        }
        return table.toString();
    }

    private static String step(List<Target.Step> steps, double[] factors) {
        if (Double.isNaN(factors[factors.length - 1])) {
            return "not measured";
        }
        String step = Ladder.step(steps, factors);
        return step == null ? "none" : step;
    }

    private static String lost(List<Ladder.Rung> rungs) {
        Table table = new Table("bound", "crossed at", "what is lost there", "mechanism");
        rungs.stream()
                .filter(r -> r.crossed() <= 1)
                .forEach(r -> table.row(
                        r.line().id(),
                        Table.share(r.crossed()),
                        r.line().lost(),
                        r.line().mechanism()));
        return table.toString();
    }

    private static String scale(Measured scale) {
        if (scale.rows("steps").isEmpty()) {
            return "Not run.";
        }
        Table table = new Table(
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
        scale.rows("steps")
                .forEach(step -> step.path("plays")
                        .forEach(p -> table.row(
                                step.path("step").asText(),
                                cell(step.path("relays")),
                                cell(step.path("units")),
                                cell(step.path("services")),
                                p.path("play").asText(),
                                p.path("scope").asText(),
                                some(p, "reachedP50Ms") + ", " + some(p, "reachedP99Ms") + ", "
                                        + some(p, "reachedLastMs"),
                                some(p, "bytesPerRelayS"),
                                some(p, "cpuPerRelayShare"),
                                p.path("heapPerRelayBytes").isNumber()
                                        ? Table.figure(
                                                p.path("heapPerRelayBytes").asDouble() / 1e6)
                                        : "-",
                                some(p, "taken"),
                                some(p, "refused"),
                                some(p, "lost"),
                                some(p, "rule3"),
                                some(p, "rule4"),
                                some(p, "wallS"))));
        return table.toString();
    }

    private static String some(JsonNode play, String field) {
        Object cell = cell(play.path(field));
        return cell instanceof Double d ? Table.figure(d) : String.valueOf(cell);
    }
}
