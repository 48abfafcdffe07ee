package gatelock.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The smallest step of the ladder: the same verdict each time, and each planted fault is found. */
final class ScaleRunTest {
    private static final ScaleStep SMALLEST = ScaleStep.LADDER.get(0);

    private static FleetScenario.Result play(FleetScenario play, SimulatedFleet.Fault fault) {
        return play(play, fault, false);
    }

    private static FleetScenario.Result play(FleetScenario play, SimulatedFleet.Fault fault, boolean scoped) {
        SimulatedFleet.Terms terms = SMALLEST.terms(0, 36);
        terms.fault = fault;
        terms.scoped = scoped;
        // So few relays would use all endpoints.
        terms.leastHolders = 0;
        return play.play(SMALLEST, terms, new CpuMeter(false));
    }

    @ParameterizedTest
    @EnumSource(FleetScenario.class)
    void smallestStepKeepsTheRulesAndTellsEveryRelay(FleetScenario play) {
        keepsAll(play(play, SimulatedFleet.Fault.NONE));
    }

    @ParameterizedTest
    @EnumSource(FleetScenario.class)
    void smallestStepKeepsTheRulesWithAScope(FleetScenario play) {
        FleetScenario.Result result = play(play, SimulatedFleet.Fault.NONE, true);
        keepsAll(result);
        assertThat(result.fleet().records.held).isNotEmpty();
    }

    /** Of few relays each has to use more endpoints than its least, or endpoints stand idle beside full ones. */
    @ParameterizedTest
    @EnumSource(FleetScenario.class)
    void fewRelaysRefuseNoMoreWithAScopeThanWithoutOne(FleetScenario play) {
        SimulatedFleet.Terms terms = SMALLEST.terms(0, 36);
        terms.scoped = true;
        FleetScenario.Result with = play.play(SMALLEST, terms, new CpuMeter(false));
        keepsAll(with);
        FleetRecords without = play(play, SimulatedFleet.Fault.NONE).fleet().records;
        assertThat(with.fleet().records.refused()).isLessThan(without.refused() * 6 / 5 + 20);
    }

    private static void keepsAll(FleetScenario.Result result) {
        assertThat(result.broken()).isEmpty();
        FleetRecords records = result.fleet().records;
        assertThat(records.taken).hasSizeGreaterThan(10_000);
        assertThat(records.sent).hasSizeGreaterThan(10_000);
        assertThat(records.onTheWay()).isZero();
        assertThat(records.messages).isNotEmpty();
        long[] reached = records.reachedUs();
        assertThat(reached[reached.length - 1]).isLessThan(7 * SimulatedFleet.S);
    }

    @Test
    void oneSeedIsOneDigest() {
        assertThat(play(FleetScenario.ZONE, SimulatedFleet.Fault.NONE)
                        .fleet()
                        .records
                        .digest())
                .isEqualTo(play(FleetScenario.ZONE, SimulatedFleet.Fault.NONE)
                        .fleet()
                        .records
                        .digest());
    }

    @Test
    void changeThatOneRelayNeverGetsIsFound() {
        List<String> broken =
                play(FleetScenario.DAY, SimulatedFleet.Fault.CHANGE_MISSED).broken();
        assertThat(broken).filteredOn(b -> b.startsWith("change")).containsExactly("change 3: relay 0 never had it");
    }

    @Test
    void drainThatIsToldLateIsFound() {
        List<String> broken =
                play(FleetScenario.DAY, SimulatedFleet.Fault.DRAIN_LATE).broken();
        assertThat(broken).isNotEmpty().allMatch(b -> b.startsWith("told late: relay 0 sent to"));
    }

    @Test
    void endpointThatAllRelaysHoldIsFound() {
        List<String> broken =
                play(FleetScenario.RACK, SimulatedFleet.Fault.HELD_BY_ALL, true).broken();
        assertThat(broken).filteredOn(b -> b.startsWith("held")).containsExactly("held: s1-u0 by 6 of 6 relays");
    }
}
