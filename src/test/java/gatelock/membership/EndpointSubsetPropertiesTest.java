package gatelock.membership;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.Endpoint;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Checks invariants of a subset during random sequences of full lists, changes, silent endpoints and elapsed time. */
final class EndpointSubsetPropertiesTest {
    private static final long REFRESH_US = 250_000;
    private static final int ENDPOINTS = 40;
    private static final int SERVICES = 5;
    private static final List<Endpoint.Health> HEALTH = List.of(Endpoint.Health.values());

    private final Map<String, EndpointEntry> listedEndpoints = new TreeMap<>();
    private final Set<String> silentEndpoints = new HashSet<>();
    private RandomGenerator random;
    private EndpointSubset.Policy policy;
    private SubsetHarness relay;

    private void start(long seed, boolean spaceForAll, boolean colliding) {
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        int minPerService = 1 + random.nextInt(4);
        int maxEndpoints = spaceForAll ? ENDPOINTS * 2 : 1 + random.nextInt(2 * SERVICES);
        double fraction = Math.max(0, random.nextInt(5) - 1) / 3.0;
        policy = new EndpointSubset.Policy(
                random.nextInt(5_700),
                random.nextInt(4) - 1,
                maxEndpoints,
                minPerService,
                fraction,
                random.nextInt(3),
                random.nextInt(3_000_000));
        relay = new SubsetHarness(newSubset(colliding));
        listedEndpoints.clear();
        silentEndpoints.clear();
    }

    private EndpointSubset newSubset(boolean colliding) {
        return new EndpointSubset(
                policy,
                colliding
                        ? new CollidingRanking(policy.relayNumber(), 3)
                        : new RendezvousRanking(policy.relayNumber()));
    }

    private EndpointEntry randomEntry() {
        int n = random.nextInt(ENDPOINTS);
        Endpoint.Health health = random.nextInt(4) > 0 ? Endpoint.Health.READY : HEALTH.get(random.nextInt(3));
        String service = "s" + (random.nextInt(20) > 0 ? n % SERVICES : random.nextInt(SERVICES));
        return new EndpointEntry(
                "u" + n,
                service,
                "10.0.0." + n + ":80",
                random.nextInt(20) > 0 ? n % 3 : random.nextInt(3),
                n % 2,
                0,
                1 + random.nextInt(2),
                health,
                random.nextInt(3) * 1000L);
    }

    private void updateListedEndpoints(EndpointEntry entry) {
        if (entry.health() == Endpoint.Health.GONE) {
            listedEndpoints.remove(entry.name());
        } else {
            listedEndpoints.put(entry.name(), entry);
        }
    }

    private void commitRandomFullList() {
        Map<String, EndpointEntry> entries = new TreeMap<>();
        for (int n = random.nextInt(2 * ENDPOINTS); n > 0; n--) {
            EndpointEntry entry = randomEntry();
            entries.put(entry.name(), entry);
        }
        listedEndpoints.clear();
        entries.values().forEach(this::updateListedEndpoints);
        relay.commitFullList(entries.values());
        assertThat(relay.lastChange.full()).isTrue();
    }

    private void commitRandomChange() {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int n = 1 + random.nextInt(6); n > 0; n--) {
            entries.add(randomEntry());
        }
        if (random.nextInt(10) == 0) {
            // Removes or drains many endpoints at once; the zone or service to lose is drawn anew for each listed
            // entry.
            Predicate<EndpointEntry> isLost = random.nextBoolean()
                    ? entry -> entry.zone() == random.nextInt(3)
                    : entry -> entry.service().equals("s" + random.nextInt(SERVICES));
            listedEndpoints.values().stream()
                    .filter(isLost)
                    .forEach(entry -> entries.add(
                            random.nextBoolean()
                                    ? entry.asRemoved()
                                    : SubsetHarness.endpoint(
                                            entry.name(), entry.service(), entry.zone(), Endpoint.Health.DRAINING)));
        }
        entries.forEach(this::updateListedEndpoints);
        relay.commitChange(entries);
        assertThat(relay.lastChange.full()).isFalse();
    }

    private void dropRandomUpdate() {
        int before = relay.subset.listedCount();
        EndpointSubset.ListUpdate update = relay.subset.beginUpdate(random.nextBoolean());
        Set<String> names = new HashSet<>();
        for (int n = random.nextInt(ENDPOINTS); n > 0; n--) {
            EndpointEntry entry = randomEntry();
            if (names.add(entry.name())) {
                update.add(entry);
            }
        }
        assertThat(relay.subset.listedCount()).isEqualTo(before);
    }

    private void recordRandomAttempts() {
        for (String endpoint : relay.readyEndpoints()) {
            if (random.nextInt(3) > 0) {
                relay.recordAttempt(endpoint, !silentEndpoints.contains(endpoint));
            }
        }
    }

    private void runRandomStep() {
        switch (random.nextInt(8)) {
            case 0 -> commitRandomFullList();
            case 1, 2, 3 -> commitRandomChange();
            case 4 -> dropRandomUpdate();
            case 5 -> {
                silentEndpoints.clear();
                random.ints(random.nextInt(ENDPOINTS), 0, ENDPOINTS).forEach(n -> silentEndpoints.add("u" + n));
            }
            case 6 -> recordRandomAttempts();
            default -> relay.advance(random.nextInt(1_500_000));
        }
    }

    private Map<String, Set<String>> readyByService(Collection<EndpointEntry> entries) {
        return entries.stream()
                .filter(entry -> entry.health() == Endpoint.Health.READY)
                .collect(Collectors.groupingBy(
                        EndpointEntry::service,
                        TreeMap::new,
                        Collectors.mapping(EndpointEntry::name, Collectors.toCollection(TreeSet::new))));
    }

    private void checkInvariants() {
        assertThat(relay.subset.listedCount()).isEqualTo(listedEndpoints.size());
        assertThat(relay.subset.serviceCount()).isEqualTo((int) listedEndpoints.values().stream()
                .map(EndpointEntry::service)
                .distinct()
                .count());
        assertThat(relay.subset.subsetSize())
                .isEqualTo(relay.notifiedEndpoints.size())
                .isLessThanOrEqualTo(policy.maxEndpoints());
        // Changes of endpoints in the subset are notified at once, so known entries equal the listed ones.
        relay.notifiedEndpoints.forEach((name, entry) -> assertThat(entry).isEqualTo(listedEndpoints.get(name)));
        Map<String, Set<String>> listed = readyByService(listedEndpoints.values());
        Map<String, Set<String>> used = readyByService(relay.notifiedEndpoints.values());
        int servicesWithoutMember = 0;
        for (String service : listed.keySet()) {
            int members = used.getOrDefault(service, Set.of()).size();
            int ready = listed.get(service).size();
            // If maxEndpoints allows all endpoints, each service has the full target of the policy.
            int minMembers = Math.min(
                    ready, policy.maxEndpoints() >= ENDPOINTS ? policy.target(ready) : relay.subset.targetPerService());
            servicesWithoutMember += members == 0 ? 1 : 0;
            assertThat(members).as("enough endpoints of service " + service).isGreaterThanOrEqualTo(minMembers);
        }
        int servicesWithoutPlace = Math.max(0, listed.size() - policy.maxEndpoints());
        assertThat(servicesWithoutMember).isEqualTo(servicesWithoutPlace);
        assertThat(relay.subset.servicesWithoutSlot()).isEqualTo(servicesWithoutPlace);
    }

    @Property(tries = 400)
    void matchesListWithinBoundAndServesEveryServiceAfterEachStep(
            @ForAll long seed, @ForAll boolean spaceForAll, @ForAll boolean colliding) {
        start(seed, spaceForAll, colliding);
        for (int i = 0; i < 120; i++) {
            runRandomStep();
            checkInvariants();
        }
    }

    /** Lets all endpoints answer and advances the clock until surplus endpoints are removed. */
    private void recoverAllEndpoints() {
        silentEndpoints.clear();
        for (int i = 0; i < 3; i++) {
            relay.recordAttemptAtEachEndpoint(Set.of());
            relay.advance(policy.settleUs() + REFRESH_US);
            checkInvariants();
        }
    }

    @Property(tries = 400)
    void returnsToSubsetOfNewRelayAfterRecovery(@ForAll long seed, @ForAll boolean colliding) {
        start(seed, true, colliding);
        for (int i = 0; i < 80; i++) {
            runRandomStep();
        }
        recoverAllEndpoints();
        SubsetHarness other = new SubsetHarness(newSubset(colliding));
        other.commitFullList(listedEndpoints.values());
        assertThat(relay.readyEndpoints()).isEqualTo(other.readyEndpoints());
        int notifiedBefore = relay.notifiedEntryCount;
        for (int i = 0; i < 20; i++) {
            relay.recordAttemptAtEachEndpoint(Set.of());
            relay.advance(REFRESH_US);
        }
        assertThat(relay.notifiedEntryCount)
                .as("number of notified entries, unchanged while nothing happens")
                .isEqualTo(notifiedBefore);
    }

    @Property(tries = 300)
    void findsAnsweringEndpointOfEachServiceAndThenStaysStable(@ForAll long seed, @ForAll boolean spaceForAll) {
        start(seed, spaceForAll, false);
        for (int i = 0; i < 40; i++) {
            runRandomStep();
        }
        silentEndpoints.clear();
        Map<String, Set<String>> ready = readyByService(listedEndpoints.values());
        ready.values().forEach(readyOfService -> {
            List<String> names = new ArrayList<>(readyOfService);
            String answering = names.get(random.nextInt(names.size()));
            names.stream().filter(name -> !name.equals(answering)).forEach(silentEndpoints::add);
        });
        if (ready.size() > policy.maxEndpoints()) {
            return;
        }
        for (int i = 0; i < 2 * ENDPOINTS; i++) {
            relay.recordAttemptAtEachEndpoint(silentEndpoints);
            relay.advance(REFRESH_US);
            checkInvariants();
        }
        ready.forEach((service, readyOfService) -> assertThat(relay.readyEndpoints(service))
                .as(service)
                .anyMatch(name -> !silentEndpoints.contains(name)));
        if (spaceForAll) {
            relay.advance(2 * policy.settleUs());
            relay.advance(REFRESH_US);
            int notifiedBefore = relay.notifiedEntryCount;
            for (int i = 0; i < 40; i++) {
                relay.recordAttemptAtEachEndpoint(silentEndpoints);
                relay.advance(REFRESH_US);
            }
            assertThat(relay.notifiedEntryCount)
                    .as("number of notified entries, unchanged while the same endpoints stay silent")
                    .isEqualTo(notifiedBefore);
        }
    }

    @Property(tries = 200)
    void changesAtMostOneMemberWhenOneEndpointIsAddedOrRemoved(@ForAll long seed) {
        start(seed, true, false);
        policy = SubsetHarness.policy(policy.relayNumber(), -1, policy.maxEndpoints(), policy.minPerService(), 0, 0);
        relay = new SubsetHarness(newSubset(false));
        for (int i = 0; i < ENDPOINTS; i++) {
            EndpointEntry entry = SubsetHarness.ready("u" + i, "s", i % 3);
            listedEndpoints.put(entry.name(), entry);
        }
        relay.commitFullList(listedEndpoints.values());
        for (int i = 0; i < 60; i++) {
            Set<String> before = relay.readyEndpoints();
            String endpoint = "u" + random.nextInt(ENDPOINTS);
            boolean isListed = listedEndpoints.containsKey(endpoint);
            EndpointEntry entry = SubsetHarness.ready(endpoint, "s", 0);
            updateListedEndpoints(isListed ? entry.asRemoved() : entry);
            relay.commitChange(isListed ? entry.asRemoved() : entry);
            relay.advance(REFRESH_US);
            Set<String> after = relay.readyEndpoints();
            Set<String> added = new TreeSet<>(after);
            added.removeAll(before);
            if (isListed) {
                assertThat(added.size()).isEqualTo(before.contains(endpoint) ? 1 : 0);
            } else {
                assertThat(added).isSubsetOf(Set.of(endpoint));
            }
        }
    }
}
