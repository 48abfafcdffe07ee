package gatelock;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Runs each text scenario in src/test/resources/scenarios against the decision engine. NOTATION.md describes the
 * format.
 */
final class ScenariosTest {
    @TestFactory
    Stream<DynamicTest> scenarios() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src/test/resources/scenarios"))) {
            return files.filter(file -> file.toString().endsWith(".txt")).sorted().toList().stream()
                    .map(file -> DynamicTest.dynamicTest(
                            file.getFileName().toString(), () -> new ScenarioRunner().run(file)));
        }
    }
}
