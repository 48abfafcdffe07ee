package gatelock.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests the queue of requests that arrive before the endpoint list is known. Guards against requests that are continued
 * twice or out of order, or that wait until it is too late for the client to try another relay.
 */
final class StartupQueueTest {
    private final StartupQueue<String> queue = new StartupQueue<>();
    private final List<String> continued = new ArrayList<>();

    private long add(String request, long deadlineUs) {
        return queue.add(1_000, deadlineUs, request, () -> continued.add(request));
    }

    @Test
    void continuesAllRequestsOnceInOrderOfArrival() {
        add("a", 9_000);
        add("b", 2_000);
        add("c", 5_000);
        assertThat(queue.remove("b")).isTrue();
        assertThat(queue.remove("b")).isFalse();
        assertThat(queue.openAndDrain()).isEqualTo(2);
        assertThat(continued).containsExactly("a", "c");
        assertThat(queue.isOpen()).isTrue();
        assertThat(queue.remove("a")).isFalse();
        assertThat(queue.openAndDrain()).isZero();
    }

    @Test
    void allowsWaitForHalfOfRemainingTime() {
        assertThat(add("a", 9_000)).isEqualTo(4_000);
        assertThat(add("past its deadline", 500)).isZero();
    }
}
