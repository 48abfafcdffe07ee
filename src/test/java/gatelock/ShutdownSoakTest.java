package gatelock;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.ShutdownSoak;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Short, seeded part of the soak of shutdowns. {@code make soak-shutdown} runs more seeds. */
final class ShutdownSoakTest {
    @TempDir
    private Path directory;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void answersEachRequestThatAnEndpointExecuted(long seed) throws Exception {
        ShutdownSoak.Outcome outcome = new ShutdownSoak(seed).run(directory);
        assertThat(outcome.endedEarly()).isFalse();
        assertThat(outcome.answered()).isPositive();
        assertThat(outcome.lost()).as("%s", outcome).isEmpty();
    }
}
