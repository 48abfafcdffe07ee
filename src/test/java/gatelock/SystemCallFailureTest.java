package gatelock;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.ClientPressure;
import gatelock.standin.FakeDeployment;
import gatelock.standin.RelayProcess;
import gatelock.standin.SyscallFaults;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against clients that wait unanswered because system calls of the relay fail for a while. */
final class SystemCallFailureTest {
    private static final int READY_MS = 30_000;
    private static final int SECONDS = 3;
    private static final int ENDPOINTS = 4;
    private static final int WORK_MS = 20;
    private static final int SEED = 58;
    private static final int MAX_LOG_LINES = 40;

    @TempDir
    private Path directory;

    @ParameterizedTest
    @CsvSource({
        "accept, ENFILE, 10",
        "accept, ENOBUFS, 2",
        "connect, ENETUNREACH, 1",
        "connect, EADDRNOTAVAIL, 2",
        "socket, ENFILE, 1",
        "socket, ENOBUFS, 10"
    })
    void answersNewClientsWhileCallsFail(String call, SyscallFaults.ErrorNumber error, int period) throws Exception {
        SyscallFaults faults = new SyscallFaults(directory);
        try (FakeDeployment deployment = new FakeDeployment(ENDPOINTS, WORK_MS)) {
            int port = RelayProcess.freePort();
            String configuration =
                    deployment.configuration(Files.readString(Path.of("examples/relay.json")), "127.0.0.1:" + port);
            try (RelayProcess relay =
                    RelayProcess.startFromClasses(directory, port, configuration, faults.environment())) {
                assertThat(relay.awaitReadyMs(READY_MS)).isPositive();
                faults.fail(call, error, period);
                ClientPressure.Outcome outcome =
                        new ClientPressure(relay, deployment, SEED).run(ClientPressure.Kind.ORDINARY_ONLY, SECONDS);
                faults.end();
                assertThat(outcome.unanswered()).as("%s", outcome).isZero();
                assertThat(relay.log().lines()).as("%s", relay.log()).hasSizeLessThan(MAX_LOG_LINES);
            }
        }
    }
}
