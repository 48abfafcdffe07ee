package gatelock;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.ClientPressure;
import gatelock.standin.FakeDeployment;
import gatelock.standin.RelayProcess;
import gatelock.standin.SyscallFaults;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against clients that wait unanswered because accepting their connections fails for a while. */
final class AcceptFailureTest {
    private static final int READY_MS = 30_000;
    private static final int SECONDS = 6;
    private static final int ENDPOINTS = 4;
    private static final int WORK_MS = 20;
    private static final int SEED = 58;
    private static final int MAX_LOG_LINES = 40;

    @TempDir
    private Path directory;

    @Test
    void answersNewClientsWhileEverySecondAcceptFails() throws Exception {
        SyscallFaults faults = new SyscallFaults(directory);
        try (FakeDeployment deployment = new FakeDeployment(ENDPOINTS, WORK_MS)) {
            int port = RelayProcess.freePort();
            String configuration =
                    deployment.configuration(Files.readString(Path.of("examples/relay.json")), "127.0.0.1:" + port);
            try (RelayProcess relay =
                    RelayProcess.startFromClasses(directory, port, configuration, faults.environment())) {
                assertThat(relay.awaitReadyMs(READY_MS)).isPositive();
                faults.fail("accept", SyscallFaults.ErrorNumber.ENFILE, 2);
                ClientPressure.Outcome outcome =
                        new ClientPressure(relay, deployment, SEED).run(ClientPressure.Kind.ORDINARY_ONLY, SECONDS);
                faults.end();
                assertThat(outcome.unanswered()).as("%s", outcome).isZero();
                assertThat(relay.log().lines()).as("%s", relay.log()).hasSizeLessThan(MAX_LOG_LINES);
            }
        }
    }
}
