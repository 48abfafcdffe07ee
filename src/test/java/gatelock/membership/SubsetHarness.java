package gatelock.membership;

import gatelock.api.Endpoint;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** A scope with what the decisions know by its changes, and a clock. */
final class SubsetHarness {
    final EndpointSubset scope;
    final Map<String, EndpointEntry> endpoints = new TreeMap<>();
    long nowUs = 1_000_000;
    /** Entries told so far. */
    int told;

    EndpointSubset.Change last;

    SubsetHarness(EndpointSubset scope) {
        this.scope = scope;
    }

    static EndpointSubset.Terms terms(
            long relay, int zone, int most, int perService, int leastElsewhere, long settleUs) {
        return new EndpointSubset.Terms(relay, zone, most, perService, 0, leastElsewhere, settleUs);
    }

    static EndpointEntry endpoint(String name, String service, int zone, Endpoint.Health health) {
        return new EndpointEntry(name, service, "10.0.0.1:80", zone, 0, 0, 1, health, 0);
    }

    static EndpointEntry ready(String name, String service, int zone) {
        return endpoint(name, service, zone, Endpoint.Health.READY);
    }

    void whole(Iterable<EndpointEntry> entries) {
        take(true, entries);
    }

    void change(EndpointEntry... entries) {
        take(false, List.of(entries));
    }

    void take(boolean whole, Iterable<EndpointEntry> entries) {
        EndpointSubset.Reading reading = scope.read(whole);
        entries.forEach(reading::add);
        apply(reading.take(nowUs, 7));
    }

    void due(long inUs) {
        nowUs += inUs;
        apply(scope.due(nowUs));
    }

    void ended(String endpoint, boolean heard) {
        scope.ended(nowUs, endpoint, heard);
    }

    /** As the decisions do. */
    void apply(EndpointSubset.Change change) {
        last = change;
        told += change.entries().size();
        if (change.whole()) {
            endpoints.clear();
        }
        for (EndpointEntry e : change.entries()) {
            if (e.health() == Endpoint.Health.GONE) {
                endpoints.remove(e.name());
            } else {
                endpoints.put(e.name(), e);
            }
        }
    }

    Set<String> ready(String service) {
        return endpoints.values().stream()
                .filter(e -> e.service().equals(service) && e.health() == Endpoint.Health.READY)
                .map(EndpointEntry::name)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    Set<String> ready() {
        return endpoints.values().stream()
                .filter(e -> e.health() == Endpoint.Health.READY)
                .map(EndpointEntry::name)
                .collect(Collectors.toCollection(TreeSet::new));
    }
}
