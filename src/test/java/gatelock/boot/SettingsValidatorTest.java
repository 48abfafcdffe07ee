package gatelock.boot;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that missing and invalid settings are reported, and that optional settings may be absent. */
final class SettingsValidatorTest {
    @TempDir
    private Path directory;

    /** Reads the example configuration with the first match of a pattern replaced. */
    private RelayConfig readWith(String from, String to) throws IOException {
        String example = Files.readString(Path.of("examples/relay.json"));
        String text = example.replaceFirst(from, to);
        assertThat(from.isEmpty() || !text.equals(example)).as(from).isTrue();
        return RelayConfig.read(Files.writeString(directory.resolve("relay.json"), text));
    }

    private void assertRejected(String from, String to, String location, String... parts) {
        assertThatThrownBy(() -> readWith(from, to))
                .as(from)
                .isInstanceOf(ConfigurationException.class)
                .isInstanceOf(IOException.class)
                .hasMessageStartingWith(
                        "configuration " + directory.resolve("relay.json") + ": settings." + location + ": expected ")
                .hasMessageContainingAll(parts);
    }

    @Test
    void reportsMissingRequiredSettingWithLocationAndRemedy() {
        assertRejected(
                "\"deadlineNs\": 1000000000, ", "", "lanes[0].deadlineNs", "found nothing; set how long clients");
        assertRejected("\"targetNs\": 400000000, ", "", "lanes[1].targetNs", "found nothing; set the response time");
        assertRejected("\"effect\": \"once\", ", "", "lanes[2].effect", "repeatable, by_key or once", "found nothing");
        assertRejected(
                "\"name\": \"post\"",
                "\"name\": \"read\"",
                "lanes[1].name",
                "found read; give each object a unique name");
        assertRejected("\"name\": \"acme\", ", "", "orgs[0].name", "found nothing; give each object a unique name");
        assertRejected("\"lanes\"", "\"classes\"", "lanes", "found nothing; add an object for each class of requests");
    }

    @Test
    void reportsValueOutOfRange() {
        assertRejected(
                "\"deadlineNs\": 1000000000", "\"deadlineNs\": -1", "lanes[0].deadlineNs", "found -1; set how long");
        assertRejected("\"deadlineNs\": 1000000000", "\"deadlineNs\": 0", "lanes[0].deadlineNs", "found 0");
        assertRejected("\"deadlineNs\": 1000000000", "\"deadlineNs\": 1e30", "lanes[0].deadlineNs", "found 1.0E30");
        assertRejected("\"quotaPerS\": 1000", "\"quotaPerS\": \"many\"", "orgs[0].quotaPerS", "found many");
        assertRejected("\"keyTtlNs\": 5000000000", "\"keyTtlNs\": -5", "lanes[1].keyTtlNs", "found -5");
        assertRejected(
                "\"dialTimeoutNs\": 250000000", "\"dialTimeoutNs\": \"soon\"", "limits.dialTimeoutNs", "found soon");
        assertRejected(
                "\"replicasOfMe\": 1", "\"replicasOfMe\": 0", "replicasOfMe", "found 0; set the number of relays");
        assertRejected("\"coldFrom\": 0.4", "\"coldFrom\": 4", "safety.coldFrom", "found 4");
    }

    @Test
    void acceptsAbsentOptionalSettings() throws IOException {
        // The defaults: the connect timeout is the longest deadline, and idle connections are kept practically forever.
        assertThat(readWith("\"dialTimeoutNs\": 250000000, ", "").connectTimeoutUs())
                .isEqualTo(3_000_000);
        assertThat(readWith(",\\s*\"dialTimeoutNs\": 250000000, \"connIdleNs\": 30000000000", "")
                        .settings()
                        .idleConnectionUs())
                .isGreaterThan(1_000_000_000_000L);
        assertThat(readWith("\"zones\": \\[\"east\"\\],", "").names("zones")).hasSize(1);
        assertThat(readWith("", "").settings().routes()).hasSize(3);
    }

    @Test
    void exceptionCarriesFileLocationCauseAndRemedy() {
        ConfigurationException thrown = catchThrowableOfType(
                ConfigurationException.class, () -> readWith("\"coldFrom\": 0.4", "\"coldFrom\": 4"));
        assertThat(thrown.file()).isEqualTo(directory.resolve("relay.json"));
        assertThat(thrown.problems())
                .containsExactly(new ConfigurationException.Problem(
                        "settings.safety.coldFrom",
                        "expected a number from 0 to 1, found 4",
                        "set the share of its full speed at which a unit starts"));
    }

    @Test
    void reportsUnknownEnumValueWithAllowedValues() {
        assertRejected(
                "\"effect\": \"once\"",
                "\"effect\": \"twice\"",
                "lanes[2].effect",
                "found twice; use one of by_key, once, repeatable");
    }

    @Test
    void namesFileInErrorOutsideSettings() {
        assertThatThrownBy(() -> readWith("\"seed\": \"", "\"seed\": \"x"))
                .isInstanceOf(ConfigurationException.class)
                .hasMessageStartingWith(
                        "configuration " + directory.resolve("relay.json") + ": expected seed as hex digits, found x");
    }
}
