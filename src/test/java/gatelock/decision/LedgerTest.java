package gatelock.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What a ledger holds of very many outcomes. */
final class LedgerTest {

    @Test
    void ofManyOutcomesAFairSampleIsHeldAndOfFewAll() {
        Ledger ledger = new Ledger(20, 300, new SplittableRandom(7));
        for (int i = 0; i < 10_000; i++) {
            // Only late ones fail: a sample of the first or the last alone would show it.
            ledger.add(1, new Outcome("u", 0, i >= 7_000, false, 1, 0, 0));
        }
        for (int i = 0; i < 300; i++) {
            ledger.add(2, new Outcome("u", 0, i == 0, false, 1, 0, 0));
        }
        List<Slice> slices = ledger.all();
        assertThat(slices.get(0).outcomes()).hasSize(300);
        assertThat(Slice.counts(slices)[0][1]).isBetween(70L, 110L);
        assertThat(slices.get(1).outcomes()).hasSize(300);
        assertThat(Slice.counts(slices)[1][1]).isEqualTo(1);
    }

    @Test
    void whatIsSettledLaterStandsOnceAndInItsFirstSlice() {
        Ledger ledger = new Ledger(20, 300, new SplittableRandom(7));
        Outcome soFar = new Outcome("u", 0, false, true, 3, 0, 0);
        Outcome other = new Outcome("u", 0, false, true, 3, 0, 0);
        ledger.add(1, soFar);
        ledger.add(1, other);
        Outcome known = new Outcome("u", 0, true, true, 9, 0, 0);
        ledger.settle(2, soFar, known);
        assertThat(ledger.all()).hasSize(1);
        assertThat(ledger.all().get(0).outcomes()).containsExactly(known, other);
        ledger.settle(2, null, known);
        assertThat(Slice.seen(ledger.all())).isEqualTo(3);
        ledger.drop(other);
        assertThat(ledger.all().get(0).outcomes()).containsExactly(known);
    }

    @Test
    void whatIsHeldNoLongerIsNotPutBack() {
        Ledger ledger = new Ledger(1, 300, new SplittableRandom(7));
        Outcome soFar = new Outcome("u", 0, false, true, 3, 0, 0);
        ledger.add(1, soFar);
        ledger.add(2, new Outcome("u", 0, false, false, 1, 0, 0));
        ledger.settle(2, soFar, new Outcome("u", 0, false, true, 9, 0, 0));
        assertThat(Slice.outcomes(ledger.all())).extracting(Outcome::slowness).containsExactly(1.0);
    }
}
