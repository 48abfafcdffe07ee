package gatelock.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import gatelock.api.Endpoint;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests full lists and changes of the list: staging, duplicates, order of commits and memory per endpoint. */
final class ListUpdateTest {
    private static final long SECOND_US = 1_000_000;
    private static final long SETTLE_US = 5 * SECOND_US;

    private final SubsetHarness relay =
            new SubsetHarness(new EndpointSubset(SubsetHarness.policy(7, 0, 100, 3, 1, SETTLE_US)));

    @Test
    void rejectsFullListWithDuplicateEndpoint() {
        relay.commitFullList(SubsetHarness.service("a", 40, 4));
        EndpointSubset.ListUpdate update = relay.subset.beginUpdate(true);
        update.add(SubsetHarness.ready("x", "a", 0));
        assertThatThrownBy(() -> update.add(SubsetHarness.endpoint("x", "a", 0, Endpoint.Health.GONE)))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessage("expected each endpoint once, found twice x");
        assertThat(relay.subset.listedCount()).isEqualTo(40);
    }

    @Test
    void appliesLastEntryWhenChangeRepeatsEndpoint() {
        relay.commitFullList(SubsetHarness.service("a", 3, 1));
        relay.commitChange(
                SubsetHarness.endpoint("a-0", "a", 0, Endpoint.Health.GONE), SubsetHarness.ready("a-0", "a", 0));
        assertThat(relay.readyEndpoints()).contains("a-0");
        relay.commitChange(
                SubsetHarness.ready("a-0", "a", 0), SubsetHarness.endpoint("a-0", "a", 0, Endpoint.Health.GONE));
        assertThat(relay.notifiedEndpoints).doesNotContainKey("a-0");
    }

    @Test
    void ignoresUpdateThatIsNotCommitted() {
        relay.commitFullList(SubsetHarness.service("a", 40, 4));
        Set<String> before = relay.readyEndpoints();
        relay.subset.beginUpdate(true).add(SubsetHarness.ready("x", "a", 0));
        EndpointSubset.ListUpdate change = relay.subset.beginUpdate(false);
        before.forEach(name -> change.add(SubsetHarness.endpoint(name, "a", 0, Endpoint.Health.GONE)));
        relay.advance(SETTLE_US);
        assertThat(relay.readyEndpoints()).isEqualTo(before);
        assertThat(relay.subset.listedCount()).isEqualTo(40);
        assertThat(relay.subset.lastChangeUs()).isEqualTo(SubsetHarness.START_US);
    }

    @Test
    void acceptsIndexLowerThanBefore() {
        relay.commitFullList(SubsetHarness.service("a", 40, 4));
        EndpointSubset.ListUpdate update = relay.subset.beginUpdate(false);
        update.add(SubsetHarness.ready("late", "b", 0));
        relay.applyChange(update.commit(relay.nowUs, 2));
        assertThat(relay.readyEndpoints("b")).containsExactly("late");
        assertThat(relay.readyEndpoints("a")).hasSize(3);
        assertThat(relay.subset.index()).isEqualTo(2);
    }

    @Test
    void appliesChangeStagedBeforeFullListWasCommitted() {
        relay.commitFullList(SubsetHarness.service("a", 40, 4));
        EndpointSubset.ListUpdate change = relay.subset.beginUpdate(false);
        change.add(SubsetHarness.ready("late", "b", 0));
        relay.commitFullList(SubsetHarness.service("a", 20, 4));
        change.add(SubsetHarness.endpoint("a-1", "a", 1, Endpoint.Health.GONE));
        relay.applyChange(change.commit(relay.nowUs, 9));
        assertThat(relay.readyEndpoints("b")).containsExactly("late");
        assertThat(relay.subset.listedCount()).isEqualTo(20);
    }

    @Test
    void notifiesOfAllMembersAgainAfterFullList() {
        relay.commitFullList(SubsetHarness.service("a", 40, 4));
        Set<String> first = relay.readyEndpoints();
        relay.commitFullList(SubsetHarness.service("a", 40, 4));
        assertThat(relay.lastChange.full()).isTrue();
        assertThat(relay.lastChange.entries())
                .extracting(EndpointEntry::name)
                .containsExactlyInAnyOrderElementsOf(first);
        relay.commitFullList(SubsetHarness.service("a", 2, 4));
        assertThat(relay.readyEndpoints()).containsExactly("a-0", "a-1");
    }

    @Test
    void movesEndpointWhenItsServiceChanges() {
        relay.commitFullList(SubsetHarness.service("a", 2, 1));
        relay.commitChange(SubsetHarness.ready("a-0", "b", 0));
        assertThat(relay.readyEndpoints("a")).containsExactly("a-1");
        assertThat(relay.readyEndpoints("b")).containsExactly("a-0");
        assertThat(relay.subset.serviceCount()).isEqualTo(2);
    }

    @Test
    void storesEndpointOutsideSubsetInLessThan64Bytes() {
        EndpointSubset subset = new EndpointSubset(SubsetHarness.policy(7, 0, 100, 3, 1, SETTLE_US));
        EndpointSubset.ListUpdate update = subset.beginUpdate(true);
        for (int i = 0; i < 200_000; i++) {
            update.add(new EndpointEntry(
                    "unit-" + (1_000_000 + i),
                    "service-" + i % 7_200,
                    "10." + (i >> 16) + "." + (i >> 8 & 255) + "." + (i & 255) + ":8443",
                    i % 19,
                    i % 4,
                    i % 50,
                    800 + i % 5,
                    Endpoint.Health.READY,
                    1_780_000_000_000_000L + i * 1000L));
        }
        update.commit(0, 1);
        assertThat(subset.listedCount()).isEqualTo(200_000);
        assertThat(subset.subsetSize()).isEqualTo(100);
        assertThat(subset.servicesWithoutSlot()).isEqualTo(7_100);
        assertThat(subset.bytes() / 200_000.0).isLessThan(64);
    }
}
