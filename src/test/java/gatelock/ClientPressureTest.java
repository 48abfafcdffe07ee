package gatelock;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.ClientPressure;
import gatelock.standin.FakeDeployment;
import gatelock.standin.RelayProcess;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Short, seeded plays of clients that are slow, leave or flood, on a relay process with the platform's flags. Guards
 * against clients that take the places, the time or the memory of others, and against requests that run for clients that
 * have left. {@code make measure-pressure} plays them longer.
 */
final class ClientPressureTest {
    private static final int READY_MS = 30_000;
    private static final int SECONDS = 3;
    private static final int ENDPOINTS = 8;
    private static final int WORK_MS = 100;
    private static final int MOST_MEMORY_MB = 192;

    @TempDir
    private Path directory;

    @ParameterizedTest
    @EnumSource(ClientPressure.Kind.class)
    void servesOrdinaryClientsWithFewestDescriptors(ClientPressure.Kind kind) throws Exception {
        assertServesOrdinaryClients(kind, "\"cores\": 0.1, \"memory_mb\": 32, \"sockets\": 256");
    }

    @ParameterizedTest
    @EnumSource(ClientPressure.Kind.class)
    void servesOrdinaryClientsWithMostDescriptors(ClientPressure.Kind kind) throws Exception {
        assertServesOrdinaryClients(kind, "\"cores\": 1.0, \"memory_mb\": 192, \"sockets\": 1024");
    }

    private void assertServesOrdinaryClients(ClientPressure.Kind kind, String limits) throws Exception {
        String example = Files.readString(Path.of("examples/relay.json"));
        try (FakeDeployment deployment = new FakeDeployment(ENDPOINTS, WORK_MS)) {
            // After the deployment has its ports: a port that was free before may be one of them.
            int port = RelayProcess.freePort();
            String configuration = deployment
                    .configuration(example, "127.0.0.1:" + port)
                    .replaceFirst("\"cores\": 1.0, \"memory_mb\": 192, \"sockets\": 1024", limits);
            try (RelayProcess relay = RelayProcess.startFromClasses(directory, port, configuration)) {
                assertThat(relay.awaitReadyMs(READY_MS)).isPositive();
                ClientPressure.Outcome outcome = new ClientPressure(relay, deployment, 55).run(kind, SECONDS);
                assertThat(relay.isAlive()).isTrue();
                assertThat(outcome.unanswered()).as("%s", outcome).isZero();
                assertThat(outcome.sentAfterClose()).isEmpty();
                assertThat(outcome.ranTwice()).isEmpty();
                assertThat(outcome.keptWaiting()).isZero();
                assertThat(outcome.withoutId()).isEmpty();
                assertThat(relay.peakResidentMb()).isLessThan(MOST_MEMORY_MB);
                assertThat(relay.log()).doesNotContain("OutOfMemoryError").doesNotContain("nexpected");
            }
        }
    }
}
