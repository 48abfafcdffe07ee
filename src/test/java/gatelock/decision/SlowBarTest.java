package gatelock.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

/** What is past the bar, and of what the bar says nothing. */
final class SlowBarTest {
    private static final long WARM_US = 3_000_000;

    private static Outcome outcome(boolean failed, boolean late, double slowness, double load, long ageUs) {
        return new Outcome("u", 0, failed, late, slowness, load, ageUs);
    }

    /** Under a load of up to 2 every time is 1: the bar is the margin. */
    private static SlowBar known() {
        List<Outcome> earlier = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            earlier.add(outcome(false, false, 1, i % 3, Long.MAX_VALUE));
        }
        List<Slice> theirs = List.of(new Slice(1, earlier));
        return new SlowBar(theirs, new LikeLoad(theirs, 24, 10), 1.5, 0.9, WARM_US);
    }

    @Test
    void aTimeIsSetAgainstTheUsualOneUnderLikeLoad() {
        assertThat(known().isPast(outcome(false, false, 1.4, 1, 2 * WARM_US))).isFalse();
        assertThat(known().isPast(outcome(false, false, 1.6, 1, 2 * WARM_US))).isTrue();
    }

    @Test
    void nothingIsSaidOfErrorsOfColdUnitsAndOfALoadThatWasNeverThere() {
        assertThat(known().tellsOf(outcome(false, true, 9, 1, 2 * WARM_US))).isTrue();
        assertThat(known().isPast(outcome(true, true, 9, 1, 2 * WARM_US))).isFalse();
        assertThat(known().isPast(outcome(false, true, 9, 1, WARM_US))).isFalse();
        assertThat(known().isPast(outcome(false, true, 9, 12, 2 * WARM_US))).isFalse();
    }

    @Test
    void withoutTimesOfAnEarlierBuildTheObjectiveIsTheBar() {
        SlowBar bar = new SlowBar(List.of(), new LikeLoad(List.of(), 24, 10), 1.5, 0.9, WARM_US);
        assertThat(bar.isPast(outcome(false, false, 9, 12, 2 * WARM_US))).isFalse();
        assertThat(bar.isPast(outcome(false, true, 1, 12, 2 * WARM_US))).isTrue();
    }
}
