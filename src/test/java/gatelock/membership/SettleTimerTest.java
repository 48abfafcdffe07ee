package gatelock.membership;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Deadlines that start when a condition begins to hold and are dropped when it ends. */
final class SettleTimerTest {
    private static final long SETTLE_US = 100;

    @Test
    void deadlineStartsWhenTheConditionBeginsToHoldAndStays() {
        long deadlineUs = SettleTimer.deadline(true, SettleTimer.NEVER, 7, SETTLE_US);
        assertThat(deadlineUs).isEqualTo(107);
        assertThat(SettleTimer.deadline(true, deadlineUs, 50, SETTLE_US)).isEqualTo(107);
    }

    @Test
    void deadlineIsDroppedWhenTheConditionEnds() {
        assertThat(SettleTimer.deadline(false, 107, 50, SETTLE_US)).isEqualTo(SettleTimer.NEVER);
    }
}
