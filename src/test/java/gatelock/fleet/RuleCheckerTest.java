package gatelock.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.RoutePolicy;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that the checker reports a violation of each rule and reports nothing when the rules are kept. */
final class RuleCheckerTest {
    private static final long SECOND_US = VirtualClock.SECOND_US;
    private static final RoutePolicy NON_RETRIABLE_ROUTE =
            new RoutePolicy(RoutePolicy.RetrySafety.NON_RETRIABLE, RoutePolicy.DedupScope.ALL, SECOND_US, SECOND_US, 1);
    private final FleetParameters parameters = new FleetParameters();
    private final FleetRecords records = new FleetRecords();

    private List<String> violations() {
        return new RuleChecker(records, parameters)
                .violations().stream().map(RuleViolation::toString).toList();
    }

    /** Records a request that is accepted, sent to endpoint u, processed there and answered in time. */
    private void recordServedRequest(String id, long atUs) {
        records.requests.add(new FleetRecords.Request(id, 0, NON_RETRIABLE_ROUTE, atUs, atUs + 5 * SECOND_US));
        records.attempts.add(new FleetRecords.Attempt(id, 0, "u", 1, parameters.meanWorkUs, atUs));
        records.executions.add(new FleetRecords.Execution(id, "u", atUs));
        records.responses.add(new FleetRecords.Response(id, atUs + SECOND_US, true));
    }

    @Test
    void reportsNothingWhenAllRulesAreKept() {
        recordServedRequest("a", SECOND_US);
        recordServedRequest("b", 2 * SECOND_US);
        assertThat(violations()).isEmpty();
    }

    @Test
    void reportsRequestWithMissingDuplicateOrLateResponse() {
        recordServedRequest("a", SECOND_US);
        recordServedRequest("b", SECOND_US);
        recordServedRequest("c", SECOND_US);
        records.responses.remove(0);
        records.responses.add(new FleetRecords.Response("b", 3 * SECOND_US, false));
        records.responses.set(1, new FleetRecords.Response("c", 7 * SECOND_US, true));
        assertThat(violations()).hasSize(3).allMatch(violation -> violation.startsWith("rule 1: "));
    }

    @Test
    void reportsRepeatedExecutionOfNonRetriableRequest() {
        recordServedRequest("a", SECOND_US);
        records.executions.add(new FleetRecords.Execution("a", "v", 2 * SECOND_US));
        assertThat(violations()).singleElement().asString().startsWith("rule 2: a was executed 2");
    }

    @Test
    void reportsAttemptToUnavailableEndpoint() {
        recordServedRequest("a", 3 * SECOND_US);
        records.unavailableNotices.add(new FleetRecords.Notice(0, "u", SECOND_US));
        assertThat(violations()).singleElement().asString().startsWith("rule 3: a was sent to u");
    }

    @Test
    void reportsOverloadedColdEndpoint() {
        records.endpointStarts.add(new FleetRecords.EndpointStart("u", parameters.endpointConcurrency, SECOND_US));
        for (int i = 0; i < 20; i++) {
            recordServedRequest("a" + i, SECOND_US + i);
        }
        assertThat(violations()).singleElement().asString().startsWith("rule 4: u");
    }

    @Test
    void reportsCanaryAttemptsAboveExposureCap() {
        records.canaryCaps.add(new FleetRecords.CanaryCap(0, 1, 0.1, 0));
        for (int i = 0; i < 6; i++) {
            recordServedRequest("a" + i, SECOND_US + i);
        }
        assertThat(violations()).singleElement().asString().startsWith("rule 5: relay 0 sent 6");
    }

    @Test
    void reportsNothingForAttemptToEndpointThatIsReadyAgain() {
        recordServedRequest("a", 6 * SECOND_US);
        records.unavailableNotices.add(new FleetRecords.Notice(0, "u", SECOND_US));
        records.readyNotices.add(new FleetRecords.Notice(0, "u", 5 * SECOND_US));
        assertThat(violations()).isEmpty();
        records.readyNotices.clear();
        assertThat(violations()).singleElement().asString().startsWith("rule 3: a was sent to u");
    }

    /**
     * The relay receives the drain notice only after its attempt, so that the check of rule 3 by received notices
     * passes.
     */
    @Test
    void reportsAttemptAfterLateDrainNotice() {
        parameters.discoveryLinkBytesPerS = 23_000;
        recordServedRequest("a", 10 * SECOND_US);
        records.becameNotReady.add(new FleetRecords.StatusChange("u", SECOND_US));
        records.unavailableNotices.add(new FleetRecords.Notice(0, "u", 10 * SECOND_US));
        assertThat(violations())
                .singleElement()
                .asString()
                .startsWith("propagation delay: relay 0 sent an attempt to u");
        records.becameReady.add(new FleetRecords.StatusChange("u", 9 * SECOND_US));
        assertThat(violations()).isEmpty();
    }

    @Test
    void keepsGracePeriodOnRepeatedNotice() {
        parameters.discoveryLinkBytesPerS = 23_000;
        recordServedRequest("a", 12 * SECOND_US);
        records.becameNotReady.add(new FleetRecords.StatusChange("u", SECOND_US));
        records.becameNotReady.add(new FleetRecords.StatusChange("u", 11 * SECOND_US));
        assertThat(violations()).singleElement().asString().startsWith("propagation delay: ");
    }

    @Test
    void reportsChangeThatRelayNeverReceived() {
        FleetRecords.Delivery delivery = records.addDelivery(1, SECOND_US, 300);
        delivery.expect(0, 2 * SECOND_US);
        delivery.expect(1, 2 * SECOND_US);
        delivery.markReceived(0);
        records.endUs = 3 * SECOND_US;
        assertThat(violations()).containsExactly("change delivery: relay 1 never received change 1");
        records.recordRelayStopped(1);
        assertThat(violations()).isEmpty();
        delivery.expect(2, 4 * SECOND_US);
        assertThat(violations())
                .as("no violation while the change is still in transit")
                .isEmpty();
        assertThat(records.undelivered()).isEqualTo(1);
    }

    @Test
    void reportsEndpointHeldByAllRelays() {
        records.holderCounts.add(new FleetRecords.HolderCount("u", 40, 6, 6, 8));
        records.holderCounts.add(new FleetRecords.HolderCount("v", 40, 3, 6, 8));
        records.holderCounts.add(new FleetRecords.HolderCount("w", 12, 6, 6, 8));
        assertThat(violations()).containsExactly("holder limit: u is held by 6 of 6 relays");
    }
}
