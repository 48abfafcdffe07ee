package gatelock.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Which versions follow one another, whatever comes in whatever order. */
final class VersionTrackerTest {
    private static final byte[] TEXT = "text".getBytes(StandardCharsets.UTF_8);
    private static final ConfigVersion.Epoch OLD = new ConfigVersion.Epoch(1, "z");
    private static final ConfigVersion.Epoch NEW = new ConfigVersion.Epoch(2, "a");

    private static CompiledConfig plan(ConfigVersion stamp) {
        return new CompiledConfig(
                stamp, "me", "why", false, List.of(), Map.of(), Map.of(), RetryPolicy.FREE, Map.of(), List.of());
    }

    private static ConfigVersion stamp(ConfigVersion.Epoch epoch, long number) {
        return new ConfigVersion(epoch, number, ConfigVersion.hash(epoch + "/" + number));
    }

    private static boolean good(VersionTracker s, ConfigVersion stamp) {
        return s.good(1, plan(stamp), "test", TEXT);
    }

    @Test
    void eachOrderIsMetInItsOwnWay() {
        VersionTracker s = new VersionTracker(3);
        assertThat(s.offered(stamp(OLD, 5))).isEqualTo(VersionTracker.Meeting.COMPILE);
        good(s, stamp(OLD, 5));
        assertThat(s.offered(stamp(OLD, 5))).isEqualTo(VersionTracker.Meeting.HELD);
        assertThat(s.offered(new ConfigVersion(OLD, 5, "other"))).isEqualTo(VersionTracker.Meeting.FORK);
        assertThat(s.offered(stamp(OLD, 4))).isEqualTo(VersionTracker.Meeting.OLDER);
        assertThat(s.offered(stamp(OLD, 9))).as("a gap").isEqualTo(VersionTracker.Meeting.COMPILE);
        assertThat(s.offered(stamp(NEW, 1))).as("built anew").isEqualTo(VersionTracker.Meeting.COMPILE);
        good(s, stamp(NEW, 1));
        assertThat(s.offered(stamp(OLD, 99))).as("an old copy").isEqualTo(VersionTracker.Meeting.OLD_EPOCH);
        s.bad(stamp(NEW, 2), List.of(), true);
        assertThat(s.offered(stamp(NEW, 2))).isEqualTo(VersionTracker.Meeting.REFUSED_BEFORE);
        assertThat(s.offered(new ConfigVersion(NEW, 3, stamp(NEW, 2).hash())))
                .as("the same text under another number")
                .isEqualTo(VersionTracker.Meeting.REFUSED_BEFORE);
    }

    @Test
    void theOperatorGoesBackAndTheServiceLeadsAgainOnceReleased() {
        VersionTracker s = new VersionTracker(3);
        for (int i = 1; i <= 5; i++) {
            good(s, stamp(OLD, i));
        }
        assertThat(s.history()).extracting(p -> p.stamp().number()).containsExactly(3L, 4L, 5L);
        assertThat(s.past(1)).isNull();
        s.pin(2, s.past(3), "operator");
        assertThat(s.inForce()).isEqualTo(stamp(OLD, 3));
        assertThat(s.offered(stamp(OLD, 6))).isEqualTo(VersionTracker.Meeting.PINNED);
        assertThat(good(s, stamp(OLD, 6))).as("compiled meanwhile").isFalse();
        s.release();
        assertThat(s.offered(stamp(OLD, 5)))
                .as("the one that was gone back from")
                .isEqualTo(VersionTracker.Meeting.COMPILE);
        assertThat(good(s, stamp(OLD, 5))).isTrue();
        assertThat(s.inForce()).isEqualTo(stamp(OLD, 5));
    }

    @Property(tries = 500, seed = "17")
    void whatIsToldAsHeldNeverGoesDownAndIsInForce(@ForAll long seed) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        VersionTracker s = new VersionTracker(1 + random.nextInt(4));
        List<ConfigVersion> compiling = new ArrayList<>();
        ConfigVersion held = null;
        for (int i = 0; i < 300; i++) {
            ConfigVersion some = new ConfigVersion(
                    new ConfigVersion.Epoch(random.nextInt(3), "" + (char) ('a' + random.nextInt(2))),
                    1 + random.nextInt(12),
                    "" + random.nextInt(30));
            if (s.offered(some) == VersionTracker.Meeting.COMPILE) {
                compiling.add(some);
            }
            while (!compiling.isEmpty() && random.nextInt(3) != 0) {
                // Compiled in any order, as if several were under way.
                ConfigVersion done = compiling.remove(random.nextInt(compiling.size()));
                if (random.nextInt(3) == 0) {
                    s.bad(done, List.of(), random.nextBoolean());
                } else if (good(s, done)) {
                    int epoch = held == null ? 1 : done.epoch().compareTo(held.epoch());
                    assertThat(epoch > 0 || epoch == 0 && done.number() > held.number())
                            .isTrue();
                    held = done;
                }
                assertThat(s.held()).isEqualTo(held);
                assertThat(s.inForce()).isEqualTo(held);
            }
        }
    }
}
