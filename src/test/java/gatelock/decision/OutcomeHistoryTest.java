package gatelock.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the sampling of windows with many outcomes. */
final class OutcomeHistoryTest {

    @Test
    void keepsUniformSampleOfManyOutcomesAndAllOfFew() {
        OutcomeHistory history = new OutcomeHistory(20, 300, new SplittableRandom(7));
        for (int i = 0; i < 10_000; i++) {
            // Only the last outcomes fail, so that a sample of only the first or only the last outcomes is noticed.
            history.add(1, new AttemptOutcome("u", 0, i >= 7_000, false, 1, 0, 0));
        }
        for (int i = 0; i < 300; i++) {
            history.add(2, new AttemptOutcome("u", 0, i == 0, false, 1, 0, 0));
        }
        List<OutcomeWindow> windows = history.all();
        assertThat(windows.get(0).outcomes()).hasSize(300);
        assertThat(OutcomeWindow.errorCounts(windows)[0].failed()).isBetween(70L, 110L);
        assertThat(windows.get(1).outcomes()).hasSize(300);
        assertThat(OutcomeWindow.errorCounts(windows)[1].failed()).isEqualTo(1);
    }
}
