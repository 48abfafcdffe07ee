package gatelock;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.ClientPressure;
import gatelock.standin.ControlService;
import gatelock.standin.FakeDeployment;
import gatelock.standin.RelayProcess;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Broken configuration versions of nearly the size that a relay with the platform's flags accepts. Guards against
 * versions that use up the heap while they are checked, so that requests stay without an answer (review/8).
 */
final class BrokenVersionTest {
    private static final int READY_MS = 30_000;
    private static final int ENDPOINTS = 8;
    private static final int WORK_MS = 20;
    private static final int SECONDS = 5;
    private static final int VERSION_BYTES = 1_400_000;
    private static final String START = "{\"format\":1,\"unmatched\":\"by-class\",\"routes\":[{\"name\":\"r\","
            + "\"path\":\"/read\",\"class\":\"read\"";

    /** What is wrong with a version, many thousand times. */
    enum Fault {
        VALUES_OF_WRONG_TYPE("}", ",{\"name\":1}", "]}"),
        ROUTES_WITHOUT_FIELDS("}", ",{}", "]}"),
        TEXTS_IN_PLACE_OF_ROUTES("}", ",\"route that is a long text and no object %d\"", "]}"),
        UNKNOWN_LIMITS(",\"limits\":[\"none\"", ",\"unknown limit %d\"", "]}]}"),
        UNKNOWN_FIELDS("}]", ",\"f%d\":0", "}");

        private final String before;
        private final String part;
        private final String after;

        Fault(String before, String part, String after) {
            this.before = before;
            this.part = part;
            this.after = after;
        }

        String version() {
            StringBuilder text = new StringBuilder(START + before);
            for (int i = 0; text.length() < VERSION_BYTES; i++) {
                text.append(String.format(part, i));
            }
            return text.append(after).toString();
        }
    }

    @TempDir
    private Path directory;

    @ParameterizedTest
    @EnumSource(Fault.class)
    void rejectsLargeVersionWithReasonAndAnswersRequestsMeanwhile(Fault fault) throws Exception {
        String example = Files.readString(Path.of("examples/relay.json"));
        Path operator = directory.resolve("operator.json");
        try (FakeDeployment deployment = new FakeDeployment(ENDPOINTS, WORK_MS);
                ControlService control = new ControlService()) {
            control.publish(1, "v", 1, START + "}]}");
            Files.writeString(
                    operator, "{\"control\": {\"services\": [\"" + control.address() + "\"], \"holdMs\": 500}}");
            int port = RelayProcess.freePort();
            String configuration = deployment.configuration(example, "127.0.0.1:" + port);
            try (RelayProcess relay =
                    RelayProcess.startFromClasses(directory, port, configuration, "--operator", operator.toString())) {
                assertThat(relay.awaitReadyMs(READY_MS)).isPositive();
                assertThat(control.awaitReport("1/1")).containsEntry("accepted", true);
                control.publish(1, "v", 2, fault.version());
                ClientPressure.Outcome outcome =
                        new ClientPressure(relay, deployment, 8).run(ClientPressure.Kind.ORDINARY_ONLY, SECONDS);
                assertThat(outcome.unanswered()).as("%s", outcome).isZero();
                Map<String, Object> report = control.awaitReport("1/2");
                assertThat(report).containsEntry("accepted", false);
                assertThat(report.toString()).doesNotContain("G-INTERNAL");
                assertThat(relay.log()).doesNotContain("OutOfMemoryError");
            }
        }
    }
}
