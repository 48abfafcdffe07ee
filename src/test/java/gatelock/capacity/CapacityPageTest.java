package gatelock.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a capacity page that does not match its data files, and against a check that misses a mismatch. */
class CapacityPageTest {
    private static final Path PAGE = Path.of("docs/CAPACITY.md");
    private static final Path DATA = Path.of("docs/capacity");
    private static final Path FIXTURES = Path.of("src/test/resources/capacity");

    @TempDir
    private static Path matchingFiles;

    @TempDir
    private Path directory;

    private CapacityPage page;

    /** Writes a copy of the page that matches a set of made-up runs. */
    @BeforeAll
    static void writeMatchingPage() throws IOException {
        Files.copy(PAGE, matchingFiles.resolve("CAPACITY.md"));
        Files.copy(DATA.resolve("target.json"), matchingFiles.resolve("target.json"));
        Files.copy(DATA.resolve("lines.json"), matchingFiles.resolve("lines.json"));
        Files.copy(FIXTURES.resolve("slopes.json"), matchingFiles.resolve("slopes.json"));
        Files.copy(FIXTURES.resolve("membership.json"), matchingFiles.resolve("membership.json"));
        Files.copy(FIXTURES.resolve("scale.json"), matchingFiles.resolve("scale.json"));
        CapacityPage page = new CapacityPage(matchingFiles.resolve("CAPACITY.md"), matchingFiles);
        page.write();
        assertThat(page.problems()).isEmpty();
    }

    @BeforeEach
    void copyMatchingFiles() throws IOException {
        try (DirectoryStream<Path> files = Files.newDirectoryStream(matchingFiles)) {
            for (Path file : files) {
                Files.copy(file, directory.resolve(file.getFileName()));
            }
        }
        page = new CapacityPage(directory.resolve("CAPACITY.md"), directory);
    }

    private void replaceInFile(String file, String from, String to) throws IOException {
        Path path = directory.resolve(file);
        String text = Files.readString(path);
        assertThat(text).contains(from);
        Files.writeString(path, text.replace(from, to));
    }

    @Test
    void pageMatchesDataFiles() throws IOException {
        assertThat(new CapacityPage(PAGE, DATA).problems()).isEmpty();
    }

    @Test
    void rewritesMatchingPageUnchanged() throws IOException {
        String textBefore = Files.readString(directory.resolve("CAPACITY.md"));
        page.write();
        assertThat(Files.readString(directory.resolve("CAPACITY.md"))).isEqualTo(textBefore);
    }

    @Test
    void reportsFigureChangedInPage() throws IOException {
        replaceInFile("CAPACITY.md", "| relays | 5,700 |", "| relays | 5,701 |");
        assertThat(page.problems()).singleElement().asString().contains("table inputs");
    }

    @Test
    void reportsFigureChangedInTarget() throws IOException {
        replaceInFile("target.json", "\"value\": 200000", "\"value\": 200001");
        assertThat(page.problems())
                .anyMatch(p -> p.contains("table inputs"))
                .anyMatch(p -> p.contains("table role-relay"));
    }

    @Test
    void reportsSlopeChangedInDataFile() throws IOException {
        replaceInFile("slopes.json", "\"slope\": 2000", "\"slope\": 2100");
        assertThat(page.problems())
                .anyMatch(p -> p.contains("table slopes"))
                .anyMatch(p -> p.contains("table ladder"))
                .anyMatch(p -> p.contains("chart"));
    }

    @Test
    void reportsChangedFormula() throws IOException {
        replaceInFile("lines.json", "\"units*heapPerUnit/1000000\"", "\"units*heapPerUnit/1048576\"");
        assertThat(page.problems()).anyMatch(p -> p.contains("table role-relay"));
    }

    @Test
    void reportsSlopesOfAnotherRun() throws IOException {
        replaceInFile("slopes.json", "fixture-1", "fixture-9");
        assertThat(page.problems()).contains("the page has run ID fixture-1 for slopes, the data file has: fixture-9");
    }

    @Test
    void reportsMembershipOfAnotherRunOrWithChangedSlope() throws IOException {
        replaceInFile("membership.json", "fixture-3", "fixture-9");
        assertThat(page.problems())
                .contains("the page has run ID fixture-3 for membership, the data file has: fixture-9");
        replaceInFile("membership.json", "fixture-9", "fixture-3");
        assertThat(page.problems()).isEmpty();
        replaceInFile("membership.json", "\"slope\": 60", "\"slope\": 66");
        assertThat(page.problems()).anyMatch(p -> p.contains("table slopes")).anyMatch(p -> p.contains("table ladder"));
    }

    @Test
    void reportsScaleOfAnotherRun() throws IOException {
        replaceInFile("scale.json", "fixture-2", "fixture-9");
        assertThat(page.problems()).contains("the page has run ID fixture-2 for scale, the data file has: fixture-9");
    }

    @Test
    void reportsRunWithMissingDataFile() throws IOException {
        Files.delete(directory.resolve("scale.json"));
        assertThat(page.problems()).contains("the page has run ID fixture-2 for scale, the data file has: not run");
    }

    @Test
    void rejectsDataFileWithoutRunId() throws IOException {
        replaceInFile("slopes.json", "\"id\": \"fixture-1\", ", "");
        assertThatThrownBy(page::problems)
                .isInstanceOf(IOException.class)
                .hasMessageContaining("run.id is missing or blank");
    }

    @Test
    void reportsChangedOrMissingChart() throws IOException {
        replaceInFile("ladder.svg", "stroke-width=\"1.5\"", "stroke-width=\"1.6\"");
        assertThat(page.problems()).singleElement().asString().contains("chart");
        Files.delete(directory.resolve("ladder.svg"));
        assertThat(page.problems()).singleElement().asString().contains("chart");
    }

    @Test
    void reportsMissingUnknownOrRepeatedTable() throws IOException {
        replaceInFile("CAPACITY.md", "<!-- table:over -->", "<!-- table:under -->");
        assertThat(page.problems())
                .contains("table under is not generated from any data file", "table over is missing");
        replaceInFile("CAPACITY.md", "<!-- table:under -->", "<!-- table:inputs -->");
        assertThat(page.problems()).contains("table inputs appears more than once");
    }

    @Test
    void reportsMetricOverBoundWithoutMechanismAndMechanismWithoutHeading() throws IOException {
        replaceInFile(
                "lines.json",
                "\"mechanism\": \"membership by scope\", \"ladder\": \"anew\", \"after\": " + "\"entryBytes/1000000\"",
                "\"ladder\": \"anew\", \"after\": \"entryBytes/1000000\"");
        assertThat(page.problems()).contains("line list crosses its bound and names no mechanism");
        replaceInFile("CAPACITY.md", "\n### Tenants by demand\n", "\n### Tenants\n");
        assertThat(page.problems()).contains("mechanism 'tenants by demand' has no heading");
    }

    /** A misspelled name evaluates to NaN and would be taken for a slope that was not measured. */
    @Test
    void modelUsesOnlyKnownNames() throws IOException {
        CapacityTarget target = CapacityTarget.read(DATA.resolve("target.json"));
        CapacityModel model = CapacityModel.read(DATA.resolve("lines.json"));
        Set<String> known = new HashSet<>(target.inputs().keySet());
        target.bounds().keySet().forEach(b -> known.add(b + "Bound"));
        known.addAll(model.derived().keySet());
        model.loads().values().forEach(l -> known.addAll(l.variables().keySet()));
        known.addAll(MeasurementRun.KNOWN_SLOPES);
        MeasurementRun.KNOWN_SLOPES.forEach(k -> known.add(k + "0"));
        for (CapacityModel.Metric metric : model.metrics()) {
            assertThat(known).as(metric.id()).containsAll(FormulaEvaluator.names(metric.formula()));
            assertThat(known)
                    .as(metric.id())
                    .containsAll(
                            metric.formulaWithSubsets() == null
                                    ? Set.of()
                                    : FormulaEvaluator.names(metric.formulaWithSubsets()));
            assertThat(metric.bound() == null || target.bounds().containsKey(metric.bound()))
                    .as(metric.id())
                    .isTrue();
            assertThat(metric.ladderLoad() == null || (metric.bound() != null && metric.lossBeyondBound() != null))
                    .as(metric.id())
                    .isTrue();
        }
        assertThat(model.metrics().stream().map(CapacityModel.Metric::id)).doesNotHaveDuplicates();
        MeasurementRun.KNOWN_SLOPES.forEach(k -> assertThat(target.inputs()).doesNotContainKey(k));
    }

    @Test
    void targetNamesSourcesAndMarksAssumedInputs() throws IOException {
        CapacityTarget target = CapacityTarget.read(DATA.resolve("target.json"));
        assertThat(target.inputs().values())
                .allSatisfy(i -> assertThat(i.source()).isNotBlank());
        assertThat(target.inputs().values())
                .filteredOn(i -> i.source().startsWith("ours") || i.source().startsWith("hive-scale-lk"))
                .allMatch(CapacityTarget.Input::assumed);
        assertThat(target.bounds().values()).allSatisfy(b -> {
            assertThat(b.source()).isNotBlank();
            assertThat(b.value() == null).isNotEqualTo(b.formula() == null);
        });
    }
}
