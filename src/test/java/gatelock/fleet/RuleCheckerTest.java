package gatelock.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.RoutePolicy;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The checker reports each rule that is broken, and nothing else. */
final class RuleCheckerTest {
    private static final long S = VirtualClock.SECOND_US;
    private static final RoutePolicy ONCE =
            new RoutePolicy(RoutePolicy.RetrySafety.NON_RETRIABLE, RoutePolicy.DedupScope.ALL, S, S, 1);
    private final FleetParameters parameters = new FleetParameters();
    private final FleetRecords records = new FleetRecords();

    private List<String> violations() {
        return new RuleChecker(records, parameters)
                .violations().stream().map(RuleViolation::toString).toList();
    }

    /** A request that is accepted, sent, processed and answered, all at the endpoint u. */
    private void served(String id, long atUs) {
        records.requests.add(new FleetRecords.Request(id, 0, ONCE, atUs, atUs + 5 * S));
        records.attempts.add(new FleetRecords.Attempt(id, 0, "u", 1, parameters.meanWorkUs, atUs));
        records.executions.add(new FleetRecords.Execution(id, "u", atUs));
        records.responses.add(new FleetRecords.Response(id, atUs + S, true));
    }

    @Test
    void noViolationWhereAllRulesAreKept() {
        served("a", S);
        served("b", 2 * S);
        assertThat(violations()).isEmpty();
    }

    @Test
    void requestWithNoAnswerTwoAnswersOrALateOne() {
        served("a", S);
        served("b", S);
        served("c", S);
        records.responses.remove(0);
        records.responses.add(new FleetRecords.Response("b", 3 * S, false));
        records.responses.set(1, new FleetRecords.Response("c", 7 * S, true));
        assertThat(violations()).hasSize(3).allMatch(violation -> violation.startsWith("rule 1: "));
    }

    @Test
    void repeatedEffectOfANonIdempotentRequest() {
        served("a", S);
        records.executions.add(new FleetRecords.Execution("a", "v", 2 * S));
        assertThat(violations()).singleElement().asString().startsWith("rule 2: a ran 2");
    }

    @Test
    void attemptAtAnEndpointThatLeft() {
        served("a", 3 * S);
        records.departures.add(new FleetRecords.Notice(0, "u", S));
        assertThat(violations()).singleElement().asString().startsWith("rule 3: a went to u");
    }

    @Test
    void coldEndpointWithTooMuchWork() {
        records.endpointStarts.add(new FleetRecords.EndpointStart("u", parameters.endpointConcurrency, S));
        for (int i = 0; i < 20; i++) {
            served("a" + i, S + i);
        }
        assertThat(violations()).singleElement().asString().startsWith("rule 4: u");
    }

    @Test
    void moreAttemptsAtTheCanaryThanTheCap() {
        records.canaryCaps.add(new FleetRecords.CanaryCap(0, 1, 0.1, 0));
        for (int i = 0; i < 6; i++) {
            served("a" + i, S + i);
        }
        assertThat(violations()).singleElement().asString().startsWith("rule 5: relay 0 sent 6");
    }

    @Test
    void attemptAtAnEndpointThatIsBackIsNoViolation() {
        served("a", 6 * S);
        records.departures.add(new FleetRecords.Notice(0, "u", S));
        records.returns.add(new FleetRecords.Notice(0, "u", 5 * S));
        assertThat(violations()).isEmpty();
        records.returns.clear();
        assertThat(violations()).singleElement().asString().startsWith("rule 3: a went to u");
    }

    /** The relay received the drain notice only after its attempt, so that by its own account nothing is wrong. */
    @Test
    void lateDrainNoticeByDiscoverysClock() {
        parameters.discoveryLinkBytesPerS = 23_000;
        served("a", 10 * S);
        records.becameNotReady.add(new FleetRecords.StatusChange("u", S));
        records.departures.add(new FleetRecords.Notice(0, "u", 10 * S));
        assertThat(violations()).singleElement().asString().startsWith("told late: relay 0 sent to u");
        records.becameReady.add(new FleetRecords.StatusChange("u", 9 * S));
        assertThat(violations()).isEmpty();
    }

    @Test
    void secondNoticeOfADepartureBeginsNoNewGracePeriod() {
        parameters.discoveryLinkBytesPerS = 23_000;
        served("a", 12 * S);
        records.becameNotReady.add(new FleetRecords.StatusChange("u", S));
        records.becameNotReady.add(new FleetRecords.StatusChange("u", 11 * S));
        assertThat(violations()).singleElement().asString().startsWith("told late: ");
    }

    @Test
    void changeThatARelayNeverReceived() {
        FleetRecords.Delivery delivery = records.addDelivery(1, S, 300);
        delivery.expect(0, 2 * S);
        delivery.expect(1, 2 * S);
        delivery.markReceived(0);
        records.endUs = 3 * S;
        assertThat(violations()).containsExactly("change: relay 1 never received change 1");
        records.relayEnded(1);
        assertThat(violations()).isEmpty();
        delivery.expect(2, 4 * S);
        assertThat(violations()).as("its link still carries it").isEmpty();
        assertThat(records.undelivered()).isEqualTo(1);
    }

    @Test
    void endpointHeldByAllRelays() {
        records.holderCounts.add(new FleetRecords.HolderCount("u", 40, 6, 6, 8));
        records.holderCounts.add(new FleetRecords.HolderCount("v", 40, 3, 6, 8));
        records.holderCounts.add(new FleetRecords.HolderCount("w", 12, 6, 6, 8));
        assertThat(violations()).containsExactly("held: u by 6 of 6 relays");
    }
}
