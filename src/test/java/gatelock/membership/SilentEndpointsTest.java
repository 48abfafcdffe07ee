package gatelock.membership;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.Endpoint;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Tests that the subset grows when endpoints do not answer and shrinks after they answer again. */
final class SilentEndpointsTest {
    private static final long SECOND_US = 1_000_000;
    private static final long REFRESH_US = 250_000;
    private static final long SETTLE_US = 5 * SECOND_US;

    private final SubsetHarness relay =
            new SubsetHarness(new EndpointSubset(SubsetHarness.policy(7, 0, 100, 3, 1, SETTLE_US)));

    private void failAttempts(Set<String> endpoints, int attempts) {
        for (int i = 0; i < attempts; i++) {
            endpoints.forEach(name -> relay.recordAttempt(name, false));
        }
        relay.advance(REFRESH_US);
    }

    @Test
    void growsWhileEndpointsAreSilentAndShrinksAfterSettleTime() {
        relay.commitFullList(SubsetHarness.service("a", 40, 4));
        Set<String> first = relay.readyEndpoints();
        failAttempts(first, 1);
        assertThat(relay.readyEndpoints())
                .as("unchanged after a single failed attempt")
                .isEqualTo(first);
        failAttempts(first, 1);
        assertThat(relay.readyEndpoints()).hasSize(6).containsAll(first);
        first.forEach(name -> relay.recordAttempt(name, true));
        relay.advance(REFRESH_US);
        relay.advance(SETTLE_US - REFRESH_US);
        assertThat(relay.readyEndpoints())
                .as("unchanged before the settle time has passed")
                .hasSize(6);
        relay.advance(REFRESH_US);
        assertThat(relay.readyEndpoints()).isEqualTo(first);
    }

    @Test
    void keepsSubsetWhenEndpointsFlapWithinSettleTime() {
        relay.commitFullList(SubsetHarness.service("a", 40, 4));
        Set<String> first = relay.readyEndpoints();
        failAttempts(first, 2);
        Set<String> grown = relay.readyEndpoints();
        int notifiedBefore = relay.notifiedEntryCount;
        for (int i = 0; i < 50; i++) {
            first.forEach(name -> relay.recordAttempt(name, true));
            relay.advance(SETTLE_US / 2);
            failAttempts(first, 2);
        }
        assertThat(relay.readyEndpoints()).isEqualTo(grown);
        assertThat(relay.notifiedEntryCount).isEqualTo(notifiedBefore);
    }

    @Test
    void findsOnlyEndpointOfServiceThatAnswers() {
        relay.commitFullList(SubsetHarness.service("a", 2_000, 4));
        int rounds = 0;
        for (; relay.readyEndpoints().stream().noneMatch("a-1234"::equals) && rounds < 1_000; rounds++) {
            failAttempts(relay.readyEndpoints(), 2);
            assertThat(relay.subset.subsetSize()).isLessThanOrEqualTo(100);
        }
        assertThat(relay.readyEndpoints()).contains("a-1234");
        assertThat(rounds).isLessThan(250);
        relay.recordAttempt("a-1234", true);
        Set<String> others = relay.readyEndpoints();
        others.remove("a-1234");
        for (int i = 0; i < 400; i++) {
            failAttempts(others, 2);
            others = relay.readyEndpoints();
            others.remove("a-1234");
        }
        assertThat(relay.readyEndpoints()).contains("a-1234");
    }

    @Test
    void usesOtherZonesWhenOwnZoneIsSilent() {
        List<EndpointEntry> endpoints = SubsetHarness.service("a", 400, 4);
        relay.commitFullList(endpoints);
        for (int i = 0; i < 3; i++) {
            failAttempts(
                    relay.readyEndpoints().stream()
                            .filter(name -> relay.notifiedEndpoints.get(name).zone() == 0)
                            .collect(Collectors.toSet()),
                    2);
        }
        Set<String> remote = relay.readyEndpoints();
        remote.removeIf(name -> relay.notifiedEndpoints.get(name).zone() == 0);
        assertThat(remote).hasSizeGreaterThanOrEqualTo(3);
    }

    @Test
    void notifiesOfRestartedEndpointAndClearsItsSilence() {
        relay.commitFullList(SubsetHarness.service("a", 40, 4));
        Set<String> first = relay.readyEndpoints();
        String endpoint = first.iterator().next();
        failAttempts(Set.of(endpoint), 2);
        assertThat(relay.readyEndpoints()).hasSize(4);
        EndpointEntry restarted = new EndpointEntry(
                endpoint,
                "a",
                "10.0.0.1:80",
                relay.notifiedEndpoints.get(endpoint).zone(),
                0,
                0,
                2,
                Endpoint.Health.READY,
                5 * SECOND_US);
        relay.commitChange(restarted);
        assertThat(relay.lastChange.entries()).containsExactly(restarted);
        relay.advance(SETTLE_US);
        relay.advance(REFRESH_US);
        assertThat(relay.readyEndpoints()).isEqualTo(first);
    }

    /**
     * Guards against a service that stays unreachable: all endpoints of a are silent, one is evicted when b needs another
     * endpoint, and the evicted endpoint answers again while it is outside the subset.
     */
    @Test
    void retriesEndpointEvictedForAnotherServiceWhenAllAreSilent() {
        SubsetHarness relay = new SubsetHarness(new EndpointSubset(SubsetHarness.policy(7, 0, 3, 1, 0, SETTLE_US)));
        List<EndpointEntry> endpoints = new ArrayList<>(SubsetHarness.service("a", 2, 1));
        endpoints.addAll(SubsetHarness.service("b", 2, 1));
        relay.commitFullList(endpoints);
        Set<String> silent = new TreeSet<>(relay.readyEndpoints("a"));
        for (int round = 0; round < 8; round++) {
            relay.recordAttemptAtEachEndpoint(silent);
            relay.advance(REFRESH_US);
            silent.addAll(relay.readyEndpoints("a"));
        }
        assertThat(relay.readyEndpoints("a"))
                .as("both endpoints of a are in the subset")
                .hasSize(2);
        silent.addAll(relay.readyEndpoints("b"));
        for (int round = 0; round < 60 && relay.readyEndpoints("a").size() == 2; round++) {
            relay.recordAttemptAtEachEndpoint(silent);
            relay.advance(REFRESH_US);
        }
        assertThat(relay.readyEndpoints("a"))
                .as("one endpoint of a was evicted for b")
                .hasSize(1);
        silent.removeIf(
                name -> name.startsWith("a") && !relay.readyEndpoints("a").contains(name));
        for (int round = 0; round < 8; round++) {
            relay.recordAttemptAtEachEndpoint(silent);
            relay.advance(REFRESH_US);
        }
        assertThat(relay.readyEndpoints("a")).anyMatch(name -> !silent.contains(name));
        assertThat(relay.readyEndpoints("b")).anyMatch(name -> !silent.contains(name));
    }

    /**
     * Guards against a service that stays unreachable: all endpoints of a are silent, one is removed after the settle time,
     * and the removed endpoint answers again while it is outside the subset.
     */
    @Test
    void retriesEndpointRemovedAfterSettleTimeWhenAllAreSilent() {
        SubsetHarness relay = new SubsetHarness(new EndpointSubset(SubsetHarness.policy(7, 0, 8, 1, 0, SETTLE_US)));
        relay.commitFullList(SubsetHarness.service("a", 2, 1));
        Set<String> silent = new TreeSet<>(Set.of("a-0", "a-1"));
        for (int round = 0; round < 8; round++) {
            relay.readyEndpoints().forEach(name -> relay.recordAttempt(name, false));
            relay.advance(REFRESH_US);
        }
        relay.advance(SETTLE_US);
        relay.advance(SETTLE_US);
        Set<String> removed = new TreeSet<>(silent);
        removed.removeAll(relay.readyEndpoints("a"));
        silent.removeAll(removed.isEmpty() ? Set.of("a-1") : removed);
        for (int round = 0; round < 60; round++) {
            relay.recordAttemptAtEachEndpoint(silent);
            relay.advance(REFRESH_US);
        }
        assertThat(relay.readyEndpoints("a")).anyMatch(name -> !silent.contains(name));
    }
}
