package gatelock.capacity;

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

/**
 * The page docs/CAPACITY.md, whose tables and chart are generated from the files of docs/capacity/. {@code make
 * capacity} writes them; {@link #problems} reports where the page and the files differ.
 */
final class CapacityPage {
    private static final Pattern TABLE = Pattern.compile("<!-- table:([a-z-]+) -->\n(.*?)<!-- end -->", Pattern.DOTALL);
    private static final Pattern NAMED_RUN = Pattern.compile("\\| (slopes|membership|scale) \\| `([^`]*)` \\|");
    private static final List<String> RUN_FILES = List.of("slopes", "membership", "scale");

    private final Path page;
    private final Path data;

    /**
     * A page and its data.
     *
     * @param page the text, with a marker around each table
     * @param data the directory of the files; the chart is there, too
     */
    CapacityPage(Path page, Path data) {
        this.page = page;
        this.data = data;
    }

    /** Writes tables and chart and prints the problems that remain: {@code [PAGE DATA]}. */
    public static void main(String[] args) throws IOException {
        CapacityPage page = args.length > 1
                ? new CapacityPage(Path.of(args[0]), Path.of(args[1]))
                : new CapacityPage(Path.of("docs/CAPACITY.md"), Path.of("docs/capacity"));
        page.write();
        page.problems().forEach(System.err::println);
    }

    /** What the files give. */
    private record Generated(
            Map<String, String> tables, String chart, Map<String, MeasurementRun> runs, CapacityEvaluator evaluator) {}

    private Generated generate() throws IOException {
        Map<String, MeasurementRun> runs = new LinkedHashMap<>();
        for (String file : RUN_FILES) {
            runs.put(file, MeasurementRun.read(data.resolve(file + ".json")));
        }
        CapacityEvaluator evaluator = new CapacityEvaluator(
                CapacityTarget.read(data.resolve("target.json")),
                runs.get("slopes").withSlopesOf(runs.get("membership")),
                CapacityModel.read(data.resolve("lines.json")));
        List<ScaleLadder.Rung> rungs = ScaleLadder.rungs(evaluator);
        return new Generated(
                PageTables.all(evaluator, runs, rungs),
                new LadderChart(evaluator.target()).svg(rungs),
                runs,
                evaluator);
    }

    private Path chart() {
        return data.resolve("ladder.svg");
    }

    /** Writes the tables into the page, and the chart. */
    void write() throws IOException {
        Generated generated = generate();
        Files.writeString(page, withTables(Files.readString(page), generated.tables));
        Files.writeString(chart(), generated.chart);
    }

    private static String withTables(String text, Map<String, String> tables) {
        return TABLE.matcher(text).replaceAll(match -> {
            String name = match.group(1);
            String table = tables.getOrDefault(name, "no such table");
            return Matcher.quoteReplacement("<!-- table:" + name + " -->\n" + table + "\n<!-- end -->");
        });
    }

    /** Where the page and the files differ, one line for each difference. */
    List<String> problems() throws IOException {
        Generated generated = generate();
        String text = Files.readString(page);
        List<String> problems = new ArrayList<>();
        addTableProblems(text, generated.tables, problems);
        addRunProblems(text, generated.runs, problems);
        if (!Files.exists(chart()) || !Files.readString(chart()).equals(generated.chart)) {
            problems.add("the chart is not what the files give: run make capacity");
        }
        addMechanismProblems(text, generated.evaluator, problems);
        return problems;
    }

    private static void addTableProblems(String text, Map<String, String> tables, List<String> problems) {
        Set<String> seen = new LinkedHashSet<>();
        Matcher table = TABLE.matcher(text);
        while (table.find()) {
            String name = table.group(1);
            if (!tables.containsKey(name)) {
                problems.add("table " + name + " is none that the files give");
            } else if (!table.group(2).equals(tables.get(name) + "\n")) {
                problems.add("table " + name + " is not what the files give: run make capacity");
            }
            if (!seen.add(name)) {
                problems.add("table " + name + " stands there twice");
            }
        }
        tables.keySet().stream()
                .filter(name -> !seen.contains(name))
                .forEach(name -> problems.add("table " + name + " is missing"));
    }

    /** The page names the runs that the files are of. */
    private static void addRunProblems(String text, Map<String, MeasurementRun> runs, List<String> problems) {
        Map<String, String> namedRuns = new LinkedHashMap<>();
        Matcher run = NAMED_RUN.matcher(text);
        while (run.find()) {
            namedRuns.put(run.group(1), run.group(2));
        }
        runs.forEach((file, measured) -> {
            String id = measured.runId();
            if (!id.equals(namedRuns.get(file))) {
                problems.add(
                        "the page names run " + namedRuns.get(file) + " for " + file + ", the file is of run " + id);
            }
        });
    }

    /** Each metric over its bound has a mechanism, and each mechanism a heading. */
    private static void addMechanismProblems(String text, CapacityEvaluator evaluator, List<String> problems) {
        for (CapacityModel.Metric metric : evaluator.metricsOverBound()) {
            if (metric.mechanism() == null) {
                problems.add("line " + metric.id() + " is over its bound and names no mechanism");
            }
        }
        String lowerCaseText = text.toLowerCase(Locale.ROOT);
        evaluator.model().metrics().stream()
                .map(CapacityModel.Metric::mechanism)
                .filter(mechanism -> mechanism != null)
                .distinct()
                .filter(mechanism -> !lowerCaseText.contains("\n### " + mechanism + "\n"))
                .forEach(mechanism -> problems.add("mechanism '" + mechanism + "' has no heading"));
    }
}
