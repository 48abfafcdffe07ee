package gatelock.membership;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests deadlines that are set when a condition begins to hold and cleared when it ends. */
final class SettleTimerTest {
    private static final long SETTLE_US = 100;

    @Test
    void keepsDeadlineWhileConditionHolds() {
        long deadlineUs = SettleTimer.deadline(true, SettleTimer.NEVER, 7, SETTLE_US);
        assertThat(deadlineUs).isEqualTo(107);
        assertThat(SettleTimer.deadline(true, deadlineUs, 50, SETTLE_US)).isEqualTo(107);
    }

    @Test
    void clearsDeadlineWhenConditionEnds() {
        assertThat(SettleTimer.deadline(false, 107, 50, SETTLE_US)).isEqualTo(SettleTimer.NEVER);
    }
}
