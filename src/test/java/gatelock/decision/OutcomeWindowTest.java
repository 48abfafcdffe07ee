package gatelock.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/**
 * Tests which outcomes remain when the worst endpoints of a build are excluded. Guards against two faults: a slowness
 * that affects all endpoints at random must not disappear because each endpoint has few outcomes, and consistently slow
 * endpoints must not remain.
 */
final class OutcomeWindowTest {
    private static final int WINDOWS = 8;
    private static final int ENDPOINTS = 60;

    /** Returns windows whose outcomes are at random endpoints; an outcome is slow with its endpoint's probability. */
    private static List<OutcomeWindow> randomWindows(int outcomesPerWindow, long seed, double[] slowShares) {
        SplittableRandom random = new SplittableRandom(seed);
        List<OutcomeWindow> windows = new ArrayList<>();
        for (int i = 0; i < WINDOWS; i++) {
            List<AttemptOutcome> outcomes = new ArrayList<>();
            for (int j = 0; j < outcomesPerWindow; j++) {
                int endpoint = random.nextInt(ENDPOINTS);
                double slowness = random.nextDouble() < slowShares[endpoint] ? 5 : 1;
                outcomes.add(new AttemptOutcome(endpoint, 0, false, false, slowness, 0, 0));
            }
            windows.add(new OutcomeWindow(1000 + i, outcomes));
        }
        return windows;
    }

    /** Returns the probability of a slow outcome for each endpoint. */
    private static double[] slowShares(
            double unhealthyEndpointShare, double unhealthySlowShare, double healthySlowShare) {
        double[] shares = new double[ENDPOINTS];
        for (int i = 0; i < ENDPOINTS; i++) {
            shares[i] = i < ENDPOINTS * unhealthyEndpointShare ? unhealthySlowShare : healthySlowShare;
        }
        return shares;
    }

    /** Returns the share of slow outcomes. */
    private static double slowShare(List<OutcomeWindow> windows) {
        return OutcomeWindow.outcomes(windows)
                        .filter(outcome -> outcome.slowness() > 1)
                        .count()
                / (double) Math.max(1, OutcomeWindow.size(windows));
    }

    @Property(tries = 200)
    void keepsSlowShareWhenAllEndpointsAreEquallySlow(
            @ForAll @IntRange(min = 10, max = 60) int outcomesPerWindow,
            @ForAll @DoubleRange(min = 0.2, max = 0.6) double share,
            @ForAll long seed) {
        List<OutcomeWindow> all = randomWindows(outcomesPerWindow, seed, slowShares(0, 0, share));
        List<OutcomeWindow> remaining = OutcomeWindow.withoutWorst(all, AttemptOutcome::slowness, 0.5);
        double standardError = Math.sqrt(share * (1 - share) / Math.max(1, OutcomeWindow.size(remaining)));
        assertThat(slowShare(remaining)).isBetween(share - 5 * standardError, share + 5 * standardError);
    }

    @Property(tries = 200)
    void excludesEndpointsThatAreConsistentlySlow(
            @ForAll @IntRange(min = 60, max = 120) int outcomesPerWindow, @ForAll long seed) {
        List<OutcomeWindow> all = randomWindows(outcomesPerWindow, seed, slowShares(0.3, 0.9, 0));
        assertThat(slowShare(all)).isGreaterThan(0.15);
        assertThat(slowShare(OutcomeWindow.withoutWorst(all, AttemptOutcome::slowness, 0.5)))
                .isLessThan(0.08);
    }

    @Property(tries = 50)
    void returnsOnlyOutcomesOfTheInput(@ForAll @IntRange(min = 0, max = 3) int outcomesPerWindow, @ForAll long seed) {
        List<OutcomeWindow> all = randomWindows(outcomesPerWindow, seed, slowShares(0.3, 0.9, 0));
        List<OutcomeWindow> remaining = OutcomeWindow.withoutWorst(all, AttemptOutcome::slowness, 0.5);
        assertThat(all.stream().flatMap(window -> window.outcomes().stream()).toList())
                .containsAll(OutcomeWindow.outcomes(remaining).toList());
        assertThat(OutcomeWindow.size(remaining)).isLessThanOrEqualTo(OutcomeWindow.size(all));
    }
}
