package gatelock;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.ClientPressure;
import gatelock.standin.FakeDeployment;
import gatelock.standin.RelayProcess;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a relay process whose resident memory exceeds {@code limits.memory_mb} of its settings. */
final class ProcessMemoryLimitTest {
    private static final int READY_MS = 30_000;
    private static final int SECONDS = 3;
    private static final int ENDPOINTS = 8;
    private static final int WORK_MS = 100;
    private static final int SEED = 58;
    /** How long clients of one kind may stay after their play, longer than any request of theirs takes. */
    private static final int CLIENTS_LEFT_MS = 3_500;

    private static final List<ClientPressure.Kind> KINDS = List.of(
            ClientPressure.Kind.SLOW,
            ClientPressure.Kind.LARGE_HEADS,
            ClientPressure.Kind.LARGE_REQUESTS,
            ClientPressure.Kind.LARGE_REQUESTS_AND_RESPONSES);

    @TempDir
    private Path directory;

    @Test
    void staysWithinLeastLimitOf32Mb() throws Exception {
        assertStaysWithin(32);
    }

    @Test
    void staysWithinLimitOf96Mb() throws Exception {
        assertStaysWithin(96);
    }

    @Test
    void staysWithinLimitOf128Mb() throws Exception {
        assertStaysWithin(128);
    }

    @Test
    void staysWithinLimitOf192Mb() throws Exception {
        assertStaysWithin(192);
    }

    private void assertStaysWithin(int memoryMb) throws Exception {
        String example = Files.readString(Path.of("examples/relay.json"));
        try (FakeDeployment deployment = new FakeDeployment(ENDPOINTS, WORK_MS)) {
            int port = RelayProcess.freePort();
            String configuration = deployment
                    .configuration(example, "127.0.0.1:" + port)
                    .replaceFirst("\"memory_mb\": \\d+", "\"memory_mb\": " + memoryMb);
            try (RelayProcess relay = RelayProcess.startFromClasses(directory, port, configuration)) {
                assertThat(relay.awaitReadyMs(READY_MS)).isPositive();
                for (ClientPressure.Kind kind : KINDS) {
                    ClientPressure.Outcome outcome = new ClientPressure(relay, deployment, SEED).run(kind, SECONDS);
                    assertThat(relay.isAlive()).as("%s", kind).isTrue();
                    assertThat(outcome.unanswered()).as("%s %s", kind, outcome).isZero();
                    assertThat(outcome.keptWaiting()).as("%s %s", kind, outcome).isZero();
                    assertThat(relay.log()).as("%s", kind).doesNotContain("OutOfMemoryError");
                    TimeUnit.MILLISECONDS.sleep(CLIENTS_LEFT_MS);
                }
                assertThat(relay.peakResidentMb()).isLessThanOrEqualTo(memoryMb);
            }
        }
    }
}
