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

/** Versions on disk: whatever happens to a file, what is read is what was kept, or nothing. */
final class LastKnownGoodStoreTest {
    private static final int MOST = 1 << 16;

    @TempDir
    private Path directory;

    private static byte[] text(int number) {
        return ("{\"note\": \"" + "x".repeat(number * 10) + "\"}\n").getBytes(StandardCharsets.UTF_8);
    }

    private static ConfigVersion stamp(int number) {
        return new ConfigVersion(new ConfigVersion.Epoch(17, "a.b-c"), number, ConfigVersion.hash(text(number)));
    }

    @Test
    void theLatestAndTheOneBeforeAreKept() {
        LastKnownGoodStore keep = new LastKnownGoodStore(directory.resolve("not/there/yet"), MOST);
        assertThat(keep.read()).isEmpty();
        for (int i = 1; i <= 3; i++) {
            assertThat(keep.keep(stamp(i), text(i))).isNull();
        }
        assertThat(keep.read()).extracting(LastKnownGoodStore.Kept::stamp).containsExactly(stamp(3), stamp(2));
        assertThat(keep.read().get(0).text()).isEqualTo(text(3));
    }

    @Test
    void whatIsTornCutOrChangedIsPassedOverAndTheOneBeforeServes() throws IOException {
        LastKnownGoodStore keep = new LastKnownGoodStore(directory, MOST);
        keep.keep(stamp(1), text(1));
        keep.keep(stamp(2), text(2));
        Path latest = directory.resolve("last-good.plan");
        byte[] sound = Files.readAllBytes(latest);
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(17);
        for (int i = 0; i < 500; i++) {
            byte[] spoilt = sound.clone();
            if (i % 3 == 0) {
                spoilt = Arrays.copyOf(spoilt, random.nextInt(spoilt.length));
            } else if (i % 3 == 1) {
                int at = random.nextInt(spoilt.length);
                spoilt[at] ^= (byte) (1 << random.nextInt(8));
            } else {
                // A write that reached the disk in part: zeros from some byte on.
                Arrays.fill(spoilt, random.nextInt(spoilt.length), spoilt.length, (byte) 0);
            }
            Files.write(latest, spoilt);
            for (LastKnownGoodStore.Kept kept : keep.read()) {
                assertThat(kept.text()).as("spoilt %d", i).isIn(text(1), text(2));
                assertThat(ConfigVersion.hash(kept.text()))
                        .isEqualTo(kept.stamp().hash());
            }
            assertThat(keep.read()).anyMatch(k -> k.stamp().equals(stamp(1)));
        }
        Files.write(latest, new byte[MOST * 2]);
        assertThat(keep.read()).extracting(LastKnownGoodStore.Kept::stamp).containsExactly(stamp(1));
    }

    @Test
    void aDirectoryThatTakesNothingIsToldAndHarmsNothing() throws IOException {
        Path file = Files.createFile(directory.resolve("a file"));
        assertThat(new LastKnownGoodStore(file, MOST).keep(stamp(1), text(1))).isNotNull();
        assertThat(new LastKnownGoodStore(file, MOST).read()).isEmpty();
    }
}
