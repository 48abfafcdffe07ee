package gatelock.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What a ledger holds of very many outcomes. */
final class OutcomeHistoryTest {

    @Test
    void ofManyOutcomesAFairSampleIsHeldAndOfFewAll() {
        OutcomeHistory ledger = new OutcomeHistory(20, 300, new SplittableRandom(7));
        for (int i = 0; i < 10_000; i++) {
            // Only late ones fail: a sample of the first or the last alone would show it.
            ledger.add(1, new AttemptOutcome("u", 0, i >= 7_000, false, 1, 0, 0));
        }
        for (int i = 0; i < 300; i++) {
            ledger.add(2, new AttemptOutcome("u", 0, i == 0, false, 1, 0, 0));
        }
        List<OutcomeWindow> slices = ledger.all();
        assertThat(slices.get(0).outcomes()).hasSize(300);
        assertThat(OutcomeWindow.counts(slices)[0][1]).isBetween(70L, 110L);
        assertThat(slices.get(1).outcomes()).hasSize(300);
        assertThat(OutcomeWindow.counts(slices)[1][1]).isEqualTo(1);
    }
}
