package gatelock.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Tests compilation and the findings on invalid versions. Each file under src/test/resources/plans begins with the
 * expected findings, one line {@code # line:column pointer code} each; the version's text follows, with its lines counted
 * from 1 again.
 */
final class ConfigCompilerTest {

    @TestFactory
    Stream<DynamicTest> reportsExactlyTheExpectedFindingsOfEachVersion() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src/test/resources/plans"))) {
            return files.sorted().toList().stream()
                    .map(file -> DynamicTest.dynamicTest(file.getFileName().toString(), () -> {
                        List<String> lines = Files.readAllLines(file);
                        List<String> expected = lines.stream()
                                .takeWhile(line -> line.startsWith("# "))
                                .map(line -> line.substring(2))
                                .toList();
                        String text = String.join("\n", lines.subList(expected.size(), lines.size()));
                        ConfigCompiler.Result compiled = SampleConfigs.compile(text);
                        assertThat(compiled.diagnostics())
                                .as("%s", compiled.diagnostics())
                                .extracting(found -> found.line() + ":" + found.column() + " " + found.pointer() + " "
                                        + found.code())
                                .containsExactlyInAnyOrderElementsOf(expected);
                        assertThat(compiled.diagnostics()).allSatisfy(found -> {
                            assertThat(found.problem()).isNotBlank();
                            assertThat(found.remedy()).isNotBlank();
                        });
                        assertThat(compiled.isValid())
                                .isEqualTo(compiled.diagnostics().stream().noneMatch(Diagnostic::isError));
                    }));
        }
    }

    /** Guards against a list of findings that takes more memory than the version (review/8). */
    @Test
    void stopsToSearchForFindingsOnceThereAreManyMoreThanAreReported() {
        String wrongRoutes = "{'name': 1},".repeat(5_000);
        ConfigCompiler.Result ofSchema = SampleConfigs.compile(
                "{\"format\": 1, \"routes\": [" + wrongRoutes.replace('\'', '"') + "{\"name\": 1}]}");
        assertThat(ofSchema.isValid()).isFalse();
        assertThat(ofSchema.diagnostics()).hasSize(201);
        assertThat(ofSchema.diagnostics().get(200).problem()).isEqualTo("800 more findings are not reported");
    }

    /** Guards against an error that is overlooked because there are many warnings before it. */
    @Test
    void keepsErrorBehindManyWarnings() {
        BoundedDiagnostics diagnostics = new BoundedDiagnostics(10);
        for (int i = 0; i < 20; i++) {
            diagnostics.add(Diagnostic.newWarning("W", "/" + i, "odd", "check it"));
        }
        assertThat(diagnostics.hasErrors()).isFalse();
        diagnostics.add(Diagnostic.newError("E", "/e", "wrong", "correct it"));
        assertThat(diagnostics.hasErrors()).isTrue();
        assertThat(diagnostics).hasSize(10).anyMatch(Diagnostic::isError);
        assertThat(diagnostics.omitted()).isEqualTo(11);
    }

    @Test
    void inheritsMissingFieldBeforeUsingDefault() {
        CompiledConfig config = SampleConfigs.compileValid("""
            {'format': 1, 'defaults': {'pool': 'all', 'retries': 'none'},
             'pools': {'all': {}, 'east': {'zones': ['east'], 'fallback': 'all', 'leastShare': 0.5, 'retries': 'two'}},
             'retries': {'none': {'tries': 1}, 'two': {'tries': 2}, 'three': {'tries': 3, 'after': ['errored']}},
             'limits': {'few': {'inFlight': 3}},
             'routes': [{'name': 'base', 'abstract': true, 'pool': 'east', 'class': 'read', 'limits': ['few']},
              {'name': 'own', 'inherits': 'base', 'path': '/own', 'retries': 'three', 'limits': []},
              {'name': 'heir', 'inherits': 'own', 'path': '/heir'},
              {'name': 'pooled', 'inherits': 'base', 'path': '/pooled'},
              {'name': 'plain', 'path': '/plain', 'class': 'claim'}]}
            """);
        assertThat(config.routeCount()).isEqualTo(4);
        RouteEntry own = config.routesByName().get("own");
        RouteEntry heir = config.routesByName().get("heir");
        RouteEntry pooled = config.routesByName().get("pooled");
        RouteEntry plain = config.routesByName().get("plain");
        assertThat(config.retryPolicy(own, "east").name()).isEqualTo("three");
        assertThat(own.limits()).isEmpty();
        assertThat(config.retryPolicy(heir, "all").name()).isEqualTo("three");
        assertThat(config.retryPolicy(pooled, "east").name()).isEqualTo("two");
        assertThat(config.retryPolicy(pooled, "all").name()).isEqualTo("none");
        assertThat(pooled.limits()).extracting(LimitPolicy::name).containsExactly("few");
        assertThat(plain.pool()).isEqualTo("all");
        assertThat(config.fallbackChain("east")).containsExactly("east", "all");
    }

    @Test
    void ignoresTextChangesWithoutEffectInDiff() {
        String text = """
            {'format': 1, 'limits': {'a': {'ratePerS': 5}}, 'routes': [
             {'name': 'x', 'path': '/x', 'class': 'read', 'limits': ['a']}, {'name': 'y', 'path': '/y', 'class': 'claim'}]}
            """;
        String moved = """
            {'routes': [{'class': 'claim', 'path': '/y/', 'name': 'y'},
              {'name': 'x', 'limits': ['a'], 'path': '/x', 'class': 'read', 'host': '*'}],
             'limits': {'a': {'per': 'all', 'ratePerS': 5.0, 'burst': 5}}, 'note': 'moved', 'format': 1}
            """;
        assertThat(ConfigDiff.compare(
                        SampleConfigs.compileValid(text), SampleConfigs.compileValid(moved), SampleConfigs.DEPLOYMENT))
                .isEmpty();
        assertThat(ConfigDiff.compare(
                        SampleConfigs.compileValid(text),
                        SampleConfigs.compileValid(text.replace("5}", "6}").replace("'/y'", "'/z'")),
                        SampleConfigs.DEPLOYMENT))
                .hasSize(2)
                .anyMatch(line -> line.contains("limits") && line.contains("6 reqs a second"))
                .anyMatch(line -> line.startsWith("route y: matches"));
        String one = "{'name': 'one', 'path': '/p', 'headers': {'x-a': '1'}, 'class': 'read'}";
        String two = "{'name': 'two', 'path': '/p/q', 'class': 'read'}";
        assertThat(ConfigDiff.compare(
                        SampleConfigs.compileValid("{'format': 1, 'routes': [" + one + ", " + two + "]}"),
                        SampleConfigs.compileValid("{'format': 1, 'routes': [" + two + ", " + one + "]}"),
                        SampleConfigs.DEPLOYMENT))
                .singleElement()
                .asString()
                .contains("go to route two, went to one");
    }
}
