package gatelock.decision;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.DecisionEngine;
import gatelock.api.DecisionEngine.ReleasePhase;
import gatelock.api.RolloutPolicy;
import org.junit.jupiter.api.Test;

/** Guards against clients that use up the memory of a relay by sending requests under ever new sticky keys. */
final class StickyBuildsTest {
    private static final RolloutPolicy POLICY = new RolloutPolicy(
            RolloutPolicy.PromotionMode.COUNT,
            1_000_000,
            6_000_000,
            2_000_000,
            new double[] {0.2, 1},
            1,
            false,
            true,
            2,
            1,
            10,
            false);
    private static final int OLD = 4;
    private static final int NEW = 5;

    private final StickyBuilds stickyBuilds = new StickyBuilds();
    private final RolloutState rollout = new RolloutState(POLICY);

    private void recordKeys(int count) {
        for (long key = 0; key < count; key++) {
            stickyBuilds.recordAnswer(key, NEW);
        }
    }

    @Test
    void keepsAllKeysOfCanaryAndGivesItNoOthersOnceThereAreTooMany() {
        rollout.update(NEW, 0, ReleasePhase.TRIAL, 0.3, 100);
        recordKeys(StickyBuilds.MAX_KEYS);
        long unknown = StickyBuilds.MAX_KEYS;
        assertThat(stickyBuilds.allows(unknown, NEW, rollout)).isFalse();
        assertThat(stickyBuilds.allows(unknown, OLD, rollout)).isTrue();
        assertThat(stickyBuilds.allows(0, NEW, rollout)).isTrue();
        assertThat(stickyBuilds.allows(0, OLD, rollout)).isFalse();
        assertThat(stickyBuilds.allows(DecisionEngine.NO_KEY, NEW, rollout)).isTrue();
    }

    @Test
    void boundsNumberOfKeysAndForgetsOldestAfterRelease() {
        rollout.update(NEW, 0, ReleasePhase.RELEASED, 1, 100);
        recordKeys(3 * StickyBuilds.MAX_KEYS);
        assertThat(stickyBuilds.size()).isEqualTo(StickyBuilds.MAX_KEYS + StickyBuilds.IN_FLIGHT_MARGIN);
        assertThat(stickyBuilds.allows(3L * StickyBuilds.MAX_KEYS, NEW, rollout))
                .isTrue();
        assertThat(stickyBuilds.allows(3L * StickyBuilds.MAX_KEYS - 1, OLD, rollout))
                .isFalse();
        assertThat(stickyBuilds.allows(0, OLD, rollout)).isTrue();
        stickyBuilds.evictUpTo(NEW);
        assertThat(stickyBuilds.size()).isZero();
    }
}
