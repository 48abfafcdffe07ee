package gatelock.boot;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Settings of other deployments at the start: what is missing or odd is told, what may be left out is left out. */
final class SettingsValidatorTest {
    @TempDir
    private Path directory;

    private RelayConfig read(String from, String to) throws IOException {
        String sound = Files.readString(Path.of("examples/relay.json"));
        String text = sound.replaceFirst(from, to);
        assertThat(from.isEmpty() || !text.equals(sound)).as(from).isTrue();
        return RelayConfig.read(Files.writeString(directory.resolve("relay.json"), text));
    }

    private void refused(String from, String to, String place, String... parts) {
        assertThatThrownBy(() -> read(from, to))
                .as(from)
                .isInstanceOf(IOException.class)
                .hasMessageStartingWith(
                        "configuration " + directory.resolve("relay.json") + ": settings." + place + ": expected ")
                .hasMessageContainingAll(parts);
    }

    @Test
    void whatARelayCantServeWithoutIsDemandedWithItsPlaceAndWhatMendsIt() {
        refused("\"deadlineNs\": 1000000000, ", "", "lanes[0].deadlineNs", "found nothing; say how long clients");
        refused("\"targetNs\": 400000000, ", "", "lanes[1].targetNs", "found nothing; say by when");
        refused("\"effect\": \"once\", ", "", "lanes[2].effect", "repeatable, by_key or once", "found nothing");
        refused("\"name\": \"post\"", "\"name\": \"read\"", "lanes[1].name", "found read; name each once");
        refused("\"name\": \"acme\", ", "", "orgs[0].name", "found nothing; name each once");
        refused("\"lanes\"", "\"classes\"", "lanes", "found nothing; write an object for each class of reqs");
    }

    @Test
    void whatIsOutOfItsRangeIsRefused() {
        refused("\"deadlineNs\": 1000000000", "\"deadlineNs\": -1", "lanes[0].deadlineNs", "found -1; say how long");
        refused("\"deadlineNs\": 1000000000", "\"deadlineNs\": 0", "lanes[0].deadlineNs", "found 0");
        refused("\"deadlineNs\": 1000000000", "\"deadlineNs\": 1e30", "lanes[0].deadlineNs", "found 1.0E30");
        refused("\"quotaPerS\": 1000", "\"quotaPerS\": \"many\"", "orgs[0].quotaPerS", "found many");
        refused("\"keyTtlNs\": 5000000000", "\"keyTtlNs\": -5", "lanes[1].keyTtlNs", "found -5");
        refused("\"dialTimeoutNs\": 250000000", "\"dialTimeoutNs\": \"soon\"", "limits.dialTimeoutNs", "found soon");
        refused("\"replicasOfMe\": 1", "\"replicasOfMe\": 0", "replicasOfMe", "found 0; say how many relays");
        refused("\"coldFrom\": 0.4", "\"coldFrom\": 4", "safety.coldFrom", "found 4");
    }

    @Test
    void whatMayBeLeftOutHarmsNothing() throws IOException {
        // A connection may take as long to come up as the longest request, and is kept for as long as it stands.
        assertThat(read("\"dialTimeoutNs\": 250000000, ", "").connectTimeoutUs())
                .isEqualTo(3_000_000);
        assertThat(read(",\\s*\"dialTimeoutNs\": 250000000, \"connIdleNs\": 30000000000", "")
                        .settings()
                        .keptUs())
                .isGreaterThan(1_000_000_000_000L);
        assertThat(read("\"zones\": \\[\"east\"\\],", "").names("zones")).hasSize(1);
        assertThat(read("", "").settings().routes()).hasSize(3);
    }
}
