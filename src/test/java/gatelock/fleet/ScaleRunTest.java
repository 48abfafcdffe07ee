package gatelock.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests the smallest scale step: all scenarios keep the rules, the same seed gives the same records, and the rule
 * checker detects each injected fault. A checker that misses a fault would report all rules as kept in every scale run.
 */
final class ScaleRunTest {
    private static final ScaleStep SMALLEST_STEP = ScaleStep.STEPS.get(0);

    private static FleetScenario.Result run(FleetScenario scenario, InjectedFault injectedFault) {
        return run(scenario, injectedFault, false);
    }

    private static FleetScenario.Result run(FleetScenario scenario, InjectedFault injectedFault, boolean subsetting) {
        FleetParameters parameters = SMALLEST_STEP.parameters(0, 36);
        parameters.injectedFault = injectedFault;
        parameters.subsetting = subsetting;
        // With the default minimum, all endpoints would be held by every relay because there are so few relays.
        parameters.minRelaysPerEndpoint = 0;
        return scenario.run(SMALLEST_STEP, parameters, new CpuMeter(false));
    }

    @ParameterizedTest
    @EnumSource(FleetScenario.class)
    void keepsAllRulesWithFullList(FleetScenario scenario) {
        assertAllRulesKept(run(scenario, InjectedFault.NONE));
    }

    @ParameterizedTest
    @EnumSource(FleetScenario.class)
    void keepsAllRulesWithSubsets(FleetScenario scenario) {
        FleetScenario.Result result = run(scenario, InjectedFault.NONE, true);
        assertAllRulesKept(result);
        assertThat(result.fleet().records().holderCounts).isNotEmpty();
    }

    /**
     * With few relays each must hold more endpoints than the minimum per service; otherwise some endpoints are idle
     * while others are overloaded and reject requests.
     */
    @ParameterizedTest
    @EnumSource(FleetScenario.class)
    void rejectsHardlyMoreRequestsWithSubsetsWhenRelaysAreFew(FleetScenario scenario) {
        FleetParameters parameters = SMALLEST_STEP.parameters(0, 36);
        parameters.subsetting = true;
        FleetScenario.Result resultWithSubsets = scenario.run(SMALLEST_STEP, parameters, new CpuMeter(false));
        assertAllRulesKept(resultWithSubsets);
        FleetRecords recordsWithoutSubsets =
                run(scenario, InjectedFault.NONE).fleet().records();
        assertThat(resultWithSubsets.fleet().records().rejectedRequests())
                .isLessThan(recordsWithoutSubsets.rejectedRequests() * 6 / 5 + 20);
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
    void producesSameDigestForSameSeed() {
        assertThat(run(FleetScenario.ZONE, InjectedFault.NONE).fleet().records().digest())
                .isEqualTo(run(FleetScenario.ZONE, InjectedFault.NONE)
                        .fleet()
                        .records()
                        .digest());
    }

    @Test
    void detectsChangeThatOneRelayNeverReceives() {
        List<RuleViolation> violations =
                run(FleetScenario.DAY, InjectedFault.MISSED_CHANGE).violations();
        assertThat(violations)
                .filteredOn(violation -> violation.rule() == FleetRule.CHANGE_DELIVERY)
                .containsExactly(new RuleViolation(FleetRule.CHANGE_DELIVERY, "relay 0 never received change 3"));
    }

    @Test
    void detectsLateDrainNotice() {
        List<RuleViolation> violations =
                run(FleetScenario.DAY, InjectedFault.LATE_DRAIN_NOTICE).violations();
        assertThat(violations)
                .isNotEmpty()
                .allMatch(violation -> violation.rule() == FleetRule.PROPAGATION_DELAY)
                .allMatch(violation -> violation.description().startsWith("relay 0 sent an attempt to"));
    }

    @Test
    void detectsEndpointHeldByAllRelays() {
        List<RuleViolation> violations = run(FleetScenario.RACK, InjectedFault.ENDPOINT_HELD_BY_ALL, true)
                .violations();
        assertThat(violations)
                .filteredOn(violation -> violation.rule() == FleetRule.HOLDER_LIMIT)
                .containsExactly(new RuleViolation(FleetRule.HOLDER_LIMIT, "s1-u0 is held by 6 of 6 relays"));
    }
}
