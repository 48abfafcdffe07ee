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

/**
 * Tests the decisions on offered versions, for fixed and random orders of offers. Guards against a relay that returns to
 * an older version, for example because an old copy of the control service came back or compilations finish out of order.
 */
final class VersionTrackerTest {
    private static final byte[] TEXT = "text".getBytes(StandardCharsets.UTF_8);
    private static final ConfigVersion.Epoch OLD = new ConfigVersion.Epoch(1, "z");
    private static final ConfigVersion.Epoch NEW = new ConfigVersion.Epoch(2, "a");

    private static CompiledConfig config(ConfigVersion version) {
        return new CompiledConfig(
                version,
                "me",
                "why",
                false,
                List.of(),
                Map.of(),
                Map.of(),
                RetryPolicy.UNRESTRICTED,
                Map.of(),
                List.of());
    }

    private static ConfigVersion version(ConfigVersion.Epoch epoch, long number) {
        return new ConfigVersion(epoch, number, ConfigVersion.hash(epoch + "/" + number));
    }

    private static boolean accept(VersionTracker tracker, ConfigVersion version) {
        return tracker.accept(1, config(version), "test", TEXT);
    }

    @Test
    void decidesOfferByEpochNumberAndHash() {
        VersionTracker tracker = new VersionTracker(3);
        assertThat(tracker.evaluateOffer(version(OLD, 5))).isEqualTo(VersionTracker.OfferOutcome.COMPILE);
        accept(tracker, version(OLD, 5));
        assertThat(tracker.evaluateOffer(version(OLD, 5))).isEqualTo(VersionTracker.OfferOutcome.HELD);
        assertThat(tracker.evaluateOffer(new ConfigVersion(OLD, 5, "other")))
                .isEqualTo(VersionTracker.OfferOutcome.FORK);
        assertThat(tracker.evaluateOffer(version(OLD, 4))).isEqualTo(VersionTracker.OfferOutcome.OLDER);
        assertThat(tracker.evaluateOffer(version(OLD, 9)))
                .as("a gap in the numbers is allowed")
                .isEqualTo(VersionTracker.OfferOutcome.COMPILE);
        assertThat(tracker.evaluateOffer(version(NEW, 1)))
                .as("a later epoch of a rebuilt service")
                .isEqualTo(VersionTracker.OfferOutcome.COMPILE);
        accept(tracker, version(NEW, 1));
        assertThat(tracker.evaluateOffer(version(OLD, 99)))
                .as("an earlier epoch of an old copy of the service")
                .isEqualTo(VersionTracker.OfferOutcome.OLD_EPOCH);
        tracker.reject(version(NEW, 2), List.of(), true);
        assertThat(tracker.evaluateOffer(version(NEW, 2))).isEqualTo(VersionTracker.OfferOutcome.REFUSED_BEFORE);
        assertThat(tracker.evaluateOffer(
                        new ConfigVersion(NEW, 3, version(NEW, 2).hash())))
                .as("the same text under another number")
                .isEqualTo(VersionTracker.OfferOutcome.REFUSED_BEFORE);
    }

    @Test
    void rollsBackAndAppliesNoOfferWhilePinned() {
        VersionTracker tracker = new VersionTracker(3);
        for (int i = 1; i <= 5; i++) {
            accept(tracker, version(OLD, i));
        }
        assertThat(tracker.history())
                .extracting(entry -> entry.version().number())
                .containsExactly(3L, 4L, 5L);
        assertThat(tracker.findInHistory(1)).isNull();
        tracker.pin(2, tracker.findInHistory(3), "operator");
        assertThat(tracker.active()).isEqualTo(version(OLD, 3));
        assertThat(tracker.evaluateOffer(version(OLD, 6))).isEqualTo(VersionTracker.OfferOutcome.PINNED);
        assertThat(accept(tracker, version(OLD, 6)))
                .as("a version compiled while another was pinned")
                .isFalse();
        tracker.unpin();
        assertThat(tracker.evaluateOffer(version(OLD, 5)))
                .as("the version that was rolled back")
                .isEqualTo(VersionTracker.OfferOutcome.COMPILE);
        assertThat(accept(tracker, version(OLD, 5))).isTrue();
        assertThat(tracker.active()).isEqualTo(version(OLD, 5));
    }

    @Property(tries = 500, seed = "17")
    void keepsLatestAcceptedVersionActiveAndNeverGoesBack(@ForAll long seed) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        VersionTracker tracker = new VersionTracker(1 + random.nextInt(4));
        List<ConfigVersion> compiling = new ArrayList<>();
        ConfigVersion held = null;
        for (int i = 0; i < 300; i++) {
            ConfigVersion offered = new ConfigVersion(
                    new ConfigVersion.Epoch(random.nextInt(3), "" + (char) ('a' + random.nextInt(2))),
                    1 + random.nextInt(12),
                    "" + random.nextInt(30));
            if (tracker.evaluateOffer(offered) == VersionTracker.OfferOutcome.COMPILE) {
                compiling.add(offered);
            }
            while (!compiling.isEmpty() && random.nextInt(3) != 0) {
                // Compilations finish in any order, as if several were in progress.
                ConfigVersion done = compiling.remove(random.nextInt(compiling.size()));
                if (random.nextInt(3) == 0) {
                    tracker.reject(done, List.of(), random.nextBoolean());
                } else if (accept(tracker, done)) {
                    int epoch = held == null ? 1 : done.epoch().compareTo(held.epoch());
                    assertThat(epoch > 0 || (epoch == 0 && done.number() > held.number()))
                            .isTrue();
                    held = done;
                }
                assertThat(tracker.latestAccepted()).isEqualTo(held);
                assertThat(tracker.active()).isEqualTo(held);
            }
        }
    }
}
