package gatelock.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/** Which endpoints are left out when a build is judged without its worst ones. */
final class OutcomeWindowTest {
    private static final int SLICES = 8;
    private static final int ENDPOINTS = 60;

    /** So many outcomes a slice, on endpoints by chance; each is slow by its endpoint's share. */
    private static List<OutcomeWindow> slices(int perSlice, long seed, double[] slowShare) {
        SplittableRandom chance = new SplittableRandom(seed);
        List<OutcomeWindow> slices = new ArrayList<>();
        for (int i = 0; i < SLICES; i++) {
            List<AttemptOutcome> outcomes = new ArrayList<>();
            for (int j = 0; j < perSlice; j++) {
                int endpoint = chance.nextInt(ENDPOINTS);
                double slowness = chance.nextDouble() < slowShare[endpoint] ? 5 : 1;
                outcomes.add(new AttemptOutcome(endpoint, 0, false, false, slowness, 0, 0));
            }
            slices.add(new OutcomeWindow(1000 + i, outcomes));
        }
        return slices;
    }

    private static double[] shares(double sickPart, double sick, double well) {
        double[] shares = new double[ENDPOINTS];
        for (int i = 0; i < ENDPOINTS; i++) {
            shares[i] = i < ENDPOINTS * sickPart ? sick : well;
        }
        return shares;
    }

    private static double slow(List<OutcomeWindow> slices) {
        return OutcomeWindow.outcomes(slices).filter(o -> o.slowness() > 1).count()
                / (double) Math.max(1, OutcomeWindow.size(slices));
    }

    @Property(tries = 200)
    void whatStrikesAllEndpointsByChanceStaysVisibleHoweverFewOutcomesEachHas(
            @ForAll @IntRange(min = 10, max = 60) int perSlice,
            @ForAll @DoubleRange(min = 0.2, max = 0.6) double share,
            @ForAll long seed) {
        List<OutcomeWindow> all = slices(perSlice, seed, shares(0, 0, share));
        List<OutcomeWindow> rest = OutcomeWindow.withoutWorst(all, AttemptOutcome::slowness, 0.5);
        double chance = Math.sqrt(share * (1 - share) / Math.max(1, OutcomeWindow.size(rest)));
        assertThat(slow(rest)).isBetween(share - 5 * chance, share + 5 * chance);
    }

    @Property(tries = 200)
    void endpointsThatAreSickThroughoutAreLeftOut(
            @ForAll @IntRange(min = 60, max = 120) int perSlice, @ForAll long seed) {
        List<OutcomeWindow> all = slices(perSlice, seed, shares(0.3, 0.9, 0));
        assertThat(slow(all)).isGreaterThan(0.15);
        assertThat(slow(OutcomeWindow.withoutWorst(all, AttemptOutcome::slowness, 0.5)))
                .isLessThan(0.08);
    }

    @Property(tries = 50)
    void nothingIsMadeUp(@ForAll @IntRange(min = 0, max = 3) int perSlice, @ForAll long seed) {
        List<OutcomeWindow> all = slices(perSlice, seed, shares(0.3, 0.9, 0));
        List<OutcomeWindow> rest = OutcomeWindow.withoutWorst(all, AttemptOutcome::slowness, 0.5);
        assertThat(all.stream().flatMap(s -> s.outcomes().stream()).toList())
                .containsAll(OutcomeWindow.outcomes(rest).toList());
        assertThat(OutcomeWindow.size(rest)).isLessThanOrEqualTo(OutcomeWindow.size(all));
    }
}
