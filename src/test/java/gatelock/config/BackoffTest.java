package gatelock.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** A thousand relays that lose their control service in the same instant, in simulated time. */
final class BackoffTest {
    private static final int RELAYS = 1_000;
    private static final long SECOND = 1_000_000;

    private record Next(long atUs, int relay) {}

    @Test
    void aThousandRelaysDoNotComeBackTogetherInAnHourOfSilence() {
        Backoff[] relays = new Backoff[RELAYS];
        PriorityQueue<Next> queue = new PriorityQueue<>((a, b) -> Long.compare(a.atUs, b.atUs));
        for (int i = 0; i < RELAYS; i++) {
            relays[i] = new Backoff(SECOND / 5, 30 * SECOND, new SplittableRandom(i));
            queue.add(new Next(relays[i].failed(), i));
        }
        int[] aSecond = new int[3_601];
        while (queue.peek().atUs < 3_600 * SECOND) {
            Next n = queue.poll();
            aSecond[(int) (n.atUs / SECOND)]++;
            queue.add(new Next(n.atUs + relays[n.relay].failed(), n.relay));
        }
        int first = 0;
        int later = 0;
        long sum = 0;
        for (int s = 0; s < 3_600; s++) {
            first = Math.max(first, aSecond[s]);
            later = s >= 30 ? Math.max(later, aSecond[s]) : later;
            sum += s >= 30 ? aSecond[s] : 0;
        }
        // Full jitter: on average two a relay in 30 s. Without it a bound of 30 s would bring a thousand in
        // one second.
        assertThat(first).isLessThan(4_000);
        assertThat(sum / 3_570.0).isBetween(60.0, 75.0);
        assertThat(later).isLessThan(120);
    }

    @Test
    void oneThatSucceedsBeginsAnew() {
        Backoff backoff = new Backoff(1_000, 1_000_000, new SplittableRandom(1));
        for (int i = 0; i < 100; i++) {
            assertThat(backoff.failed()).isBetween(1L, 1_000_000L);
        }
        backoff.succeeded();
        assertThat(backoff.failed()).isLessThanOrEqualTo(1_000);
    }
}
