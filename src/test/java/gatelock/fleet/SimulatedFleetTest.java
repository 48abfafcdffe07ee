package gatelock.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.DecisionEngine;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Properties of many relays together, whatever one of them does alone. */
final class SimulatedFleetTest {
    private static final long S = VirtualClock.SECOND_US;

    private static FleetParameters parameters(int relays, long seed) {
        FleetParameters parameters = new FleetParameters();
        parameters.relays = relays;
        parameters.endpoints = Math.max(10, Math.min(60, relays * 4));
        parameters.requestsPerS = parameters.endpoints * 4.7;
        parameters.seed = seed;
        return parameters;
    }

    private static SimulatedFleet withCanary(FleetParameters parameters) {
        SimulatedFleet fleet = new SimulatedFleet(parameters);
        fleet.run(10 * S);
        fleet.releaseController().offerNextBuild();
        return fleet;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 14, 50, 120})
    void goodBuildGetsEnoughVotesAndNoVoteIsRejected(int relays) {
        SimulatedFleet fleet = withCanary(parameters(relays, 1));
        fleet.run(21 * S);
        assertThat(fleet.releaseController().phase()).isEqualTo(DecisionEngine.ReleasePhase.RELEASED);
        assertThat(fleet.releaseController().stageDurationsUs()).allMatch(us -> us <= 7 * S);
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
    void badBuildIsRolledBackThoughEachRelaySeesLittleOfIt(int relays, double errorRate, double workFactor) {
        FleetParameters parameters = parameters(relays, 1);
        parameters.canaryErrorRate = errorRate;
        parameters.canaryWorkFactor = workFactor;
        SimulatedFleet fleet = withCanary(parameters);
        fleet.run(25 * S);
        assertThat(fleet.releaseController().phase()).isEqualTo(DecisionEngine.ReleasePhase.REVERTING);
        assertThat(fleet.releaseController().stageDurationsUs().size())
                .as("stages passed")
                .isLessThan(parameters.stageShares.length);
        assertThat(fleet.finish()).isEmpty();
    }

    /** No endpoint is an outlier, and each relay sees few outcomes of each. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void buildThatIsSlowEverywhereIsRolledBackThoughEachEndpointHasFewOutcomes(long seed) {
        FleetParameters parameters = parameters(14, seed);
        parameters.endpoints = 60;
        parameters.requestsPerS = 340;
        parameters.canaryWorkFactor = 1.7;
        SimulatedFleet fleet = withCanary(parameters);
        fleet.run(25 * S);
        assertThat(fleet.releaseController().phase()).isEqualTo(DecisionEngine.ReleasePhase.REVERTING);
        assertThat(fleet.finish()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void goodBuildIsNotRolledBackWhileEndpointsPause(long seed) {
        FleetParameters parameters = parameters(100, seed);
        SimulatedFleet fleet = withCanary(parameters);
        for (int i = 0; i < 5; i++) {
            fleet.run(5 * S);
            fleet.outages().pauseSome(0.3, 500 * VirtualClock.MILLISECOND_US, 2 * S);
        }
        assertThat(fleet.releaseController().phase()).isEqualTo(DecisionEngine.ReleasePhase.RELEASED);
    }

    @Test
    void rollingRestartsDoNotDelayGoodBuild() {
        SimulatedFleet fleet = new SimulatedFleet(parameters(100, 9));
        fleet.run(10 * S);
        fleet.outages().pauseSome(0.3, 500 * VirtualClock.MILLISECOND_US, 2 * S);
        fleet.releaseController().offerNextBuild();
        for (int i = 0; i < 100; i += 10) {
            fleet.relays().subList(i, i + 10).forEach(r -> r.kill(S));
            fleet.run(8 * S / 5);
        }
        fleet.run(7 * S);
        assertThat(fleet.releaseController().phase()).isEqualTo(DecisionEngine.ReleasePhase.RELEASED);
        assertThat(fleet.releaseController().stageDurationsUs()).allMatch(us -> us <= 9 * S);
    }

    @Test
    void simultaneousRestartOfManyRelaysKeepsColdEndpointsUnderTheirLimit() {
        FleetParameters parameters = parameters(100, 5);
        SimulatedFleet fleet = new SimulatedFleet(parameters);
        fleet.run(10 * S);
        fleet.relays().stream().limit(70).forEach(r -> r.kill(S));
        fleet.run(S / 2);
        fleet.launch(1, 6);
        fleet.run(8 * S);
        assertThat(fleet.finish()).isEmpty();
    }

    @Test
    void burstIsServed() {
        SimulatedFleet fleet = new SimulatedFleet(parameters(100, 6));
        fleet.run(15 * S);
        fleet.scaleLoad(1.4);
        fleet.run(5 * S);
        assertThat(fleet.records().shareWithinObjective(fleet.nowUs() - 5 * S, fleet.nowUs() - 2 * S))
                .isGreaterThan(0.95);
    }

    @ParameterizedTest
    @CsvSource({"14, 1", "14, 2", "100, 1", "100, 2"})
    void silentZoneIsAvoidedBeforeDiscoveryReportsIt(int relays, long seed) {
        FleetParameters parameters = parameters(relays, seed);
        parameters.endpoints = 60;
        parameters.requestsPerS = 200;
        SimulatedFleet fleet = new SimulatedFleet(parameters);
        fleet.run(15 * S);
        fleet.outages().pauseZone(0, 8 * S);
        fleet.run(8 * S);
        assertThat(fleet.records().shareWithinObjective(fleet.nowUs() - 5 * S, fleet.nowUs() - 2 * S))
                .isGreaterThan(relays < 50 ? 0.93 : 0.84);
        fleet.run(15 * S);
        assertThat(fleet.records().shareWithinObjective(fleet.nowUs() - 5 * S, fleet.nowUs() - 2 * S))
                .isGreaterThan(0.97);
        assertThat(fleet.finish()).isEmpty();
    }

    @Test
    void openConnectionsAreReusedWhereNewOnesHaveACost() {
        FleetParameters free = parameters(100, 7);
        free.newConnectionCost = 0;
        SimulatedFleet without = new SimulatedFleet(free);
        without.run(40 * S);
        SimulatedFleet with = new SimulatedFleet(parameters(100, 7));
        with.run(40 * S);
        assertThat(with.records().connectionsOpened).isLessThan(without.records().connectionsOpened / 2);
        assertThat(with.records().shareWithinObjective(0, with.nowUs() - 5 * S))
                .isGreaterThan(without.records().shareWithinObjective(0, without.nowUs() - 5 * S) - 0.005);
    }

    @Test
    void oneSeedGivesOneCourseOfEvents() {
        List<FleetRecords> two =
                List.of(new SimulatedFleet(parameters(50, 8)), new SimulatedFleet(parameters(50, 8))).stream()
                        .map(f -> {
                            f.run(8 * S);
                            return f.records();
                        })
                        .toList();
        assertThat(two.get(0).attempts).isEqualTo(two.get(1).attempts);
        assertThat(two.get(0).responses).isEqualTo(two.get(1).responses);
    }
}
