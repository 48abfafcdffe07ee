package gatelock.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.IntSummaryStatistics;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against a reconnection storm: a thousand relays that lose their control service at the same instant must spread
 * their attempts. Runs in simulated time.
 */
final class BackoffTest {
    private static final int RELAYS = 1_000;
    private static final long SECOND = 1_000_000;

    private record Attempt(long atUs, int relay) {}

    @Test
    void spreadsAttemptsOfManyRelaysWhileServiceIsDown() {
        Backoff[] relays = new Backoff[RELAYS];
        PriorityQueue<Attempt> attempts = new PriorityQueue<>(Comparator.comparingLong(Attempt::atUs));
        for (int i = 0; i < RELAYS; i++) {
            relays[i] = new Backoff(SECOND / 5, 30 * SECOND, new SplittableRandom(i));
            attempts.add(new Attempt(relays[i].nextDelayUs(), i));
        }
        int[] attemptsBySecond = new int[3_601];
        while (attempts.peek().atUs < 3_600 * SECOND) {
            Attempt attempt = attempts.poll();
            attemptsBySecond[(int) (attempt.atUs / SECOND)]++;
            attempts.add(new Attempt(attempt.atUs + relays[attempt.relay].nextDelayUs(), attempt.relay));
        }
        int peak = IntStream.of(attemptsBySecond).limit(3_600).max().orElseThrow();
        // Skips the first 30 s, in which the delays grow to their bound.
        IntSummaryStatistics steadyState =
                IntStream.of(attemptsBySecond).limit(3_600).skip(30).summaryStatistics();
        // With full jitter each relay makes two attempts in 30 s on average. Without jitter, a thousand attempts would
        // fall into the same second.
        assertThat(peak).isLessThan(4_000);
        assertThat(steadyState.getAverage()).isBetween(60.0, 75.0);
        assertThat(steadyState.getMax()).isLessThan(120);
    }

    @Test
    void resetsDelayAfterSuccess() {
        Backoff backoff = new Backoff(1_000, 1_000_000, new SplittableRandom(1));
        for (int i = 0; i < 100; i++) {
            assertThat(backoff.nextDelayUs()).isBetween(1L, 1_000_000L);
        }
        backoff.reset();
        assertThat(backoff.nextDelayUs()).isLessThanOrEqualTo(1_000);
    }
}
