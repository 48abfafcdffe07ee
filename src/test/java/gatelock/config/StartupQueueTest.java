package gatelock.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What comes before the list is known. */
final class StartupQueueTest {
    private final StartupQueue<String> arrivals = new StartupQueue<>();
    private final List<String> gone = new ArrayList<>();

    private long come(String what, long endUs) {
        return arrivals.come(1_000, endUs, what, () -> gone.add(what));
    }

    @Test
    void allGoOnOnceInTheOrderInWhichTheyCame() {
        come("a", 9_000);
        come("b", 2_000);
        come("c", 5_000);
        assertThat(arrivals.leave("b")).isTrue();
        assertThat(arrivals.leave("b")).isFalse();
        assertThat(arrivals.open()).isEqualTo(2);
        assertThat(gone).containsExactly("a", "c");
        assertThat(arrivals.isOpen()).isTrue();
        assertThat(arrivals.leave("a")).isFalse();
        assertThat(arrivals.open()).isZero();
    }

    @Test
    void eachWaitsForHalfOfItsOwnTime() {
        assertThat(come("a", 9_000)).isEqualTo(4_000);
        assertThat(come("past", 500)).isZero();
    }
}
