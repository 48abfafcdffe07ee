package gatelock.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests how the maximum number of endpoints and the fraction per service determine the endpoints of each service. */
final class EndpointBudgetTest {
    private static final long SECOND_US = 1_000_000;
    private static final long SETTLE_US = 5 * SECOND_US;

    /**
     * Returns a relay whose policy is a quarter of each service and at least 5 endpoints, with a service of 81 endpoints
     * and one of 12.
     */
    private static SubsetHarness relayWithLargeAndSmallService(int maxEndpoints) {
        SubsetHarness relay = new SubsetHarness(
                new EndpointSubset(new EndpointSubset.Policy(7, 0, maxEndpoints, 5, 0.25, 1, SETTLE_US)));
        List<EndpointEntry> endpoints = new ArrayList<>(SubsetHarness.service("large", 81, 3));
        endpoints.addAll(SubsetHarness.service("small", 12, 3));
        relay.commitFullList(endpoints);
        return relay;
    }

    @Test
    void sharesMaxEndpointsEquallyAndCountsServicesWithoutPlace() {
        SubsetHarness relay = new SubsetHarness(new EndpointSubset(SubsetHarness.policy(7, 0, 20, 5, 1, SETTLE_US)));
        List<EndpointEntry> endpoints = new ArrayList<>();
        IntStream.range(0, 8).forEach(s -> endpoints.addAll(SubsetHarness.service("s" + s, s == 0 ? 1 : 20, 4)));
        relay.commitFullList(endpoints);
        assertThat(relay.subset.targetPerService()).isEqualTo(2);
        assertThat(relay.readyEndpoints("s0")).hasSize(1);
        IntStream.range(1, 8)
                .forEach(s -> assertThat(relay.readyEndpoints("s" + s)).hasSize(2));
        assertThat(relay.subset.servicesWithoutSlot()).isZero();
        IntStream.range(8, 30).forEach(s -> relay.commitChange(SubsetHarness.service("s" + s, 20, 4)));
        assertThat(relay.subset.targetPerService()).isZero();
        assertThat(relay.subset.subsetSize()).isEqualTo(20);
        assertThat(relay.subset.servicesWithoutSlot()).isEqualTo(10);
        // Services without an endpoint in the subset get one when other services are removed.
        Set<String> servicesWithPlace = new TreeSet<>();
        relay.notifiedEndpoints.values().forEach(entry -> servicesWithPlace.add(entry.service()));
        assertThat(servicesWithPlace).hasSize(20);
        servicesWithPlace.stream()
                .limit(4)
                .forEach(service -> relay.commitChange(SubsetHarness.gone(SubsetHarness.service(service, 20, 4))));
        assertThat(relay.subset.servicesWithoutSlot()).isEqualTo(6);
        assertThat(relay.subset.subsetSize()).isEqualTo(20);
    }

    @Test
    void raisesTargetPerServiceOnlyAfterSettleTime() {
        SubsetHarness relay = new SubsetHarness(new EndpointSubset(SubsetHarness.policy(7, 0, 20, 5, 1, SETTLE_US)));
        IntStream.range(0, 8).forEach(s -> relay.commitChange(SubsetHarness.service("s" + s, 20, 4)));
        assertThat(relay.subset.targetPerService()).isEqualTo(2);
        relay.commitChange(SubsetHarness.gone(SubsetHarness.service("s0", 20, 4)));
        relay.commitChange(SubsetHarness.gone(SubsetHarness.service("s1", 20, 4)));
        assertThat(relay.subset.targetPerService()).isEqualTo(2);
        relay.advance(SETTLE_US - 1);
        assertThat(relay.subset.targetPerService()).isEqualTo(2);
        relay.advance(1);
        assertThat(relay.subset.targetPerService()).isEqualTo(3);
        relay.commitChange(SubsetHarness.service("s0", 20, 4));
        assertThat(relay.subset.targetPerService()).isEqualTo(2);
    }

    /** The fraction exists for fleets of few relays, in which endpoints would be idle if each relay used only a minimum. */
    @Test
    void usesFractionOfLargeServiceAndMinimumOfSmallService() {
        SubsetHarness relay = relayWithLargeAndSmallService(100);
        assertThat(relay.readyEndpoints("large")).hasSize(21);
        assertThat(relay.readyEndpoints("small")).hasSize(5);
        // The target shrinks with the service; surplus endpoints are removed after the settle time.
        relay.commitChange(
                SubsetHarness.gone(SubsetHarness.service("large", 81, 3).subList(40, 81)));
        relay.advance(SETTLE_US);
        assertThat(relay.readyEndpoints("large")).hasSize(10);
    }

    @Test
    void reducesLargeServicesFirstWhenMaxEndpointsIsReached() {
        SubsetHarness relay = relayWithLargeAndSmallService(20);
        assertThat(relay.subset.subsetSize()).isLessThanOrEqualTo(20);
        assertThat(relay.readyEndpoints("small")).hasSize(5);
        assertThat(relay.readyEndpoints("large")).hasSizeBetween(5, 15);
        assertThat(relay.subset.targetPerService()).isEqualTo(5);
    }

    /**
     * Rule 4: at each relay, the budget of an endpoint that is warming up is {@code times} the relay's work divided by the
     * number of endpoints in its subset. Summed over all relays that use the endpoint (its holders), the budget must be at
     * most {@code times} the work of a mean endpoint, multiplied by the number of its holders over the mean number of
     * holders. This must also hold if the sizes of the subsets differ.
     */
    @Test
    void boundsSumOfWarmUpBudgetsByUnevennessOfHolders() {
        int relays = 600;
        int endpoints = 28;
        List<EndpointEntry> list = SubsetHarness.service("a", endpoints, 1);
        Map<String, Double> shares = new TreeMap<>();
        Map<String, Integer> holders = new TreeMap<>();
        int connections = 0;
        for (int number = 0; number < relays; number++) {
            SubsetHarness relay = new SubsetHarness(
                    new EndpointSubset(SubsetHarness.policy(number, -1, 100, number % 2 == 0 ? 5 : 8, 0, SETTLE_US)));
            relay.commitFullList(list);
            Set<String> subset = relay.readyEndpoints();
            for (String endpoint : subset) {
                shares.merge(endpoint, 1.0 / subset.size(), Double::sum);
                holders.merge(endpoint, 1, Integer::sum);
                connections++;
            }
        }
        double meanShare = relays / (double) endpoints;
        double meanHolders = connections / (double) endpoints;
        double shareUnevenness = Collections.max(shares.values()) / meanShare;
        double holderUnevenness = Collections.max(holders.values()) / meanHolders;
        assertThat(shares).hasSize(endpoints);
        assertThat(shares.values().stream().mapToDouble(share -> share).sum()).isBetween(relays - 1e-6, relays + 1e-6);
        // Five standard deviations of a binomial distribution, because the rankings use independent hashes.
        double meanSubset = 6.5;
        double bound = 1 + 5 * Math.sqrt((1 - meanSubset / endpoints) / meanHolders);
        assertThat(holderUnevenness).isLessThan(bound);
        assertThat(shareUnevenness).isLessThan(bound * 8 / meanSubset);
    }
}
