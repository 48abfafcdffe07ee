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

/** What must hold of a subset whatever the sequence of lists, changes, silent endpoints and time. */
final class EndpointSubsetPropertiesTest {
    private static final long REFRESH_US = 250_000;
    private static final int ENDPOINTS = 40;
    private static final int SERVICES = 5;
    private static final List<Endpoint.Health> HEALTH = List.of(Endpoint.Health.values());

    private final Map<String, EndpointEntry> list = new TreeMap<>();
    private final Set<String> silent = new HashSet<>();
    private RandomGenerator random;
    private EndpointSubset.Policy terms;
    private SubsetHarness relay;

    private void start(long seed, boolean roomy, boolean colliding) {
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        int perService = 1 + random.nextInt(4);
        int most = roomy ? ENDPOINTS * 2 : 1 + random.nextInt(2 * SERVICES);
        double part = Math.max(0, random.nextInt(5) - 1) / 3.0;
        terms = new EndpointSubset.Policy(
                random.nextInt(5_700),
                random.nextInt(4) - 1,
                most,
                perService,
                part,
                random.nextInt(3),
                random.nextInt(3_000_000));
        relay = new SubsetHarness(newSubset(colliding));
        list.clear();
        silent.clear();
    }

    private EndpointSubset newSubset(boolean colliding) {
        return new EndpointSubset(
                terms,
                colliding ? new CollidingRanking(terms.relayNumber(), 3) : new RendezvousRanking(terms.relayNumber()));
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

    private void noteListed(EndpointEntry entry) {
        if (entry.health() == Endpoint.Health.GONE) {
            list.remove(entry.name());
        } else {
            list.put(entry.name(), entry);
        }
    }

    private void playFullList() {
        Map<String, EndpointEntry> entries = new TreeMap<>();
        for (int n = random.nextInt(2 * ENDPOINTS); n > 0; n--) {
            EndpointEntry entry = randomEntry();
            entries.put(entry.name(), entry);
        }
        list.clear();
        entries.values().forEach(this::noteListed);
        relay.fullList(entries.values());
        assertThat(relay.lastChange.full()).isTrue();
    }

    private void playChange() {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int n = 1 + random.nextInt(6); n > 0; n--) {
            entries.add(randomEntry());
        }
        if (random.nextInt(10) == 0) {
            // All endpoints of a zone or a service at once.
            Predicate<EndpointEntry> lost = random.nextBoolean()
                    ? entry -> entry.zone() == random.nextInt(3)
                    : entry -> entry.service().equals("s" + random.nextInt(SERVICES));
            list.values().stream()
                    .filter(lost)
                    .forEach(entry -> entries.add(
                            random.nextBoolean()
                                    ? entry.gone()
                                    : SubsetHarness.endpoint(
                                            entry.name(), entry.service(), entry.zone(), Endpoint.Health.DRAINING)));
        }
        entries.forEach(this::noteListed);
        relay.change(entries);
        assertThat(relay.lastChange.full()).isFalse();
    }

    private void playDroppedReading() {
        int before = relay.subset.listedCount();
        EndpointSubset.ListUpdate reading = relay.subset.beginUpdate(random.nextBoolean());
        Set<String> names = new HashSet<>();
        for (int n = random.nextInt(ENDPOINTS); n > 0; n--) {
            EndpointEntry entry = randomEntry();
            if (names.add(entry.name())) {
                reading.add(entry);
            }
        }
        assertThat(relay.subset.listedCount()).isEqualTo(before);
    }

    private void playAttempts() {
        for (String endpoint : relay.readyEndpoints()) {
            if (random.nextInt(3) > 0) {
                relay.attemptEnded(endpoint, !silent.contains(endpoint));
            }
        }
    }

    private void playStep() {
        switch (random.nextInt(8)) {
            case 0 -> playFullList();
            case 1, 2, 3 -> playChange();
            case 4 -> playDroppedReading();
            case 5 -> {
                silent.clear();
                random.ints(random.nextInt(ENDPOINTS), 0, ENDPOINTS).forEach(n -> silent.add("u" + n));
            }
            case 6 -> playAttempts();
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
        assertThat(relay.subset.listedCount()).isEqualTo(list.size());
        assertThat(relay.subset.serviceCount()).isEqualTo((int)
                list.values().stream().map(EndpointEntry::service).distinct().count());
        assertThat(relay.subset.subsetSize())
                .isEqualTo(relay.notified.size())
                .isLessThanOrEqualTo(terms.maxEndpoints());
        // The decisions know what is listed: changes of members are notified at once.
        relay.notified.forEach((name, entry) -> assertThat(entry).isEqualTo(list.get(name)));
        Map<String, Set<String>> listed = readyByService(list.values());
        Map<String, Set<String>> used = readyByService(relay.notified.values());
        int withoutMember = 0;
        for (String service : listed.keySet()) {
            int members = used.getOrDefault(service, Set.of()).size();
            int ready = listed.get(service).size();
            // Where there are places for all that is listed, a service has all that the terms say.
            int wanted = Math.min(
                    ready, terms.maxEndpoints() >= ENDPOINTS ? terms.target(ready) : relay.subset.targetPerService());
            withoutMember += members == 0 ? 1 : 0;
            assertThat(members).as("endpoints of " + service).isGreaterThanOrEqualTo(wanted);
        }
        int withoutPlace = Math.max(0, listed.size() - terms.maxEndpoints());
        assertThat(withoutMember).isEqualTo(withoutPlace);
        assertThat(relay.subset.servicesWithoutPlace()).isEqualTo(withoutPlace);
    }

    @Property(tries = 400)
    void subsetAgreesWithTheListStaysWithinTheBoundAndServesEveryService(
            @ForAll long seed, @ForAll boolean roomy, @ForAll boolean colliding) {
        start(seed, roomy, colliding);
        for (int i = 0; i < 120; i++) {
            playStep();
            checkInvariants();
        }
    }

    /** All endpoints answer again and time passes. */
    private void recover() {
        silent.clear();
        for (int i = 0; i < 3; i++) {
            relay.attemptAll(Set.of());
            relay.advance(terms.settleUs() + REFRESH_US);
            checkInvariants();
        }
    }

    @Property(tries = 400)
    void recoversToTheSubsetOfANewRelay(@ForAll long seed, @ForAll boolean colliding) {
        start(seed, true, colliding);
        for (int i = 0; i < 80; i++) {
            playStep();
        }
        recover();
        SubsetHarness other = new SubsetHarness(newSubset(colliding));
        other.fullList(list.values());
        assertThat(relay.readyEndpoints()).isEqualTo(other.readyEndpoints());
        int notifiedBefore = relay.notifiedEntries;
        for (int i = 0; i < 20; i++) {
            relay.attemptAll(Set.of());
            relay.advance(REFRESH_US);
        }
        assertThat(relay.notifiedEntries)
                .as("entries relay while nothing happens")
                .isEqualTo(notifiedBefore);
    }

    @Property(tries = 300)
    void findsTheEndpointThatAnswersAndThenStaysStable(@ForAll long seed, @ForAll boolean roomy) {
        start(seed, roomy, false);
        for (int i = 0; i < 40; i++) {
            playStep();
        }
        silent.clear();
        Map<String, Set<String>> ready = readyByService(list.values());
        ready.values().forEach(its -> {
            List<String> names = new ArrayList<>(its);
            String answering = names.get(random.nextInt(names.size()));
            names.stream().filter(name -> !name.equals(answering)).forEach(silent::add);
        });
        if (ready.size() > terms.maxEndpoints()) {
            return;
        }
        for (int i = 0; i < 2 * ENDPOINTS; i++) {
            relay.attemptAll(silent);
            relay.advance(REFRESH_US);
            checkInvariants();
        }
        ready.forEach((service, its) ->
                assertThat(relay.readyEndpoints(service)).as(service).anyMatch(name -> !silent.contains(name)));
        if (roomy) {
            relay.advance(2 * terms.settleUs());
            relay.advance(REFRESH_US);
            int notifiedBefore = relay.notifiedEntries;
            for (int i = 0; i < 40; i++) {
                relay.attemptAll(silent);
                relay.advance(REFRESH_US);
            }
            assertThat(relay.notifiedEntries)
                    .as("entries relay while nothing new happens")
                    .isEqualTo(notifiedBefore);
        }
    }

    @Property(tries = 200)
    void oneEndpointThatComesOrGoesChangesAtMostOneMember(@ForAll long seed) {
        start(seed, true, false);
        terms = SubsetHarness.terms(terms.relayNumber(), -1, terms.maxEndpoints(), terms.minPerService(), 0, 0);
        relay = new SubsetHarness(newSubset(false));
        for (int i = 0; i < ENDPOINTS; i++) {
            EndpointEntry entry = SubsetHarness.ready("u" + i, "s", i % 3);
            list.put(entry.name(), entry);
        }
        relay.fullList(list.values());
        for (int i = 0; i < 60; i++) {
            Set<String> before = relay.readyEndpoints();
            String endpoint = "u" + random.nextInt(ENDPOINTS);
            boolean goes = list.containsKey(endpoint);
            EndpointEntry entry = SubsetHarness.ready(endpoint, "s", 0);
            noteListed(goes ? entry.gone() : entry);
            relay.change(goes ? entry.gone() : entry);
            relay.advance(REFRESH_US);
            Set<String> now = relay.readyEndpoints();
            Set<String> came = new TreeSet<>(now);
            came.removeAll(before);
            if (goes) {
                assertThat(came.size()).isEqualTo(before.contains(endpoint) ? 1 : 0);
            } else {
                assertThat(came).isSubsetOf(Set.of(endpoint));
            }
        }
    }
}
