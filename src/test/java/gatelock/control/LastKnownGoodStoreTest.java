package gatelock.control;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.config.ConfigVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests versions on disk. Guards against restoring a damaged version: a file that was truncated, changed or only partly
 * written must be skipped, so that each version read is one that was saved.
 */
final class LastKnownGoodStoreTest {
    private static final int MAX_TEXT_BYTES = 1 << 16;

    @TempDir
    private Path directory;

    private static byte[] text(int number) {
        return ("{\"note\": \"" + "x".repeat(number * 10) + "\"}\n").getBytes(StandardCharsets.UTF_8);
    }

    private static ConfigVersion version(int number) {
        return new ConfigVersion(new ConfigVersion.Epoch(17, "a.b-c"), number, ConfigVersion.hash(text(number)));
    }

    @Test
    void storesLatestAndPreviousVersion() {
        LastKnownGoodStore store = new LastKnownGoodStore(directory.resolve("not/there/yet"), MAX_TEXT_BYTES);
        assertThat(store.readAll()).isEmpty();
        for (int i = 1; i <= 3; i++) {
            assertThat(store.save(version(i), text(i))).isEmpty();
        }
        assertThat(store.readAll())
                .extracting(LastKnownGoodStore.StoredVersion::version)
                .containsExactly(version(3), version(2));
        assertThat(store.readAll().get(0).text()).isEqualTo(text(3));
    }

    @Test
    void skipsDamagedFileAndReadsPreviousVersion() throws IOException {
        LastKnownGoodStore store = new LastKnownGoodStore(directory, MAX_TEXT_BYTES);
        store.save(version(1), text(1));
        store.save(version(2), text(2));
        Path latest = directory.resolve("last-good.plan");
        byte[] intact = Files.readAllBytes(latest);
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(17);
        for (int i = 0; i < 500; i++) {
            byte[] damaged = intact.clone();
            if (i % 3 == 0) {
                damaged = Arrays.copyOf(damaged, random.nextInt(damaged.length));
            } else if (i % 3 == 1) {
                int at = random.nextInt(damaged.length);
                damaged[at] ^= (byte) (1 << random.nextInt(8));
            } else {
                // Simulates a write that reached the disk only in part: zeros from some byte on.
                Arrays.fill(damaged, random.nextInt(damaged.length), damaged.length, (byte) 0);
            }
            Files.write(latest, damaged);
            for (LastKnownGoodStore.StoredVersion stored : store.readAll()) {
                assertThat(stored.text()).as("damaged %d", i).isIn(text(1), text(2));
                assertThat(ConfigVersion.hash(stored.text()))
                        .isEqualTo(stored.version().hash());
            }
            assertThat(store.readAll()).anyMatch(found -> found.version().equals(version(1)));
        }
        Files.write(latest, new byte[MAX_TEXT_BYTES * 2]);
        assertThat(store.readAll())
                .extracting(LastKnownGoodStore.StoredVersion::version)
                .containsExactly(version(1));
    }

    @Test
    void reportsUnwritableDirectory() throws IOException {
        Path file = Files.createFile(directory.resolve("a file"));
        assertThat(new LastKnownGoodStore(file, MAX_TEXT_BYTES).save(version(1), text(1)))
                .isPresent();
        assertThat(new LastKnownGoodStore(file, MAX_TEXT_BYTES).readAll()).isEmpty();
    }

    @Test
    void writesHeaderLineFollowedByText() throws IOException {
        new LastKnownGoodStore(directory, MAX_TEXT_BYTES).save(version(2), text(2));
        String expected = "gatelock-plan-1 17 a.b-c 2 " + text(2).length + " "
                + version(2).hash() + "\n" + new String(text(2), StandardCharsets.UTF_8);
        assertThat(Files.readString(directory.resolve("last-good.plan"))).isEqualTo(expected);
    }
}
