package gatelock.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import gatelock.api.Endpoint;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Each failure that a scope has to bear, provoked. */
final class EndpointSubsetTest {
    private static final long SECOND = 1_000_000;
    private static final long LOOK_US = 250_000;
    private static final long SETTLE_US = 5 * SECOND;

    private final SubsetHarness told =
            new SubsetHarness(new EndpointSubset(SubsetHarness.terms(7, 0, 100, 3, 1, SETTLE_US)));

    private static List<EndpointEntry> service(String name, int endpoints, int zones) {
        return IntStream.range(0, endpoints)
                .mapToObj(i -> SubsetHarness.ready(name + "-" + i, name, i % zones))
                .toList();
    }

    private static EndpointEntry[] all(List<EndpointEntry> entries, Set<String> names, Endpoint.Health health) {
        return entries.stream()
                .filter(e -> names.contains(e.name()))
                .map(e -> SubsetHarness.endpoint(e.name(), e.service(), e.zone(), health))
                .toArray(EndpointEntry[]::new);
    }

    private void silent(Set<String> endpoints, int attempts) {
        for (int i = 0; i < attempts; i++) {
            endpoints.forEach(u -> told.ended(u, false));
        }
        told.due(LOOK_US);
    }

    private long zone(Set<String> endpoints, int zone) {
        return endpoints.stream()
                .filter(u -> told.endpoints.get(u).zone() == zone)
                .count();
    }

    @Test
    void usesTheOwnZoneFirstAndTheLeastNumberElsewhere() {
        told.whole(service("a", 40, 4));
        assertThat(told.ready()).hasSize(3);
        assertThat(zone(told.ready(), 0)).isEqualTo(2);
    }

    @Test
    void goesElsewhereWhereTheOwnZoneHasFewerAndStaysWhereNoneIsElsewhere() {
        told.whole(List.of(
                SubsetHarness.ready("here", "a", 0),
                SubsetHarness.ready("b1", "a", 1),
                SubsetHarness.ready("b2", "a", 2),
                SubsetHarness.ready("b3", "a", 1)));
        assertThat(told.ready()).hasSize(3).contains("here");
        told.whole(service("a", 40, 1));
        assertThat(told.ready()).hasSize(3);
    }

    @Test
    void aRackLostAtOnceIsReplacedInTheSameChange() {
        List<EndpointEntry> endpoints = service("a", 40, 4);
        told.whole(endpoints);
        for (int i = 0; i < 12; i++) {
            Set<String> lost = told.ready();
            told.change(all(endpoints, lost, i % 2 == 0 ? Endpoint.Health.GONE : Endpoint.Health.DRAINING));
            assertThat(told.ready()).hasSize(3).doesNotContainAnyElementsOf(lost);
        }
        assertThat(told.scope.listed()).isEqualTo(40 - 18);
    }

    @Test
    void aZoneLostLeavesEndpointsElsewhere() {
        List<EndpointEntry> endpoints = service("a", 40, 4);
        told.whole(endpoints);
        told.change(endpoints.stream()
                .filter(e -> e.zone() == 0)
                .map(EndpointEntry::gone)
                .toArray(EndpointEntry[]::new));
        assertThat(told.ready()).hasSize(3);
        told.change(endpoints.stream()
                .filter(e -> e.zone() != 1)
                .map(EndpointEntry::gone)
                .toArray(EndpointEntry[]::new));
        assertThat(told.ready()).hasSize(3);
        assertThat(zone(told.ready(), 1)).isEqualTo(3);
    }

    @Test
    void drainingEndpointsStayToldUntilTheyAreGone() {
        List<EndpointEntry> endpoints = service("a", 40, 4);
        told.whole(endpoints);
        Set<String> first = told.ready();
        told.change(all(endpoints, first, Endpoint.Health.DRAINING));
        assertThat(told.endpoints).containsKeys(first.toArray(new String[0]));
        assertThat(told.last.entries())
                .extracting(EndpointEntry::health)
                .containsOnly(Endpoint.Health.READY, Endpoint.Health.DRAINING)
                .hasSize(6);
        told.due(10 * SETTLE_US);
        assertThat(told.endpoints).hasSize(6);
        told.change(all(endpoints, first, Endpoint.Health.GONE));
        assertThat(told.last.entries()).hasSize(3);
        assertThat(told.endpoints).hasSize(3).doesNotContainKeys(first.toArray(new String[0]));
    }

    @Test
    void growsWhereEndpointsAreSilentAndShrinksBackOnceTheyWereHeardForTheSettleTime() {
        told.whole(service("a", 40, 4));
        Set<String> first = told.ready();
        silent(first, 1);
        assertThat(told.ready()).as("one try alone").isEqualTo(first);
        silent(first, 1);
        assertThat(told.ready()).hasSize(6).containsAll(first);
        first.forEach(u -> told.ended(u, true));
        told.due(LOOK_US);
        told.due(SETTLE_US - LOOK_US);
        assertThat(told.ready()).as("before the settle time").hasSize(6);
        told.due(LOOK_US);
        assertThat(told.ready()).isEqualTo(first);
    }

    @Test
    void endpointsThatComeAndGoWithinTheSettleTimeMoveNothing() {
        told.whole(service("a", 40, 4));
        Set<String> first = told.ready();
        silent(first, 2);
        Set<String> grown = told.ready();
        int before = told.told;
        for (int i = 0; i < 50; i++) {
            first.forEach(u -> told.ended(u, true));
            told.due(SETTLE_US / 2);
            silent(first, 2);
        }
        assertThat(told.ready()).isEqualTo(grown);
        assertThat(told.told).isEqualTo(before);
    }

    @Test
    void goesThroughAServiceOfWhichAllButOneAreSilent() {
        told.whole(service("a", 2_000, 4));
        int rounds = 0;
        for (; told.ready().stream().noneMatch("a-1234"::equals) && rounds < 1_000; rounds++) {
            silent(told.ready(), 2);
            assertThat(told.scope.inScope()).isLessThanOrEqualTo(100);
        }
        assertThat(told.ready()).contains("a-1234");
        assertThat(rounds).isLessThan(250);
        told.ended("a-1234", true);
        Set<String> others = told.ready();
        others.remove("a-1234");
        for (int i = 0; i < 400; i++) {
            silent(others, 2);
            others = told.ready();
            others.remove("a-1234");
        }
        assertThat(told.ready()).contains("a-1234");
    }

    @Test
    void aZoneThatFallsSilentLeadsElsewhere() {
        List<EndpointEntry> endpoints = service("a", 400, 4);
        told.whole(endpoints);
        for (int i = 0; i < 3; i++) {
            silent(
                    told.ready().stream()
                            .filter(u -> told.endpoints.get(u).zone() == 0)
                            .collect(java.util.stream.Collectors.toSet()),
                    2);
        }
        Set<String> well = told.ready();
        well.removeIf(u -> told.endpoints.get(u).zone() == 0);
        assertThat(well).hasSizeGreaterThanOrEqualTo(3);
    }

    @Test
    void whatLeavesByTheBoundAloneIsToldGoneAfterTheSettleTime() {
        told.whole(service("a", 40, 1));
        Set<String> first = told.ready();
        // Names until one stands before one of the first.
        String newcomer = null;
        for (int i = 0; newcomer == null; i++) {
            told.change(SubsetHarness.ready("new-" + i, "a", 0));
            newcomer = told.endpoints.containsKey("new-" + i) ? "new-" + i : null;
        }
        assertThat(told.ready()).hasSize(4).containsAll(first);
        told.due(SETTLE_US - 1);
        assertThat(told.endpoints).hasSize(4);
        told.due(1);
        assertThat(told.ready()).hasSize(3).contains(newcomer);
        assertThat(told.last.entries()).hasSize(1).allMatch(e -> e.health() == Endpoint.Health.GONE);
    }

    @Test
    void anEndpointThatReturnsAsAnotherProcessIsToldAndNothingIsKnownOfIt() {
        told.whole(service("a", 40, 4));
        Set<String> first = told.ready();
        String endpoint = first.iterator().next();
        silent(Set.of(endpoint), 2);
        assertThat(told.ready()).hasSize(4);
        EndpointEntry again = new EndpointEntry(
                endpoint,
                "a",
                "10.0.0.1:80",
                told.endpoints.get(endpoint).zone(),
                0,
                0,
                2,
                Endpoint.Health.READY,
                5 * SECOND);
        told.change(again);
        assertThat(told.last.entries()).containsExactly(again);
        told.due(SETTLE_US);
        told.due(LOOK_US);
        assertThat(told.ready()).isEqualTo(first);
    }

    @Test
    void aReleaseThatRestartsEndpointsUnderTheirNamesMovesNoEndpointOfTheScope() {
        List<EndpointEntry> endpoints = service("a", 40, 4);
        told.whole(endpoints);
        Set<String> first = told.ready();
        for (EndpointEntry e : endpoints) {
            told.change(SubsetHarness.endpoint(e.name(), "a", e.zone(), Endpoint.Health.DRAINING));
            told.change(e.gone());
            told.change(
                    new EndpointEntry(e.name(), "a", e.address(), e.zone(), 0, 0, 2, Endpoint.Health.READY, SECOND));
        }
        told.due(SETTLE_US);
        assertThat(told.ready()).isEqualTo(first);
        assertThat(told.endpoints.values()).allMatch(e -> e.build() == 2);
    }

    @Test
    void anEndpointTwiceInAWholeListIsNamedAndNothingChanges() {
        told.whole(service("a", 40, 4));
        EndpointSubset.Reading reading = told.scope.read(true);
        reading.add(SubsetHarness.ready("x", "a", 0));
        assertThatThrownBy(() -> reading.add(SubsetHarness.endpoint("x", "a", 0, Endpoint.Health.GONE)))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessage("expected each endpoint once, found twice x");
        assertThat(told.scope.listed()).isEqualTo(40);
    }

    @Test
    void anEndpointTwiceInAChangeCountsAsLastTold() {
        told.whole(service("a", 3, 1));
        told.change(SubsetHarness.endpoint("a-0", "a", 0, Endpoint.Health.GONE), SubsetHarness.ready("a-0", "a", 0));
        assertThat(told.ready()).contains("a-0");
        told.change(SubsetHarness.ready("a-0", "a", 0), SubsetHarness.endpoint("a-0", "a", 0, Endpoint.Health.GONE));
        assertThat(told.endpoints).doesNotContainKey("a-0");
    }

    @Test
    void aReadingDroppedHalfWayChangesNothing() {
        told.whole(service("a", 40, 4));
        Set<String> before = told.ready();
        told.scope.read(true).add(SubsetHarness.ready("x", "a", 0));
        EndpointSubset.Reading change = told.scope.read(false);
        before.forEach(u -> change.add(SubsetHarness.endpoint(u, "a", 0, Endpoint.Health.GONE)));
        told.due(SETTLE_US);
        assertThat(told.ready()).isEqualTo(before);
        assertThat(told.scope.listed()).isEqualTo(40);
        assertThat(told.scope.changedUs()).isEqualTo(1_000_000);
    }

    @Test
    void anIndexThatGoesBackLosesNothing() {
        told.whole(service("a", 40, 4));
        EndpointSubset.Reading reading = told.scope.read(false);
        reading.add(SubsetHarness.ready("late", "b", 0));
        told.apply(reading.take(told.nowUs, 2));
        assertThat(told.ready("b")).containsExactly("late");
        assertThat(told.ready("a")).hasSize(3);
        assertThat(told.scope.index()).isEqualTo(2);
    }

    @Test
    void aWholeListInTheMiddleOfAChangeLosesNothing() {
        told.whole(service("a", 40, 4));
        EndpointSubset.Reading change = told.scope.read(false);
        change.add(SubsetHarness.ready("late", "b", 0));
        told.whole(service("a", 20, 4));
        change.add(SubsetHarness.endpoint("a-1", "a", 1, Endpoint.Health.GONE));
        told.apply(change.take(told.nowUs, 9));
        assertThat(told.ready("b")).containsExactly("late");
        assertThat(told.scope.listed()).isEqualTo(20);
    }

    @Test
    void aWholeListTellsAllThatIsInScopeAgain() {
        told.whole(service("a", 40, 4));
        Set<String> first = told.ready();
        told.whole(service("a", 40, 4));
        assertThat(told.last.whole()).isTrue();
        assertThat(told.last.entries()).extracting(EndpointEntry::name).containsExactlyInAnyOrderElementsOf(first);
        told.whole(service("a", 2, 4));
        assertThat(told.ready()).containsExactly("a-0", "a-1");
    }

    @Test
    void anEndpointThatMovesToAnotherServiceIsUsedThere() {
        told.whole(service("a", 2, 1));
        told.change(SubsetHarness.ready("a-0", "b", 0));
        assertThat(told.ready("a")).containsExactly("a-1");
        assertThat(told.ready("b")).containsExactly("a-0");
        assertThat(told.scope.services()).isEqualTo(2);
    }

    @Test
    void theBoundIsSharedOutFairlyAndCountedWhereItDoesNotSuffice() {
        SubsetHarness bound = new SubsetHarness(new EndpointSubset(SubsetHarness.terms(7, 0, 20, 5, 1, SETTLE_US)));
        List<EndpointEntry> endpoints = new ArrayList<>();
        IntStream.range(0, 8).forEach(s -> endpoints.addAll(service("s" + s, s == 0 ? 1 : 20, 4)));
        bound.whole(endpoints);
        assertThat(bound.scope.targetPerService()).isEqualTo(2);
        assertThat(bound.ready("s0")).hasSize(1);
        IntStream.range(1, 8).forEach(s -> assertThat(bound.ready("s" + s)).hasSize(2));
        assertThat(bound.scope.servicesWithoutPlace()).isZero();
        IntStream.range(8, 30).forEach(s -> bound.change(service("s" + s, 20, 4).toArray(EndpointEntry[]::new)));
        assertThat(bound.scope.targetPerService()).isZero();
        assertThat(bound.scope.inScope()).isEqualTo(20);
        assertThat(bound.scope.servicesWithoutPlace()).isEqualTo(10);
        // Those without a place come in as others leave.
        Set<String> in = new TreeSet<>();
        bound.endpoints.values().forEach(e -> in.add(e.service()));
        assertThat(in).hasSize(20);
        in.stream()
                .limit(4)
                .forEach(s -> bound.change(
                        service(s, 20, 4).stream().map(EndpointEntry::gone).toArray(EndpointEntry[]::new)));
        assertThat(bound.scope.servicesWithoutPlace()).isEqualTo(6);
        assertThat(bound.scope.inScope()).isEqualTo(20);
    }

    @Test
    void eachServiceHasMoreAgainOnlyWhenThereWasRoomForTheSettleTime() {
        SubsetHarness bound = new SubsetHarness(new EndpointSubset(SubsetHarness.terms(7, 0, 20, 5, 1, SETTLE_US)));
        IntStream.range(0, 8).forEach(s -> bound.change(service("s" + s, 20, 4).toArray(EndpointEntry[]::new)));
        assertThat(bound.scope.targetPerService()).isEqualTo(2);
        EndpointEntry[] gone =
                service("s0", 20, 4).stream().map(EndpointEntry::gone).toArray(EndpointEntry[]::new);
        EndpointEntry[] last =
                service("s1", 20, 4).stream().map(EndpointEntry::gone).toArray(EndpointEntry[]::new);
        bound.change(gone);
        bound.change(last);
        assertThat(bound.scope.targetPerService()).isEqualTo(2);
        bound.due(SETTLE_US - 1);
        assertThat(bound.scope.targetPerService()).isEqualTo(2);
        bound.due(1);
        assertThat(bound.scope.targetPerService()).isEqualTo(3);
        bound.change(service("s0", 20, 4).toArray(EndpointEntry[]::new));
        assertThat(bound.scope.targetPerService()).isEqualTo(2);
    }

    /** A relay that aims at a quarter of a service, 5 endpoints at least, before one of 81 and one of 12. */
    private static SubsetHarness ofLargeAndSmall(int most) {
        SubsetHarness relay =
                new SubsetHarness(new EndpointSubset(new EndpointSubset.Terms(7, 0, most, 5, 0.25, 1, SETTLE_US)));
        List<EndpointEntry> endpoints = new ArrayList<>(service("large", 81, 3));
        endpoints.addAll(service("small", 12, 3));
        relay.whole(endpoints);
        return relay;
    }

    /** Of a fleet of few relays each uses a larger part, so that no endpoint stands idle; of many its least. */
    @Test
    void aLargeServiceHasItsPartInScopeAndASmallOneItsLeast() {
        SubsetHarness relay = ofLargeAndSmall(100);
        assertThat(relay.ready("large")).hasSize(21);
        assertThat(relay.ready("small")).hasSize(5);
        // It follows the service's size, and gives up what it has too much after the settle time.
        relay.change(service("large", 81, 3).stream()
                .skip(40)
                .map(EndpointEntry::gone)
                .toArray(EndpointEntry[]::new));
        relay.due(SETTLE_US);
        assertThat(relay.ready("large")).hasSize(10);
    }

    @Test
    void whereTheBoundLeavesTooLittleLargeServicesHaveNoMoreThanTheRest() {
        SubsetHarness relay = ofLargeAndSmall(20);
        assertThat(relay.scope.inScope()).isLessThanOrEqualTo(20);
        assertThat(relay.ready("small")).hasSize(5);
        assertThat(relay.ready("large")).hasSizeBetween(5, 15);
        assertThat(relay.scope.targetPerService()).isEqualTo(5);
    }

    /** All of a are silent and looked at; then b needs the place of one, which answers again out of scope. */
    @Test
    void aServiceThatIsAllSilentComesBackToAnEndpointThatGaveWayToAnotherService() {
        SubsetHarness relay = new SubsetHarness(new EndpointSubset(SubsetHarness.terms(7, 0, 3, 1, 0, SETTLE_US)));
        List<EndpointEntry> endpoints = new ArrayList<>(service("a", 2, 1));
        endpoints.addAll(service("b", 2, 1));
        relay.whole(endpoints);
        Set<String> silent = new TreeSet<>(relay.ready("a"));
        for (int look = 0; look < 8; look++) {
            relay.ready().forEach(u -> relay.ended(u, !silent.contains(u)));
            relay.due(LOOK_US);
            silent.addAll(relay.ready("a"));
        }
        assertThat(relay.ready("a")).as("both looked at").hasSize(2);
        silent.addAll(relay.ready("b"));
        for (int look = 0; look < 60 && relay.ready("a").size() == 2; look++) {
            relay.ready().forEach(u -> relay.ended(u, !silent.contains(u)));
            relay.due(LOOK_US);
        }
        assertThat(relay.ready("a")).as("one gave way").hasSize(1);
        silent.removeIf(u -> u.startsWith("a") && !relay.ready("a").contains(u));
        for (int look = 0; look < 8; look++) {
            relay.ready().forEach(u -> relay.ended(u, !silent.contains(u)));
            relay.due(LOOK_US);
        }
        assertThat(relay.ready("a")).anyMatch(u -> !silent.contains(u));
        assertThat(relay.ready("b")).anyMatch(u -> !silent.contains(u));
    }

    /** As the endpoints of a are all silent, one is let go when its time is over; it answers again out of scope. */
    @Test
    void aServiceThatIsAllSilentComesBackToAnEndpointThatItLetGo() {
        SubsetHarness relay = new SubsetHarness(new EndpointSubset(SubsetHarness.terms(7, 0, 8, 1, 0, SETTLE_US)));
        relay.whole(service("a", 2, 1));
        Set<String> silent = new TreeSet<>(Set.of("a-0", "a-1"));
        for (int look = 0; look < 8; look++) {
            relay.ready().forEach(u -> relay.ended(u, false));
            relay.due(LOOK_US);
        }
        relay.due(SETTLE_US);
        relay.due(SETTLE_US);
        Set<String> left = new TreeSet<>(silent);
        left.removeAll(relay.ready("a"));
        silent.removeAll(left.isEmpty() ? Set.of("a-1") : left);
        for (int look = 0; look < 60; look++) {
            relay.ready().forEach(u -> relay.ended(u, !silent.contains(u)));
            relay.due(LOOK_US);
        }
        assertThat(relay.ready("a")).anyMatch(u -> !silent.contains(u));
    }

    @Test
    void termsWithoutSenseAreRefused() {
        for (double part : new double[] {-0.1, 1.1, Double.NaN}) {
            assertThatThrownBy(() -> new EndpointSubset.Terms(1, 0, 1, 1, part, 0, 0))
                    .isInstanceOf(IllegalArgumentException.class)
                    .hasMessageContaining("fraction");
        }
        assertThatThrownBy(() -> SubsetHarness.terms(1, 0, 0, 1, 0, 0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> SubsetHarness.terms(1, 0, 1, 0, 0, 0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> SubsetHarness.terms(1, 0, 1, 1, -1, 0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> SubsetHarness.terms(1, 0, 1, 1, 0, -1))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("-1");
    }

    /**
     * Rule 4: a cold endpoint's budget at a relay is {@code times} this relay's work over the endpoints in its scope
     * (ReleaseGate, inBudget). Over all that hold the endpoint it is at most {@code times} the mean endpoint's work,
     * times how many hold it over the mean; also where scopes have unequal sizes.
     */
    @Test
    void aColdEndpointsPartsAddUpToTheMeanEndpointsWorkTimesTheUnevennessOfItsHolders() {
        int relays = 600;
        int endpoints = 28;
        List<EndpointEntry> list = service("a", endpoints, 1);
        Map<String, Double> parts = new TreeMap<>();
        Map<String, Integer> holders = new TreeMap<>();
        int held = 0;
        for (int r = 0; r < relays; r++) {
            SubsetHarness relay = new SubsetHarness(
                    new EndpointSubset(SubsetHarness.terms(r, -1, 100, r % 2 == 0 ? 5 : 8, 0, SETTLE_US)));
            relay.whole(list);
            for (String endpoint : relay.ready()) {
                parts.merge(endpoint, 1.0 / relay.ready().size(), Double::sum);
                holders.merge(endpoint, 1, Integer::sum);
                held++;
            }
        }
        double mean = relays / (double) endpoints;
        double most = parts.values().stream().mapToDouble(p -> p / mean).max().orElseThrow();
        double uneven = holders.values().stream().mapToInt(h -> h).max().orElseThrow() / (held / (double) endpoints);
        assertThat(parts).hasSize(endpoints);
        assertThat(parts.values().stream().mapToDouble(p -> p).sum()).isBetween(relays - 1e-6, relays + 1e-6);
        // Five standard deviations of a binomial share, as the ranking is by independent hashes.
        double five = 1 + 5 * Math.sqrt((1 - 6.5 / endpoints) / (held / (double) endpoints));
        assertThat(uneven).isLessThan(five);
        assertThat(most).isLessThan(five * 8 / 6.5);
    }

    @Test
    void whatIsOutOfScopeCostsTensOfBytes() {
        EndpointSubset scope = new EndpointSubset(SubsetHarness.terms(7, 0, 100, 3, 1, SETTLE_US));
        EndpointSubset.Reading reading = scope.read(true);
        for (int i = 0; i < 200_000; i++) {
            reading.add(new EndpointEntry(
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
        reading.take(0, 1);
        assertThat(scope.listed()).isEqualTo(200_000);
        assertThat(scope.inScope()).isEqualTo(100);
        assertThat(scope.servicesWithoutPlace()).isEqualTo(7_100);
        assertThat(scope.bytes() / 200_000.0).isLessThan(64);
    }
}
