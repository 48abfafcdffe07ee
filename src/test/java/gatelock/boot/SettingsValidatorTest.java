package gatelock.boot;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Settings of other deployments: what is missing or out of range is reported, what is optional may be absent. */
final class SettingsValidatorTest {
    @TempDir
    private Path directory;

    /** Reads the example configuration with the first match of a pattern replaced. */
    private RelayConfig readWith(String from, String to) throws IOException {
        String sound = Files.readString(Path.of("examples/relay.json"));
        String text = sound.replaceFirst(from, to);
        assertThat(from.isEmpty() || !text.equals(sound)).as(from).isTrue();
        return RelayConfig.read(Files.writeString(directory.resolve("relay.json"), text));
    }

    private void assertRefused(String from, String to, String place, String... parts) {
        assertThatThrownBy(() -> readWith(from, to))
                .as(from)
                .isInstanceOf(ConfigurationException.class)
                .isInstanceOf(IOException.class)
                .hasMessageStartingWith(
                        "configuration " + directory.resolve("relay.json") + ": settings." + place + ": expected ")
                .hasMessageContainingAll(parts);
    }

    @Test
    void aMissingRequiredSettingIsReportedWithPlaceAndRemedy() {
        assertRefused("\"deadlineNs\": 1000000000, ", "", "lanes[0].deadlineNs", "found nothing; say how long clients");
        assertRefused("\"targetNs\": 400000000, ", "", "lanes[1].targetNs", "found nothing; say by when");
        assertRefused("\"effect\": \"once\", ", "", "lanes[2].effect", "repeatable, by_key or once", "found nothing");
        assertRefused("\"name\": \"post\"", "\"name\": \"read\"", "lanes[1].name", "found read; name each once");
        assertRefused("\"name\": \"acme\", ", "", "orgs[0].name", "found nothing; name each once");
        assertRefused("\"lanes\"", "\"classes\"", "lanes", "found nothing; write an object for each class of reqs");
    }

    @Test
    void aValueOutOfItsRangeIsReported() {
        assertRefused(
                "\"deadlineNs\": 1000000000", "\"deadlineNs\": -1", "lanes[0].deadlineNs", "found -1; say how long");
        assertRefused("\"deadlineNs\": 1000000000", "\"deadlineNs\": 0", "lanes[0].deadlineNs", "found 0");
        assertRefused("\"deadlineNs\": 1000000000", "\"deadlineNs\": 1e30", "lanes[0].deadlineNs", "found 1.0E30");
        assertRefused("\"quotaPerS\": 1000", "\"quotaPerS\": \"many\"", "orgs[0].quotaPerS", "found many");
        assertRefused("\"keyTtlNs\": 5000000000", "\"keyTtlNs\": -5", "lanes[1].keyTtlNs", "found -5");
        assertRefused(
                "\"dialTimeoutNs\": 250000000", "\"dialTimeoutNs\": \"soon\"", "limits.dialTimeoutNs", "found soon");
        assertRefused("\"replicasOfMe\": 1", "\"replicasOfMe\": 0", "replicasOfMe", "found 0; say how many relays");
        assertRefused("\"coldFrom\": 0.4", "\"coldFrom\": 4", "safety.coldFrom", "found 4");
    }

    @Test
    void anOptionalSettingMayBeAbsent() throws IOException {
        // A connection may take as long to come up as the longest request, and is kept for as long as it stands.
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
    void anErrorCarriesFilePlaceCauseAndRemedy() {
        ConfigurationException thrown = catchThrowableOfType(
                ConfigurationException.class, () -> readWith("\"coldFrom\": 0.4", "\"coldFrom\": 4"));
        assertThat(thrown.file()).isEqualTo(directory.resolve("relay.json"));
        assertThat(thrown.problems())
                .containsExactly(new ConfigurationException.Problem(
                        "settings.safety.coldFrom",
                        "expected a number from 0 to 1, found 4",
                        "give the part of its speed that a unit starts with"));
    }

    @Test
    void anUnknownWordIsReportedWithPlaceAndTheKnownWords() {
        assertRefused(
                "\"effect\": \"once\"",
                "\"effect\": \"twice\"",
                "lanes[2].effect",
                "found twice; use one of by_key, once, repeatable");
    }

    @Test
    void anErrorOutsideTheSettingsNamesTheFile() {
        assertThatThrownBy(() -> readWith("\"seed\": \"", "\"seed\": \"x"))
                .isInstanceOf(ConfigurationException.class)
                .hasMessageStartingWith(
                        "configuration " + directory.resolve("relay.json") + ": expected seed as hex digits, found x");
    }
}
