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

/** docs/CAPACITY.md has what its files give, and every way in which it might not is reported. */
class CapacityPageTest {
    private static final Path PAGE = Path.of("docs/CAPACITY.md");
    private static final Path DATA = Path.of("docs/capacity");
    private static final Path FIXTURES = Path.of("src/test/resources/capacity");

    @TempDir
    private static Path agreed;

    @TempDir
    private Path scratch;

    private CapacityPage page;

    /** A copy of the page on invented runs, written out and agreeing. */
    @BeforeAll
    static void agree() throws IOException {
        Files.copy(PAGE, agreed.resolve("CAPACITY.md"));
        Files.copy(DATA.resolve("target.json"), agreed.resolve("target.json"));
        Files.copy(DATA.resolve("lines.json"), agreed.resolve("lines.json"));
        Files.copy(FIXTURES.resolve("slopes.json"), agreed.resolve("slopes.json"));
        Files.copy(FIXTURES.resolve("membership.json"), agreed.resolve("membership.json"));
        Files.copy(FIXTURES.resolve("scale.json"), agreed.resolve("scale.json"));
        CapacityPage page = new CapacityPage(agreed.resolve("CAPACITY.md"), agreed);
        page.write();
        assertThat(page.problems()).isEmpty();
    }

    @BeforeEach
    void copy() throws IOException {
        try (DirectoryStream<Path> files = Files.newDirectoryStream(agreed)) {
            for (Path file : files) {
                Files.copy(file, scratch.resolve(file.getFileName()));
            }
        }
        page = new CapacityPage(scratch.resolve("CAPACITY.md"), scratch);
    }

    private void change(String file, String from, String to) throws IOException {
        Path path = scratch.resolve(file);
        String text = Files.readString(path);
        assertThat(text).contains(from);
        Files.writeString(path, text.replace(from, to));
    }

    @Test
    void thePageHasWhatItsFilesGive() throws IOException {
        assertThat(new CapacityPage(PAGE, DATA).problems()).isEmpty();
    }

    @Test
    void writingThePageAgainChangesNothing() throws IOException {
        String once = Files.readString(scratch.resolve("CAPACITY.md"));
        page.write();
        assertThat(Files.readString(scratch.resolve("CAPACITY.md"))).isEqualTo(once);
    }

    @Test
    void aFigureChangedInThePageIsReported() throws IOException {
        change("CAPACITY.md", "| relays | 5,700 |", "| relays | 5,701 |");
        assertThat(page.problems()).singleElement().asString().contains("table inputs");
    }

    @Test
    void aFigureChangedInTheTargetIsReported() throws IOException {
        change("target.json", "\"value\": 200000", "\"value\": 200001");
        assertThat(page.problems())
                .anyMatch(p -> p.contains("table inputs"))
                .anyMatch(p -> p.contains("table role-relay"));
    }

    @Test
    void aSlopeChangedInItsFileIsReported() throws IOException {
        change("slopes.json", "\"slope\": 2000", "\"slope\": 2100");
        assertThat(page.problems())
                .anyMatch(p -> p.contains("table slopes"))
                .anyMatch(p -> p.contains("table ladder"))
                .anyMatch(p -> p.contains("chart"));
    }

    @Test
    void aFormulaChangedIsReported() throws IOException {
        change("lines.json", "\"units*heapPerUnit/1000000\"", "\"units*heapPerUnit/1048576\"");
        assertThat(page.problems()).anyMatch(p -> p.contains("table role-relay"));
    }

    @Test
    void slopesOfAnotherRunAreReported() throws IOException {
        change("slopes.json", "fixture-1", "fixture-9");
        assertThat(page.problems()).contains("the page names run fixture-1 for slopes, the file is of run fixture-9");
    }

    @Test
    void slopesOfAScopeOfAnotherRunOrChangedAreReported() throws IOException {
        change("membership.json", "fixture-3", "fixture-9");
        assertThat(page.problems())
                .contains("the page names run fixture-3 for membership, the file is of run fixture-9");
        change("membership.json", "fixture-9", "fixture-3");
        assertThat(page.problems()).isEmpty();
        change("membership.json", "\"slope\": 60", "\"slope\": 66");
        assertThat(page.problems()).anyMatch(p -> p.contains("table slopes")).anyMatch(p -> p.contains("table ladder"));
    }

    @Test
    void scaleOfAnotherRunIsReported() throws IOException {
        change("scale.json", "fixture-2", "fixture-9");
        assertThat(page.problems()).contains("the page names run fixture-2 for scale, the file is of run fixture-9");
    }

    @Test
    void aRunThatIsNoLongerThereIsReported() throws IOException {
        Files.delete(scratch.resolve("scale.json"));
        assertThat(page.problems()).contains("the page names run fixture-2 for scale, the file is of run not run");
    }

    @Test
    void aRunWithoutAnIdIsRefused() throws IOException {
        change("slopes.json", "\"id\": \"fixture-1\", ", "");
        assertThatThrownBy(page::problems).isInstanceOf(IOException.class).hasMessageContaining("no run.id");
    }

    @Test
    void aChartChangedOrGoneIsReported() throws IOException {
        change("ladder.svg", "stroke-width=\"1.5\"", "stroke-width=\"1.6\"");
        assertThat(page.problems()).singleElement().asString().contains("chart");
        Files.delete(scratch.resolve("ladder.svg"));
        assertThat(page.problems()).singleElement().asString().contains("chart");
    }

    @Test
    void aMissingUnknownOrRepeatedTableIsReported() throws IOException {
        change("CAPACITY.md", "<!-- table:over -->", "<!-- table:under -->");
        assertThat(page.problems()).contains("table under is none that the files give", "table over is missing");
        change("CAPACITY.md", "<!-- table:under -->", "<!-- table:inputs -->");
        assertThat(page.problems()).contains("table inputs stands there twice");
    }

    @Test
    void aMetricOverItsBoundNeedsAMechanismAndAMechanismNeedsAHeading() throws IOException {
        change(
                "lines.json",
                "\"mechanism\": \"membership by scope\", \"ladder\": \"anew\", \"after\": " + "\"entryBytes/1000000\"",
                "\"ladder\": \"anew\", \"after\": \"entryBytes/1000000\"");
        assertThat(page.problems()).contains("line list is over its bound and names no mechanism");
        change("CAPACITY.md", "\n### Tenants by demand\n", "\n### Tenants\n");
        assertThat(page.problems()).contains("mechanism 'tenants by demand' has no heading");
    }

    /** A misspelt name would pass for a slope that was not measured. */
    @Test
    void formulasUseKnownNames() throws IOException {
        CapacityTarget target = CapacityTarget.read(DATA.resolve("target.json"));
        CapacityModel model = CapacityModel.read(DATA.resolve("lines.json"));
        Set<String> known = new HashSet<>(target.inputs().keySet());
        target.bounds().keySet().forEach(b -> known.add(b + "Bound"));
        known.addAll(model.derived().keySet());
        model.loads().values().forEach(l -> known.addAll(l.variables().keySet()));
        known.addAll(MeasurementRun.KNOWN_NAMES);
        MeasurementRun.KNOWN_NAMES.forEach(k -> known.add(k + "0"));
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
        MeasurementRun.KNOWN_NAMES.forEach(k -> assertThat(target.inputs()).doesNotContainKey(k));
    }

    @Test
    void everyInputHasASourceAndIsMarkedIfAssumed() throws IOException {
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
