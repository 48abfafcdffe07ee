package gatelock.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The smallest step of the ladder: the same verdict each time, and each planted fault is found. */
final class ScaleRunTest {
    private static final ScaleStep SMALLEST = ScaleStep.LADDER.get(0);

    private static FleetScenario.Result run(FleetScenario scenario, PlantedFault plantedFault) {
        return run(scenario, plantedFault, false);
    }

    private static FleetScenario.Result run(FleetScenario scenario, PlantedFault plantedFault, boolean subsetting) {
        FleetParameters parameters = SMALLEST.parameters(0, 36);
        parameters.plantedFault = plantedFault;
        parameters.subsetting = subsetting;
        // With the default, so few relays would hold all endpoints.
        parameters.minHolders = 0;
        return scenario.run(SMALLEST, parameters, new CpuMeter(false));
    }

    @ParameterizedTest
    @EnumSource(FleetScenario.class)
    void smallestStepKeepsTheRulesAndReachesEveryRelay(FleetScenario scenario) {
        assertAllRulesKept(run(scenario, PlantedFault.NONE));
    }

    @ParameterizedTest
    @EnumSource(FleetScenario.class)
    void smallestStepKeepsTheRulesWithSubsets(FleetScenario scenario) {
        FleetScenario.Result result = run(scenario, PlantedFault.NONE, true);
        assertAllRulesKept(result);
        assertThat(result.fleet().records().holderCounts).isNotEmpty();
    }

    /** With few relays each has to hold more than its minimum, or endpoints stay idle beside full ones. */
    @ParameterizedTest
    @EnumSource(FleetScenario.class)
    void fewRelaysRejectNoMoreWithSubsetsThanWithoutThem(FleetScenario scenario) {
        FleetParameters parameters = SMALLEST.parameters(0, 36);
        parameters.subsetting = true;
        FleetScenario.Result with = scenario.run(SMALLEST, parameters, new CpuMeter(false));
        assertAllRulesKept(with);
        FleetRecords without = run(scenario, PlantedFault.NONE).fleet().records();
        assertThat(with.fleet().records().rejectedRequests()).isLessThan(without.rejectedRequests() * 6 / 5 + 20);
    }

    private static void assertAllRulesKept(FleetScenario.Result result) {
        assertThat(result.violations()).isEmpty();
        FleetRecords records = result.fleet().records();
        assertThat(records.requests).hasSizeGreaterThan(10_000);
        assertThat(records.attempts).hasSizeGreaterThan(10_000);
        assertThat(records.undelivered()).isZero();
        assertThat(records.deliveries).isNotEmpty();
        long[] delaysUs = records.deliveryDelaysUs();
        assertThat(delaysUs[delaysUs.length - 1]).isLessThan(7 * VirtualClock.SECOND_US);
    }

    @Test
    void oneSeedGivesOneDigest() {
        assertThat(run(FleetScenario.ZONE, PlantedFault.NONE).fleet().records().digest())
                .isEqualTo(run(FleetScenario.ZONE, PlantedFault.NONE)
                        .fleet()
                        .records()
                        .digest());
    }

    @Test
    void changeThatOneRelayNeverReceivesIsFound() {
        List<RuleViolation> violations =
                run(FleetScenario.DAY, PlantedFault.MISSED_CHANGE).violations();
        assertThat(violations)
                .filteredOn(violation -> violation.rule() == FleetRule.CHANGE_DELIVERY)
                .containsExactly(new RuleViolation(FleetRule.CHANGE_DELIVERY, "relay 0 never received change 3"));
    }

    @Test
    void lateDrainNoticeIsFound() {
        List<RuleViolation> violations =
                run(FleetScenario.DAY, PlantedFault.LATE_DRAIN_NOTICE).violations();
        assertThat(violations)
                .isNotEmpty()
                .allMatch(violation -> violation.rule() == FleetRule.PROPAGATION_DELAY)
                .allMatch(violation -> violation.description().startsWith("relay 0 sent to"));
    }

    @Test
    void endpointHeldByAllRelaysIsFound() {
        List<RuleViolation> violations =
                run(FleetScenario.RACK, PlantedFault.ENDPOINT_HELD_BY_ALL, true).violations();
        assertThat(violations)
                .filteredOn(violation -> violation.rule() == FleetRule.HOLDER_LIMIT)
                .containsExactly(new RuleViolation(FleetRule.HOLDER_LIMIT, "s1-u0 by 6 of 6 relays"));
    }
}
