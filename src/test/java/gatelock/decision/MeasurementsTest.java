package gatelock.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import gatelock.api.RoutePolicy;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests decaying sums, the detection of stalls and lost zones, routes that are late everywhere, and the estimate of
 * idle connections.
 */
final class MeasurementsTest {
    private static final long SECOND_US = DecisionClock.SECOND_US;

    @Test
    void decaysToOneOverEAfterOneTimeConstant() {
        DecayingSum sum = new DecayingSum(2_000);
        sum.add(0, 10);
        assertThat(sum.sum(2_000)).isCloseTo(10 / Math.E, within(1e-12));
        assertThat(sum.count(2_000)).isCloseTo(1 / Math.E, within(1e-12));
        assertThat(sum.mean(2_000, 3)).isEqualTo(3);
        assertThat(new DecayingSum(2_000).shrunkMean(0, 5, 4)).isEqualTo(5);
    }

    @Test
    void detectsStallByLateCallAndReportsItForOneSecond() {
        DecisionClock clock = new DecisionClock();
        clock.advanceTo(5 * SECOND_US);
        assertThat(clock.justStalled()).isFalse();
        clock.advanceTo(6 * SECOND_US);
        assertThat(clock.justStalled()).isTrue();
        assertThat(clock.recentStallUs()).isEqualTo(SECOND_US);
        clock.advanceTo(6 * SECOND_US + 500_000);
        assertThat(clock.justStalled()).isFalse();
        assertThat(clock.recentStallUs()).isEqualTo(SECOND_US);
        clock.advanceTo(7 * SECOND_US);
        assertThat(clock.recentStallUs()).isZero();
    }

    @Test
    void marksZoneLostOnlyWhileAnotherAnswersAndItDoesNot() {
        TimeoutTracker zones = new TimeoutTracker(2 * SECOND_US);
        for (int i = 0; i < 5; i++) {
            zones.add(0, 1, true);
        }
        zones.update(0, 2.5, 0.6, 0.35);
        assertThat(zones.isLost(1)).isFalse();
        zones.add(0, 2, false);
        zones.update(0, 2.5, 0.6, 0.35);
        assertThat(zones.isLost(1)).isTrue();
        assertThat(zones.isLost(2)).isFalse();
        for (int i = 0; i < 5; i++) {
            zones.add(0, 1, false);
        }
        zones.update(0, 2.5, 0.6, 0.35);
        assertThat(zones.isLost(1)).isFalse();
    }

    @Test
    void reportsOnlyFarSlowerRouteAsLateEverywhere() {
        DecisionClock clock = new DecisionClock();
        RoutePolicy route =
                new RoutePolicy(RoutePolicy.RetrySafety.RETRIABLE, RoutePolicy.DedupScope.ALL, 0, 250_000, 1);
        LatencyEstimates latency = new LatencyEstimates(List.of(route, route), clock);
        for (int i = 0; i < 50; i++) {
            latency.recordCost(0, 20_000);
            latency.recordCost(1, 20_000);
            latency.recordRouteSlowness(0, 1);
            latency.recordRouteSlowness(1, 40);
        }
        assertThat(latency.isLateEverywhere(0)).isFalse();
        assertThat(latency.isLateEverywhere(1)).isTrue();
        assertThat(latency.routeFactor(0)).isEqualTo(1);
        assertThat(latency.routeFactor(1)).isGreaterThan(20);
    }

    @Test
    void removesIdleConnectionWhenAcquiredOrExpired() {
        IdleConnectionEstimate connections = new IdleConnectionEstimate();
        assertThat(connections.hasIdle(0, 1_000)).isFalse();
        connections.release(0, 1_000);
        connections.release(100, 1_000);
        connections.acquire(200, 1_000);
        assertThat(connections.hasIdle(1_099, 1_000)).isTrue();
        assertThat(connections.hasIdle(1_100, 1_000)).isFalse();
        connections.acquire(300, 1_000);
        assertThat(connections.hasIdle(400, 1_000)).isFalse();
    }
}
