package gatelock.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.DecisionEngine;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the behavior of many relays together. Each relay sees only a few outcomes, so that decisions that are correct
 * for one relay can still release a bad build, roll back a good one or overload an endpoint when all relays make them.
 */
final class SimulatedFleetTest {
    private static final long SECOND_US = VirtualClock.SECOND_US;

    private static FleetParameters parameters(int relays, long seed) {
        FleetParameters parameters = new FleetParameters();
        parameters.relays = relays;
        parameters.endpoints = Math.max(10, Math.min(60, relays * 4));
        parameters.requestsPerS = parameters.endpoints * 4.7;
        parameters.seed = seed;
        return parameters;
    }

    private static SimulatedFleet fleetWithCanary(FleetParameters parameters) {
        SimulatedFleet fleet = new SimulatedFleet(parameters);
        fleet.run(10 * SECOND_US);
        fleet.releaseController().startNextRollout();
        return fleet;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 14, 50, 120})
    void releasesGoodBuildWithoutRejectingVotes(int relays) {
        SimulatedFleet fleet = fleetWithCanary(parameters(relays, 1));
        fleet.run(21 * SECOND_US);
        assertThat(fleet.releaseController().phase()).isEqualTo(DecisionEngine.ReleasePhase.RELEASED);
        assertThat(fleet.releaseController().stageDurationsUs()).allMatch(us -> us <= 7 * SECOND_US);
        assertThat(fleet.releaseController().rejectedVotes()).isZero();
        assertThat(fleet.records().voteTimesUs.size()).isLessThanOrEqualTo(4 * relays);
        assertThat(fleet.finish()).isEmpty();
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
    void rollsBackBadBuildWhenEachRelaySeesFewOutcomes(int relays, double errorRate, double workFactor) {
        FleetParameters parameters = parameters(relays, 1);
        parameters.canaryErrorRate = errorRate;
        parameters.canaryWorkFactor = workFactor;
        SimulatedFleet fleet = fleetWithCanary(parameters);
        fleet.run(25 * SECOND_US);
        assertThat(fleet.releaseController().phase()).isEqualTo(DecisionEngine.ReleasePhase.REVERTING);
        assertThat(fleet.releaseController().stageDurationsUs().size())
                .as("stages passed before the rollback")
                .isLessThan(parameters.stageShares.length);
        assertThat(fleet.finish()).isEmpty();
    }

    /** No endpoint is an outlier because all of them are slow, and each relay sees few outcomes of each endpoint. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void rollsBackUniformlySlowBuildWhenEachEndpointHasFewOutcomes(long seed) {
        FleetParameters parameters = parameters(14, seed);
        parameters.endpoints = 60;
        parameters.requestsPerS = 340;
        parameters.canaryWorkFactor = 1.7;
        SimulatedFleet fleet = fleetWithCanary(parameters);
        fleet.run(25 * SECOND_US);
        assertThat(fleet.releaseController().phase()).isEqualTo(DecisionEngine.ReleasePhase.REVERTING);
        assertThat(fleet.finish()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void releasesGoodBuildWhileEndpointsPause(long seed) {
        FleetParameters parameters = parameters(100, seed);
        SimulatedFleet fleet = fleetWithCanary(parameters);
        for (int i = 0; i < 5; i++) {
            fleet.run(5 * SECOND_US);
            fleet.outages().pauseSome(0.3, 500 * VirtualClock.MILLISECOND_US, 2 * SECOND_US);
        }
        assertThat(fleet.releaseController().phase()).isEqualTo(DecisionEngine.ReleasePhase.RELEASED);
    }

    @Test
    void releasesGoodBuildOnTimeDuringRollingRelayRestarts() {
        SimulatedFleet fleet = new SimulatedFleet(parameters(100, 9));
        fleet.run(10 * SECOND_US);
        fleet.outages().pauseSome(0.3, 500 * VirtualClock.MILLISECOND_US, 2 * SECOND_US);
        fleet.releaseController().startNextRollout();
        for (int i = 0; i < 100; i += 10) {
            fleet.relays().subList(i, i + 10).forEach(r -> r.crash(SECOND_US));
            fleet.run(8 * SECOND_US / 5);
        }
        fleet.run(7 * SECOND_US);
        assertThat(fleet.releaseController().phase()).isEqualTo(DecisionEngine.ReleasePhase.RELEASED);
        assertThat(fleet.releaseController().stageDurationsUs()).allMatch(us -> us <= 9 * SECOND_US);
    }

    @Test
    void limitsColdEndpointLoadAfterManyRelaysRestartAtOnce() {
        FleetParameters parameters = parameters(100, 5);
        SimulatedFleet fleet = new SimulatedFleet(parameters);
        fleet.run(10 * SECOND_US);
        fleet.relays().stream().limit(70).forEach(r -> r.crash(SECOND_US));
        fleet.run(SECOND_US / 2);
        fleet.launch(1, 6);
        fleet.run(8 * SECOND_US);
        assertThat(fleet.finish()).isEmpty();
    }

    @Test
    void servesLoadBurstWithinObjective() {
        SimulatedFleet fleet = new SimulatedFleet(parameters(100, 6));
        fleet.run(15 * SECOND_US);
        fleet.scaleLoad(1.4);
        fleet.run(5 * SECOND_US);
        assertThat(fleet.records().shareWithinObjective(fleet.nowUs() - 5 * SECOND_US, fleet.nowUs() - 2 * SECOND_US))
                .isGreaterThan(0.95);
    }

    @ParameterizedTest
    @CsvSource({"14, 1", "14, 2", "100, 1", "100, 2"})
    void avoidsUnresponsiveZoneBeforeDiscoveryReportsIt(int relays, long seed) {
        FleetParameters parameters = parameters(relays, seed);
        parameters.endpoints = 60;
        parameters.requestsPerS = 200;
        SimulatedFleet fleet = new SimulatedFleet(parameters);
        fleet.run(15 * SECOND_US);
        fleet.outages().pauseZone(0, 8 * SECOND_US);
        fleet.run(8 * SECOND_US);
        assertThat(fleet.records().shareWithinObjective(fleet.nowUs() - 5 * SECOND_US, fleet.nowUs() - 2 * SECOND_US))
                .isGreaterThan(relays < 50 ? 0.93 : 0.84);
        fleet.run(15 * SECOND_US);
        assertThat(fleet.records().shareWithinObjective(fleet.nowUs() - 5 * SECOND_US, fleet.nowUs() - 2 * SECOND_US))
                .isGreaterThan(0.97);
        assertThat(fleet.finish()).isEmpty();
    }

    @Test
    void reusesConnectionsWhenNewOnesHaveCost() {
        FleetParameters parametersWithoutCost = parameters(100, 7);
        parametersWithoutCost.newConnectionCost = 0;
        SimulatedFleet fleetWithoutCost = new SimulatedFleet(parametersWithoutCost);
        fleetWithoutCost.run(40 * SECOND_US);
        SimulatedFleet fleetWithCost = new SimulatedFleet(parameters(100, 7));
        fleetWithCost.run(40 * SECOND_US);
        assertThat(fleetWithCost.records().connectionsOpened)
                .isLessThan(fleetWithoutCost.records().connectionsOpened / 2);
        assertThat(fleetWithCost.records().shareWithinObjective(0, fleetWithCost.nowUs() - 5 * SECOND_US))
                .isGreaterThan(
                        fleetWithoutCost.records().shareWithinObjective(0, fleetWithoutCost.nowUs() - 5 * SECOND_US)
                                - 0.005);
    }

    @Test
    void repeatsSameEventsForSameSeed() {
        List<FleetRecords> records =
                List.of(new SimulatedFleet(parameters(50, 8)), new SimulatedFleet(parameters(50, 8))).stream()
                        .map(f -> {
                            f.run(8 * SECOND_US);
                            return f.records();
                        })
                        .toList();
        assertThat(records.get(0).attempts).isEqualTo(records.get(1).attempts);
        assertThat(records.get(0).responses).isEqualTo(records.get(1).responses);
    }
}
