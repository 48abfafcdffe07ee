package gatelock.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.DecisionEngine;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What holds for many relays together, whatever one of them does alone. */
final class SimulatedFleetTest {
    private static final long S = SimulatedFleet.S;

    private static SimulatedFleet.Terms of(int relays, long seed) {
        SimulatedFleet.Terms terms = new SimulatedFleet.Terms();
        terms.relays = relays;
        terms.endpoints = Math.max(10, Math.min(60, relays * 4));
        terms.requestsPerS = terms.endpoints * 4.7;
        terms.seed = seed;
        return terms;
    }

    private static SimulatedFleet offered(SimulatedFleet.Terms terms) {
        SimulatedFleet fleet = new SimulatedFleet(terms);
        fleet.run(10 * S);
        fleet.controller.offer();
        return fleet;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 14, 50, 120})
    void enoughVoicesStandForGoodBuildAndNoneIsTurnedAway(int relays) {
        SimulatedFleet fleet = offered(of(relays, 1));
        fleet.run(21 * S);
        assertThat(fleet.controller.phase()).isEqualTo(DecisionEngine.Phase.RELEASED);
        assertThat(fleet.controller.stageUs).allMatch(us -> us <= 7 * S);
        assertThat(fleet.controller.turnedAway).isZero();
        assertThat(fleet.records.calls.size()).isLessThanOrEqualTo(4 * relays);
        assertThat(fleet.broken()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({
        "1, 0.1, 1",
        "3, 0.1, 1",
        "14, 0.2, 1",
        "50, 0.2, 1",
        "120, 0.2, 1",
        "14, 0.3, 1",
        "50, 0.3, 1",
        "120, 0.3, 1",
        "50, 0, 3",
        "120, 0, 3"
    })
    void badBuildGoesBackThoughEachRelaySeesLittleOfIt(int relays, double fails, double work) {
        SimulatedFleet.Terms terms = of(relays, 1);
        terms.newFails = fails;
        terms.newWork = work;
        SimulatedFleet fleet = offered(terms);
        fleet.run(25 * S);
        assertThat(fleet.controller.phase()).isEqualTo(DecisionEngine.Phase.REVERTING);
        assertThat(fleet.controller.stageUs.size()).as("stages passed").isLessThan(terms.shares.length);
        assertThat(fleet.broken()).isEmpty();
    }

    /** No endpoint stands out, and each relay has few outcomes of each. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void buildThatIsWorseAtAllOfItsEndpointsGoesBackThoughEachHasFewOutcomes(long seed) {
        SimulatedFleet.Terms terms = of(14, seed);
        terms.endpoints = 60;
        terms.requestsPerS = 340;
        terms.newWork = 1.7;
        SimulatedFleet fleet = offered(terms);
        fleet.run(25 * S);
        assertThat(fleet.controller.phase()).isEqualTo(DecisionEngine.Phase.REVERTING);
        assertThat(fleet.broken()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void goodBuildDoesNotGoBackWhileEndpointsPause(long seed) {
        SimulatedFleet.Terms terms = of(100, seed);
        SimulatedFleet fleet = offered(terms);
        for (int i = 0; i < 5; i++) {
            fleet.run(5 * S);
            fleet.pauseSome(0.3, 500 * SimulatedFleet.MS, 2 * S);
        }
        assertThat(fleet.controller.phase()).isEqualTo(DecisionEngine.Phase.RELEASED);
    }

    @Test
    void rollingRestartsDoNotHoldGoodBuildUp() {
        SimulatedFleet fleet = new SimulatedFleet(of(100, 9));
        fleet.run(10 * S);
        fleet.pauseSome(0.3, 500 * SimulatedFleet.MS, 2 * S);
        fleet.controller.offer();
        for (int i = 0; i < 100; i += 10) {
            fleet.relays().subList(i, i + 10).forEach(r -> r.kill(S));
            fleet.run(8 * S / 5);
        }
        fleet.run(7 * S);
        assertThat(fleet.controller.phase()).isEqualTo(DecisionEngine.Phase.RELEASED);
        assertThat(fleet.controller.stageUs).allMatch(us -> us <= 9 * S);
    }

    @Test
    void herdOfRestartsLeavesColdEndpointsUnderTheirBound() {
        SimulatedFleet.Terms terms = of(100, 5);
        SimulatedFleet fleet = new SimulatedFleet(terms);
        fleet.run(10 * S);
        fleet.relays().stream().limit(70).forEach(r -> r.kill(S));
        fleet.run(S / 2);
        fleet.launch(1, 6);
        fleet.run(8 * S);
        assertThat(fleet.broken()).isEmpty();
    }

    @Test
    void burstIsServed() {
        SimulatedFleet fleet = new SimulatedFleet(of(100, 6));
        fleet.run(15 * S);
        fleet.load(1.4);
        fleet.run(5 * S);
        assertThat(fleet.records.inTime(fleet.nowUs() - 5 * S, fleet.nowUs() - 2 * S))
                .isGreaterThan(0.95);
    }

    @ParameterizedTest
    @CsvSource({"14, 1", "14, 2", "100, 1", "100, 2"})
    void zoneThatFallsSilentIsLeftBeforeTheListSaysSo(int relays, long seed) {
        SimulatedFleet.Terms terms = of(relays, seed);
        terms.endpoints = 60;
        terms.requestsPerS = 200;
        SimulatedFleet fleet = new SimulatedFleet(terms);
        fleet.run(15 * S);
        fleet.pauseZone(0, 8 * S);
        fleet.run(8 * S);
        assertThat(fleet.records.inTime(fleet.nowUs() - 5 * S, fleet.nowUs() - 2 * S))
                .isGreaterThan(relays < 50 ? 0.93 : 0.84);
        fleet.run(15 * S);
        assertThat(fleet.records.inTime(fleet.nowUs() - 5 * S, fleet.nowUs() - 2 * S))
                .isGreaterThan(0.97);
        assertThat(fleet.broken()).isEmpty();
    }

    @Test
    void connectionsThatStandAreUsedWhereNewOnesHaveTheirPrice() {
        SimulatedFleet.Terms free = of(100, 7);
        free.openingPrice = 0;
        SimulatedFleet without = new SimulatedFleet(free);
        without.run(40 * S);
        SimulatedFleet with = new SimulatedFleet(of(100, 7));
        with.run(40 * S);
        assertThat(with.records.opened).isLessThan(without.records.opened / 2);
        assertThat(with.records.inTime(0, with.nowUs() - 5 * S))
                .isGreaterThan(without.records.inTime(0, without.nowUs() - 5 * S) - 0.005);
    }

    @Test
    void oneSeedIsOneCourseOfEvents() {
        List<FleetRecords> two = List.of(new SimulatedFleet(of(50, 8)), new SimulatedFleet(of(50, 8))).stream()
                .map(f -> {
                    f.run(8 * S);
                    return f.records;
                })
                .toList();
        assertThat(two.get(0).sent).isEqualTo(two.get(1).sent);
        assertThat(two.get(0).answers).isEqualTo(two.get(1).answers);
    }
}
