package gatelock.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import gatelock.api.Endpoint;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which endpoints a relay selects, and how the subset changes when endpoints are lost, drain or restart. */
final class EndpointSubsetTest {
    private static final long SECOND_US = 1_000_000;
    private static final long SETTLE_US = 5 * SECOND_US;

    private final SubsetHarness relay =
            new SubsetHarness(new EndpointSubset(SubsetHarness.policy(7, 0, 100, 3, 1, SETTLE_US)));

    private static EndpointEntry[] withHealth(List<EndpointEntry> entries, Set<String> names, Endpoint.Health health) {
        return entries.stream()
                .filter(entry -> names.contains(entry.name()))
                .map(entry -> SubsetHarness.endpoint(entry.name(), entry.service(), entry.zone(), health))
                .toArray(EndpointEntry[]::new);
    }

    private long countInZone(Set<String> endpoints, int zone) {
        return endpoints.stream()
                .filter(name -> relay.notifiedEndpoints.get(name).zone() == zone)
                .count();
    }

    @Test
    void prefersOwnZoneAndKeepsConfiguredNumberInOtherZones() {
        relay.commitFullList(SubsetHarness.service("a", 40, 4));
        assertThat(relay.readyEndpoints()).hasSize(3);
        assertThat(countInZone(relay.readyEndpoints(), 0)).isEqualTo(2);
    }

    @Test
    void fillsSubsetFromOtherZonesOrFromOwnZoneAlone() {
        relay.commitFullList(List.of(
                SubsetHarness.ready("here", "a", 0),
                SubsetHarness.ready("b1", "a", 1),
                SubsetHarness.ready("b2", "a", 2),
                SubsetHarness.ready("b3", "a", 1)));
        assertThat(relay.readyEndpoints()).hasSize(3).contains("here");
        relay.commitFullList(SubsetHarness.service("a", 40, 1));
        assertThat(relay.readyEndpoints()).hasSize(3);
    }

    @Test
    void replacesLostEndpointsInSameChange() {
        List<EndpointEntry> endpoints = SubsetHarness.service("a", 40, 4);
        relay.commitFullList(endpoints);
        for (int i = 0; i < 12; i++) {
            Set<String> lost = relay.readyEndpoints();
            relay.commitChange(
                    withHealth(endpoints, lost, i % 2 == 0 ? Endpoint.Health.GONE : Endpoint.Health.DRAINING));
            assertThat(relay.readyEndpoints()).hasSize(3).doesNotContainAnyElementsOf(lost);
        }
        assertThat(relay.subset.listedCount()).isEqualTo(40 - 18);
    }

    @Test
    void usesOtherZonesWhenZoneIsLost() {
        List<EndpointEntry> endpoints = SubsetHarness.service("a", 40, 4);
        relay.commitFullList(endpoints);
        relay.commitChange(SubsetHarness.gone(
                endpoints.stream().filter(entry -> entry.zone() == 0).toList()));
        assertThat(relay.readyEndpoints()).hasSize(3);
        relay.commitChange(SubsetHarness.gone(
                endpoints.stream().filter(entry -> entry.zone() != 1).toList()));
        assertThat(relay.readyEndpoints()).hasSize(3);
        assertThat(countInZone(relay.readyEndpoints(), 1)).isEqualTo(3);
    }

    @Test
    void keepsDrainingEndpointsUntilTheyAreGone() {
        List<EndpointEntry> endpoints = SubsetHarness.service("a", 40, 4);
        relay.commitFullList(endpoints);
        Set<String> first = relay.readyEndpoints();
        relay.commitChange(withHealth(endpoints, first, Endpoint.Health.DRAINING));
        assertThat(relay.notifiedEndpoints).containsKeys(first.toArray(new String[0]));
        assertThat(relay.lastChange.entries())
                .extracting(EndpointEntry::health)
                .containsOnly(Endpoint.Health.READY, Endpoint.Health.DRAINING)
                .hasSize(6);
        relay.advance(10 * SETTLE_US);
        assertThat(relay.notifiedEndpoints).hasSize(6);
        relay.commitChange(withHealth(endpoints, first, Endpoint.Health.GONE));
        assertThat(relay.lastChange.entries()).hasSize(3);
        assertThat(relay.notifiedEndpoints).hasSize(3).doesNotContainKeys(first.toArray(new String[0]));
    }

    @Test
    void removesDisplacedEndpointAfterSettleTime() {
        relay.commitFullList(SubsetHarness.service("a", 40, 1));
        Set<String> first = relay.readyEndpoints();
        // Adds endpoints until one ranks higher than an endpoint of the first subset.
        String newcomer = null;
        for (int i = 0; newcomer == null; i++) {
            relay.commitChange(SubsetHarness.ready("new-" + i, "a", 0));
            newcomer = relay.notifiedEndpoints.containsKey("new-" + i) ? "new-" + i : null;
        }
        assertThat(relay.readyEndpoints()).hasSize(4).containsAll(first);
        relay.advance(SETTLE_US - 1);
        assertThat(relay.notifiedEndpoints).hasSize(4);
        relay.advance(1);
        assertThat(relay.readyEndpoints()).hasSize(3).contains(newcomer);
        assertThat(relay.lastChange.entries()).hasSize(1).allMatch(entry -> entry.health() == Endpoint.Health.GONE);
    }

    @Test
    void keepsSubsetDuringRollingRestartUnderSameNames() {
        List<EndpointEntry> endpoints = SubsetHarness.service("a", 40, 4);
        relay.commitFullList(endpoints);
        Set<String> first = relay.readyEndpoints();
        for (EndpointEntry entry : endpoints) {
            relay.commitChange(SubsetHarness.endpoint(entry.name(), "a", entry.zone(), Endpoint.Health.DRAINING));
            relay.commitChange(entry.asRemoved());
            relay.commitChange(new EndpointEntry(
                    entry.name(), "a", entry.address(), entry.zone(), 0, 0, 2, Endpoint.Health.READY, SECOND_US));
        }
        relay.advance(SETTLE_US);
        assertThat(relay.readyEndpoints()).isEqualTo(first);
        assertThat(relay.notifiedEndpoints.values()).allMatch(entry -> entry.build() == 2);
    }

    @Test
    void rejectsInvalidPolicy() {
        for (double fraction : new double[] {-0.1, 1.1, Double.NaN}) {
            assertThatThrownBy(() -> new EndpointSubset.Policy(1, 0, 1, 1, fraction, 0, 0))
                    .isInstanceOf(IllegalArgumentException.class)
                    .hasMessageContaining("fraction");
        }
        assertThatThrownBy(() -> SubsetHarness.policy(1, 0, 0, 1, 0, 0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> SubsetHarness.policy(1, 0, 1, 0, 0, 0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> SubsetHarness.policy(1, 0, 1, 1, -1, 0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> SubsetHarness.policy(1, 0, 1, 1, 0, -1))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("-1");
    }
}
