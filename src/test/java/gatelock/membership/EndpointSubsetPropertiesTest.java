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

/** What must hold of a scope whatever the course of lists, changes, silences and time. */
final class EndpointSubsetPropertiesTest {
    private static final long LOOK_US = 250_000;
    private static final int UNITS = 40;
    private static final int SERVICES = 5;

    private final Map<String, EndpointEntry> list = new TreeMap<>();
    private final Set<String> silent = new HashSet<>();
    private RandomGenerator random;
    private EndpointSubset.Terms terms;
    private SubsetHarness told;

    private void begin(long seed, boolean roomy, boolean colliding) {
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        int perService = 1 + random.nextInt(4);
        int most = roomy ? UNITS * 2 : 1 + random.nextInt(2 * SERVICES);
        double part = Math.max(0, random.nextInt(5) - 1) / 3.0;
        terms = new EndpointSubset.Terms(
                random.nextInt(5_700),
                random.nextInt(4) - 1,
                most,
                perService,
                part,
                random.nextInt(3),
                random.nextInt(3_000_000));
        told = new SubsetHarness(fresh(colliding));
        list.clear();
        silent.clear();
    }

    private EndpointSubset fresh(boolean colliding) {
        return new EndpointSubset(
                terms,
                colliding
                        ? new EndpointStoreTest.Colliding(terms.relayNumber(), 3)
                        : new RendezvousRanking(terms.relayNumber()));
    }

    private EndpointEntry any() {
        int n = random.nextInt(UNITS);
        Endpoint.Health health =
                random.nextInt(4) > 0 ? Endpoint.Health.READY : Endpoint.Health.values()[random.nextInt(3)];
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

    private void note(EndpointEntry e) {
        if (e.health() == Endpoint.Health.GONE) {
            list.remove(e.name());
        } else {
            list.put(e.name(), e);
        }
    }

    private void wholeList() {
        Map<String, EndpointEntry> entries = new TreeMap<>();
        for (int n = random.nextInt(2 * UNITS); n > 0; n--) {
            EndpointEntry e = any();
            entries.put(e.name(), e);
        }
        list.clear();
        entries.values().forEach(this::note);
        told.whole(entries.values());
        assertThat(told.last.whole()).isTrue();
    }

    private void change() {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int n = 1 + random.nextInt(6); n > 0; n--) {
            entries.add(any());
        }
        if (random.nextInt(10) == 0) {
            // A zone or a service's endpoints, all at once.
            Predicate<EndpointEntry> lost = random.nextBoolean()
                    ? e -> e.zone() == random.nextInt(3)
                    : e -> e.service().equals("s" + random.nextInt(SERVICES));
            list.values().stream()
                    .filter(lost)
                    .forEach(e -> entries.add(
                            random.nextBoolean()
                                    ? e.gone()
                                    : SubsetHarness.endpoint(
                                            e.name(), e.service(), e.zone(), Endpoint.Health.DRAINING)));
        }
        entries.forEach(this::note);
        told.take(false, entries);
        assertThat(told.last.whole()).isFalse();
    }

    private void dropped() {
        int before = told.scope.listed();
        EndpointSubset.Reading reading = told.scope.read(random.nextBoolean());
        Set<String> names = new HashSet<>();
        for (int n = random.nextInt(UNITS); n > 0; n--) {
            EndpointEntry e = any();
            if (names.add(e.name())) {
                reading.add(e);
            }
        }
        assertThat(told.scope.listed()).isEqualTo(before);
    }

    private void attempts() {
        for (String endpoint : told.ready()) {
            if (random.nextInt(3) > 0) {
                told.ended(endpoint, !silent.contains(endpoint));
            }
        }
    }

    private void step() {
        switch (random.nextInt(8)) {
            case 0 -> wholeList();
            case 1, 2, 3 -> change();
            case 4 -> dropped();
            case 5 -> {
                silent.clear();
                random.ints(random.nextInt(UNITS), 0, UNITS).forEach(n -> silent.add("u" + n));
            }
            case 6 -> attempts();
            default -> told.due(random.nextInt(1_500_000));
        }
    }

    private Map<String, Set<String>> readyByService(Collection<EndpointEntry> entries) {
        return entries.stream()
                .filter(e -> e.health() == Endpoint.Health.READY)
                .collect(Collectors.groupingBy(
                        EndpointEntry::service,
                        TreeMap::new,
                        Collectors.mapping(EndpointEntry::name, Collectors.toCollection(TreeSet::new))));
    }

    private void check() {
        assertThat(told.scope.listed()).isEqualTo(list.size());
        assertThat(told.scope.services()).isEqualTo((int)
                list.values().stream().map(EndpointEntry::service).distinct().count());
        assertThat(told.scope.inScope()).isEqualTo(told.endpoints.size()).isLessThanOrEqualTo(terms.most());
        // What was told is what is listed: drains, restarts and ends in scope at once.
        told.endpoints.forEach((name, e) -> assertThat(e).isEqualTo(list.get(name)));
        Map<String, Set<String>> listed = readyByService(list.values());
        Map<String, Set<String>> used = readyByService(told.endpoints.values());
        int without = 0;
        for (String service : listed.keySet()) {
            int its = used.getOrDefault(service, Set.of()).size();
            int ready = listed.get(service).size();
            // Where there is room for all that is listed, a service has all that the terms say.
            int wanted = Math.min(ready, terms.most() >= UNITS ? terms.aim(ready) : told.scope.targetPerService());
            without += its == 0 ? 1 : 0;
            assertThat(its).as("units of " + service).isGreaterThanOrEqualTo(wanted);
        }
        int crowded = Math.max(0, listed.size() - terms.most());
        assertThat(without).isEqualTo(crowded);
        assertThat(told.scope.servicesWithoutPlace()).isEqualTo(crowded);
    }

    @Property(tries = 400)
    void tellsWhatIsListedWithinTheBoundAndLeavesNoServiceWithoutAnEndpoint(
            @ForAll long seed, @ForAll boolean roomy, @ForAll boolean colliding) {
        begin(seed, roomy, colliding);
        for (int i = 0; i < 120; i++) {
            step();
            check();
        }
    }

    /** All are heard again and time passes. */
    private void heal() {
        silent.clear();
        for (int i = 0; i < 3; i++) {
            told.ready().forEach(u -> told.ended(u, true));
            told.due(terms.settleUs() + LOOK_US);
            check();
        }
    }

    @Property(tries = 400)
    void comesBackToWhatAFreshRelayWouldUse(@ForAll long seed, @ForAll boolean colliding) {
        begin(seed, true, colliding);
        for (int i = 0; i < 80; i++) {
            step();
        }
        heal();
        SubsetHarness other = new SubsetHarness(fresh(colliding));
        other.whole(list.values());
        assertThat(told.ready()).isEqualTo(other.ready());
        int before = told.told;
        for (int i = 0; i < 20; i++) {
            told.ready().forEach(u -> told.ended(u, true));
            told.due(LOOK_US);
        }
        assertThat(told.told).as("entries told while nothing happens").isEqualTo(before);
    }

    @Property(tries = 300)
    void findsAnEndpointThatAnswersWhereverItIsAndThenRests(@ForAll long seed, @ForAll boolean roomy) {
        begin(seed, roomy, false);
        for (int i = 0; i < 40; i++) {
            step();
        }
        silent.clear();
        Map<String, Set<String>> ready = readyByService(list.values());
        ready.values().forEach(its -> {
            List<String> in = new ArrayList<>(its);
            String well = in.get(random.nextInt(in.size()));
            in.stream().filter(u -> !u.equals(well)).forEach(silent::add);
        });
        if (ready.size() > terms.most()) {
            return;
        }
        for (int i = 0; i < 2 * UNITS; i++) {
            told.ready().forEach(u -> told.ended(u, !silent.contains(u)));
            told.due(LOOK_US);
            check();
        }
        ready.forEach(
                (service, its) -> assertThat(told.ready(service)).as(service).anyMatch(u -> !silent.contains(u)));
        if (roomy) {
            told.due(2 * terms.settleUs());
            told.due(LOOK_US);
            int before = told.told;
            for (int i = 0; i < 40; i++) {
                told.ready().forEach(u -> told.ended(u, !silent.contains(u)));
                told.due(LOOK_US);
            }
            assertThat(told.told).as("entries told while nothing new happens").isEqualTo(before);
        }
    }

    @Property(tries = 200)
    void anEndpointThatComesOrGoesMovesOneOfARelaysEndpointsAtMost(@ForAll long seed) {
        begin(seed, true, false);
        terms = SubsetHarness.terms(terms.relayNumber(), -1, terms.most(), terms.minPerService(), 0, 0);
        told = new SubsetHarness(fresh(false));
        for (int i = 0; i < UNITS; i++) {
            EndpointEntry e = SubsetHarness.ready("u" + i, "s", i % 3);
            list.put(e.name(), e);
        }
        told.whole(list.values());
        for (int i = 0; i < 60; i++) {
            Set<String> before = told.ready();
            String endpoint = "u" + random.nextInt(UNITS);
            boolean goes = list.containsKey(endpoint);
            EndpointEntry e = SubsetHarness.ready(endpoint, "s", 0);
            note(goes ? e.gone() : e);
            told.change(goes ? e.gone() : e);
            told.due(LOOK_US);
            Set<String> now = told.ready();
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
