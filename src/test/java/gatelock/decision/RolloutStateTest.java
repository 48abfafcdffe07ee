package gatelock.decision;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.DecisionEngine.ReleasePhase;
import gatelock.api.RolloutPolicy;
import org.junit.jupiter.api.Test;

/** Tests the state of the newest build, whether it accepts requests, and the cap that applies to it. */
final class RolloutStateTest {
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

    private static RolloutState canary(int build, int stage, long sinceUs) {
        RolloutState state = new RolloutState(POLICY);
        state.update(build, stage, ReleasePhase.TRIAL, 0.3, sinceUs);
        return state;
    }

    @Test
    void opensCanaryWithCapAndClosesItOnRollback() {
        RolloutState state = canary(5, 0, 100);
        assertThat(state.isCanary(5)).isTrue();
        assertThat(state.isCanary(4)).isFalse();
        assertThat(state.acceptsNewRequests(5)).isTrue();
        state.update(5, 0, ReleasePhase.REVERTING, 0.3, 200);
        assertThat(state.acceptsNewRequests(5)).isFalse();
        assertThat(state.acceptsNewRequests(4)).isTrue();
    }

    @Test
    void appliesFirstStageCapToUnannouncedBuild() {
        RolloutState state = canary(5, 1, 100);
        assertThat(state.capOf(5)).isEqualTo(0.3);
        assertThat(state.capOf(6)).isEqualTo(0.2);
        assertThat(state.isGuardedStage(5)).isFalse();
        assertThat(state.isGuardedStage(6)).isTrue();
    }

    @Test
    void acceptsEarlierStateOnlyIfItBeganLater() {
        RolloutState state = canary(5, 1, 100);
        assertThat(state.isStale(5, 0, ReleasePhase.TRIAL, 100)).isTrue();
        assertThat(state.isStale(5, 0, ReleasePhase.TRIAL, 101)).isFalse();
        assertThat(state.isStale(4, 3, ReleasePhase.RELEASED, 50)).isTrue();
        assertThat(state.isStale(5, 1, ReleasePhase.TRIAL, 50)).isFalse();
        assertThat(state.isStale(5, 0, ReleasePhase.RELEASED, 50)).isFalse();
    }

    @Test
    void keepsStageStartWhenStateIsRepeated() {
        RolloutState state = canary(5, 1, 100);
        state.update(5, 1, ReleasePhase.TRIAL, 0.4, 900);
        assertThat(state.stageStartUs()).isEqualTo(100);
        assertThat(state.capOf(5)).isEqualTo(0.4);
        state.endpointListed(5, 150, 700);
        assertThat(state.endpointStartupUs()).isEqualTo(600);
    }

    @Test
    void allowsKeyOnEarlierBuildOnlyAfterWithdrawal() {
        StickyBuilds sticky = new StickyBuilds();
        RolloutState state = canary(5, 0, 100);
        sticky.recordAnswer(7, 5);
        assertThat(sticky.allows(7, 4, state)).isFalse();
        assertThat(sticky.allows(7, 5, state)).isTrue();
        assertThat(sticky.allows(8, 4, state)).isTrue();
        state.update(5, 0, ReleasePhase.WITHDRAWN, 0, 200);
        assertThat(sticky.allows(7, 4, state)).isTrue();
        state.update(5, 0, ReleasePhase.TRIAL, 0.3, 300);
        sticky.evictUpTo(5);
        assertThat(sticky.allows(7, 4, state)).isTrue();
    }
}
