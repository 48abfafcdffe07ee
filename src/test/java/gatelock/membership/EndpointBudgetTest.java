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

/** How the bound and the fraction of a service are shared out among services and relays. */
final class EndpointBudgetTest {
    private static final long SECOND_US = 1_000_000;
    private static final long SETTLE_US = 5 * SECOND_US;

    /** A relay that aims at a quarter of a service and at least 5 endpoints, with a service of 81 and one of 12. */
    private static SubsetHarness relayOfLargeAndSmallService(int maxEndpoints) {
        SubsetHarness relay = new SubsetHarness(
                new EndpointSubset(new EndpointSubset.Policy(7, 0, maxEndpoints, 5, 0.25, 1, SETTLE_US)));
        List<EndpointEntry> endpoints = new ArrayList<>(SubsetHarness.service("large", 81, 3));
        endpoints.addAll(SubsetHarness.service("small", 12, 3));
        relay.fullList(endpoints);
        return relay;
    }

    @Test
    void sharesTheBoundEquallyAndCountsServicesWithoutAPlace() {
        SubsetHarness relay = new SubsetHarness(new EndpointSubset(SubsetHarness.terms(7, 0, 20, 5, 1, SETTLE_US)));
        List<EndpointEntry> endpoints = new ArrayList<>();
        IntStream.range(0, 8).forEach(s -> endpoints.addAll(SubsetHarness.service("s" + s, s == 0 ? 1 : 20, 4)));
        relay.fullList(endpoints);
        assertThat(relay.subset.targetPerService()).isEqualTo(2);
        assertThat(relay.readyEndpoints("s0")).hasSize(1);
        IntStream.range(1, 8)
                .forEach(s -> assertThat(relay.readyEndpoints("s" + s)).hasSize(2));
        assertThat(relay.subset.servicesWithoutPlace()).isZero();
        IntStream.range(8, 30).forEach(s -> relay.change(SubsetHarness.service("s" + s, 20, 4)));
        assertThat(relay.subset.targetPerService()).isZero();
        assertThat(relay.subset.subsetSize()).isEqualTo(20);
        assertThat(relay.subset.servicesWithoutPlace()).isEqualTo(10);
        // Services without a place are given one as others leave.
        Set<String> servicesWithPlace = new TreeSet<>();
        relay.notified.values().forEach(entry -> servicesWithPlace.add(entry.service()));
        assertThat(servicesWithPlace).hasSize(20);
        servicesWithPlace.stream()
                .limit(4)
                .forEach(service -> relay.change(SubsetHarness.gone(SubsetHarness.service(service, 20, 4))));
        assertThat(relay.subset.servicesWithoutPlace()).isEqualTo(6);
        assertThat(relay.subset.subsetSize()).isEqualTo(20);
    }

    @Test
    void raisesTheLimitOnlyAfterTheSettleTime() {
        SubsetHarness relay = new SubsetHarness(new EndpointSubset(SubsetHarness.terms(7, 0, 20, 5, 1, SETTLE_US)));
        IntStream.range(0, 8).forEach(s -> relay.change(SubsetHarness.service("s" + s, 20, 4)));
        assertThat(relay.subset.targetPerService()).isEqualTo(2);
        relay.change(SubsetHarness.gone(SubsetHarness.service("s0", 20, 4)));
        relay.change(SubsetHarness.gone(SubsetHarness.service("s1", 20, 4)));
        assertThat(relay.subset.targetPerService()).isEqualTo(2);
        relay.advance(SETTLE_US - 1);
        assertThat(relay.subset.targetPerService()).isEqualTo(2);
        relay.advance(1);
        assertThat(relay.subset.targetPerService()).isEqualTo(3);
        relay.change(SubsetHarness.service("s0", 20, 4));
        assertThat(relay.subset.targetPerService()).isEqualTo(2);
    }

    /** In a fleet of few relays each uses a larger fraction of a service, so that no endpoint is idle. */
    @Test
    void usesAFractionOfALargeServiceAndTheMinimumOfASmallOne() {
        SubsetHarness relay = relayOfLargeAndSmallService(100);
        assertThat(relay.readyEndpoints("large")).hasSize(21);
        assertThat(relay.readyEndpoints("small")).hasSize(5);
        // The number follows the size of the service; surplus endpoints leave after the settle time.
        relay.change(SubsetHarness.gone(SubsetHarness.service("large", 81, 3).subList(40, 81)));
        relay.advance(SETTLE_US);
        assertThat(relay.readyEndpoints("large")).hasSize(10);
    }

    @Test
    void boundReducesLargeServicesFirst() {
        SubsetHarness relay = relayOfLargeAndSmallService(20);
        assertThat(relay.subset.subsetSize()).isLessThanOrEqualTo(20);
        assertThat(relay.readyEndpoints("small")).hasSize(5);
        assertThat(relay.readyEndpoints("large")).hasSizeBetween(5, 15);
        assertThat(relay.subset.targetPerService()).isEqualTo(5);
    }

    /**
     * Rule 4: the budget of an endpoint that is warming up is, at each relay, {@code times} the relay's work divided by
     * the endpoints in its subset. Over all relays that use the endpoint the sum is at most {@code times} the mean
     * endpoint's work, multiplied by the number of its holders over the mean number; also where subsets have unequal
     * sizes.
     */
    @Test
    void warmUpBudgetsOfAllRelaysAddUpToTheMeanWorkTimesTheUnevennessOfHolders() {
        int relays = 600;
        int endpoints = 28;
        List<EndpointEntry> list = SubsetHarness.service("a", endpoints, 1);
        Map<String, Double> shares = new TreeMap<>();
        Map<String, Integer> holders = new TreeMap<>();
        int connections = 0;
        for (int number = 0; number < relays; number++) {
            SubsetHarness relay = new SubsetHarness(
                    new EndpointSubset(SubsetHarness.terms(number, -1, 100, number % 2 == 0 ? 5 : 8, 0, SETTLE_US)));
            relay.fullList(list);
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
        // Five standard deviations of a binomial distribution, as the ranking is by independent hashes.
        double meanSubset = 6.5;
        double bound = 1 + 5 * Math.sqrt((1 - meanSubset / endpoints) / meanHolders);
        assertThat(holderUnevenness).isLessThan(bound);
        assertThat(shareUnevenness).isLessThan(bound * 8 / meanSubset);
    }
}
