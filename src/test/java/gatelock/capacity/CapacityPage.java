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
 * The page docs/CAPACITY.md, whose tables and chart are generated from the data files in docs/capacity/. {@code make
 * capacity} writes them; {@link #problems} reports differences between the page and the data files.
 */
final class CapacityPage {
    private static final Pattern TABLE = Pattern.compile("<!-- table:([a-z-]+) -->\n(.*?)<!-- end -->", Pattern.DOTALL);
    private static final Pattern NAMED_RUN = Pattern.compile("\\| (slopes|membership|scale) \\| `([^`]*)` \\|");
    private static final List<String> RUN_FILES = List.of("slopes", "membership", "scale");

    private final Path pagePath;
    private final Path dataDirectory;

    /**
     * Creates a page with its data files.
     *
     * @param pagePath Markdown file, with a pair of markers around each table
     * @param dataDirectory directory of the data files and the chart
     */
    CapacityPage(Path pagePath, Path dataDirectory) {
        this.pagePath = pagePath;
        this.dataDirectory = dataDirectory;
    }

    /** Writes the tables and the chart, and prints the remaining problems. Arguments: {@code [PAGE DATA]}. */
    public static void main(String[] args) throws IOException {
        CapacityPage page = args.length > 1
                ? new CapacityPage(Path.of(args[0]), Path.of(args[1]))
                : new CapacityPage(Path.of("docs/CAPACITY.md"), Path.of("docs/capacity"));
        page.write();
        page.problems().forEach(System.err::println);
    }

    /** The content that is generated from the data files, and the inputs that it was generated from. */
    private record GeneratedContent(
            Map<String, String> tables, String chart, Map<String, MeasurementRun> runs, CapacityEvaluator evaluator) {}

    private GeneratedContent generate() throws IOException {
        Map<String, MeasurementRun> runs = new LinkedHashMap<>();
        for (String file : RUN_FILES) {
            runs.put(file, MeasurementRun.read(dataDirectory.resolve(file + ".json")));
        }
        CapacityEvaluator evaluator = new CapacityEvaluator(
                CapacityTarget.read(dataDirectory.resolve("target.json")),
                runs.get("slopes").withSlopesOf(runs.get("membership")),
                CapacityModel.read(dataDirectory.resolve("lines.json")));
        List<ScaleLadder.ScalingCurve> curves = ScaleLadder.scalingCurves(evaluator);
        return new GeneratedContent(
                PageTables.allTables(evaluator, runs, curves),
                new LadderChart(evaluator.target()).svg(curves),
                runs,
                evaluator);
    }

    private Path chartPath() {
        return dataDirectory.resolve("ladder.svg");
    }

    /** Writes the tables into the page, and the chart into its file. */
    void write() throws IOException {
        GeneratedContent generated = generate();
        Files.writeString(pagePath, withTables(Files.readString(pagePath), generated.tables));
        Files.writeString(chartPath(), generated.chart);
    }

    private static String withTables(String text, Map<String, String> tables) {
        return TABLE.matcher(text).replaceAll(match -> {
            String name = match.group(1);
            String table = tables.getOrDefault(name, "no such table");
            return Matcher.quoteReplacement("<!-- table:" + name + " -->\n" + table + "\n<!-- end -->");
        });
    }

    /** Returns the differences between the page and the data files, one line for each. */
    List<String> problems() throws IOException {
        GeneratedContent generated = generate();
        String text = Files.readString(pagePath);
        List<String> problems = new ArrayList<>();
        addTableProblems(text, generated.tables, problems);
        addRunProblems(text, generated.runs, problems);
        if (!Files.exists(chartPath()) || !Files.readString(chartPath()).equals(generated.chart)) {
            problems.add("the chart differs from the data files: run make capacity");
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
                problems.add("table " + name + " is not generated from any data file");
            } else if (!table.group(2).equals(tables.get(name) + "\n")) {
                problems.add("table " + name + " differs from the data files: run make capacity");
            }
            if (!seen.add(name)) {
                problems.add("table " + name + " appears more than once");
            }
        }
        tables.keySet().stream()
                .filter(name -> !seen.contains(name))
                .forEach(name -> problems.add("table " + name + " is missing"));
    }

    /** Checks that the run ID that the page names for each data file is the ID in that file. */
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
                        "the page has run ID " + namedRuns.get(file) + " for " + file + ", the data file has: " + id);
            }
        });
    }

    /** Checks that each metric over its bound names a mechanism, and that the page has a heading for each mechanism. */
    private static void addMechanismProblems(String text, CapacityEvaluator evaluator, List<String> problems) {
        for (CapacityModel.Metric metric : evaluator.metricsOverBound()) {
            if (metric.mechanism() == null) {
                problems.add("line " + metric.id() + " crosses its bound and names no mechanism");
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
