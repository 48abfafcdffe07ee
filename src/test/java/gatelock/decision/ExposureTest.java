package gatelock.decision;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Rule 5's count of one build. */
final class ExposureTest {

    @Test
    void whatIsSavedUpNeverExceedsTheFreeTries() {
        Exposure room = new Exposure(1, 2);
        for (int i = 0; i < 100; i++) {
            room.earn(0, 0.5);
        }
        assertThat(room.take(0)).isTrue();
        assertThat(room.take(0)).isTrue();
        assertThat(room.take(0)).isFalse();
        room.earn(0, 0.5);
        assertThat(room.has(0)).isFalse();
        room.earn(0, 0.5);
        assertThat(room.has(0)).isTrue();
    }

    @Test
    void routesShareOneSlotOrHaveTheirOwn() {
        Exposure one = new Exposure(1, 1);
        assertThat(one.take(4)).isTrue();
        assertThat(one.has(0)).isFalse();
        Exposure own = new Exposure(2, 1);
        assertThat(own.take(0)).isTrue();
        assertThat(own.has(1)).isTrue();
    }
}
