package gatelock.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.RoutePolicy;
import org.junit.jupiter.api.Test;

/** The checker names each rule that is broken, and nothing where none is. */
final class FleetRecordsTest {
    private static final long S = SimulatedFleet.S;
    private static final RoutePolicy ONCE =
            new RoutePolicy(RoutePolicy.Repeat.NON_RETRIABLE, RoutePolicy.Group.ALL, S, S, 1);
    private final SimulatedFleet.Terms terms = new SimulatedFleet.Terms();
    private final FleetRecords records = new FleetRecords();

    private void served(String id, long atUs) {
        records.taken.add(new FleetRecords.Taken(id, 0, ONCE, atUs, atUs + 5 * S));
        records.sent.add(new FleetRecords.Sent(id, 0, "u", 1, terms.workUs, atUs));
        records.ran.add(new FleetRecords.Ran(id, "u", atUs));
        records.answers.add(new FleetRecords.Answer(id, atUs + S, true));
    }

    @Test
    void nothingIsNamedWhereAllIsWell() {
        served("a", S);
        served("b", 2 * S);
        assertThat(records.broken(terms)).isEmpty();
    }

    @Test
    void requestWithoutAnAnswerOrWithTwoOrALateOne() {
        served("a", S);
        served("b", S);
        served("c", S);
        records.answers.remove(0);
        records.answers.add(new FleetRecords.Answer("b", 3 * S, false));
        records.answers.set(1, new FleetRecords.Answer("c", 7 * S, true));
        assertThat(records.broken(terms)).hasSize(3).allMatch(b -> b.startsWith("rule 1"));
    }

    @Test
    void effectTwice() {
        served("a", S);
        records.ran.add(new FleetRecords.Ran("a", "v", 2 * S));
        assertThat(records.broken(terms)).singleElement().asString().startsWith("rule 2: a ran 2");
    }

    @Test
    void sendToAnEndpointThatLeft() {
        served("a", 3 * S);
        records.leaves.add(new FleetRecords.Told(0, "u", S));
        assertThat(records.broken(terms)).singleElement().asString().startsWith("rule 3: a went to u");
    }

    @Test
    void coldEndpointUnderTheSumOfAll() {
        records.starts.add(new FleetRecords.Start("u", terms.slots, S));
        for (int i = 0; i < 20; i++) {
            served("a" + i, S + i);
        }
        assertThat(records.broken(terms)).singleElement().asString().startsWith("rule 4: u");
    }

    @Test
    void moreAttemptsAtTheCanaryThanTheCap() {
        records.caps.add(new FleetRecords.Cap(0, 1, 0.1, 0));
        for (int i = 0; i < 6; i++) {
            served("a" + i, S + i);
        }
        assertThat(records.broken(terms)).singleElement().asString().startsWith("rule 5: relay 0 sent 6");
    }

    @Test
    void sendToAnEndpointThatCameBackIsNone() {
        served("a", 6 * S);
        records.leaves.add(new FleetRecords.Told(0, "u", S));
        records.backs.add(new FleetRecords.Told(0, "u", 5 * S));
        assertThat(records.broken(terms)).isEmpty();
        records.backs.clear();
        assertThat(records.broken(terms)).singleElement().asString().startsWith("rule 3: a went to u");
    }

    /** The relay heard of the drain only after its send, so that by its own word nothing is wrong. */
    @Test
    void drainToldLateByDiscoverysOwnClock() {
        terms.linkBytesPerS = 23_000;
        served("a", 10 * S);
        records.downs.add(new FleetRecords.Known("u", S));
        records.leaves.add(new FleetRecords.Told(0, "u", 10 * S));
        assertThat(records.broken(terms)).singleElement().asString().startsWith("told late: relay 0 sent to u");
        records.ups.add(new FleetRecords.Known("u", 9 * S));
        assertThat(records.broken(terms)).isEmpty();
    }

    @Test
    void secondNoticeOfAnEndpointThatLeftBringsNoGrace() {
        terms.linkBytesPerS = 23_000;
        served("a", 12 * S);
        records.downs.add(new FleetRecords.Known("u", S));
        records.downs.add(new FleetRecords.Known("u", 11 * S));
        assertThat(records.broken(terms)).singleElement().asString().startsWith("told late");
    }

    @Test
    void changeThatARelayNeverHad() {
        FleetRecords.Message message = records.message(1, S, 300);
        message.owed(0, 2 * S);
        message.owed(1, 2 * S);
        message.heard(0);
        records.endUs = 3 * S;
        assertThat(records.broken(terms)).containsExactly("change 1: relay 1 never had it");
        records.heardNoMore(1);
        assertThat(records.broken(terms)).isEmpty();
        message.owed(2, 4 * S);
        assertThat(records.broken(terms)).as("its link still carries it").isEmpty();
        assertThat(records.onTheWay()).isEqualTo(1);
    }

    @Test
    void endpointThatAllRelaysHold() {
        records.held.add(new FleetRecords.Held("u", 40, 6, 6, 8));
        records.held.add(new FleetRecords.Held("v", 40, 3, 6, 8));
        records.held.add(new FleetRecords.Held("w", 12, 6, 6, 8));
        assertThat(records.broken(terms)).containsExactly("held: u by 6 of 6 relays");
    }
}
