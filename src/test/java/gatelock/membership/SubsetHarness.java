package gatelock.membership;

import gatelock.api.Endpoint;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** A subset with the endpoints that the decisions know by its notifications, and a clock. */
final class SubsetHarness {
    static final long START_US = 1_000_000;
    private static final long LIST_INDEX = 7;

    final EndpointSubset subset;
    /** What the decisions know, by name. */
    final Map<String, EndpointEntry> notified = new TreeMap<>();

    long nowUs = START_US;
    /** Entries of which the decisions were notified so far. */
    int notifiedEntries;

    EndpointSubset.Change lastChange;

    SubsetHarness(EndpointSubset subset) {
        this.subset = subset;
    }

    /** Terms without a fraction. */
    static EndpointSubset.Policy terms(
            long relayNumber, int zone, int maxEndpoints, int minPerService, int remotePerService, long settleUs) {
        return new EndpointSubset.Policy(relayNumber, zone, maxEndpoints, minPerService, 0, remotePerService, settleUs);
    }

    static EndpointEntry endpoint(String name, String service, int zone, Endpoint.Health health) {
        return new EndpointEntry(name, service, "10.0.0.1:80", zone, 0, 0, 1, health, 0);
    }

    static EndpointEntry ready(String name, String service, int zone) {
        return endpoint(name, service, zone, Endpoint.Health.READY);
    }

    /** Ready endpoints of a service, named SERVICE-0, SERVICE-1 and so on, evenly over zones. */
    static List<EndpointEntry> service(String name, int endpoints, int zones) {
        return IntStream.range(0, endpoints)
                .mapToObj(i -> ready(name + "-" + i, name, i % zones))
                .toList();
    }

    /** The same endpoints as gone. */
    static EndpointEntry[] gone(Collection<EndpointEntry> entries) {
        return entries.stream().map(EndpointEntry::gone).toArray(EndpointEntry[]::new);
    }

    void fullList(Iterable<EndpointEntry> entries) {
        list(true, entries);
    }

    void change(EndpointEntry... entries) {
        change(List.of(entries));
    }

    void change(Iterable<EndpointEntry> entries) {
        list(false, entries);
    }

    private void list(boolean full, Iterable<EndpointEntry> entries) {
        EndpointSubset.ListUpdate reading = subset.beginUpdate(full);
        entries.forEach(reading::add);
        deliver(reading.commit(nowUs, LIST_INDEX));
    }

    /** Lets time pass and refreshes the subset. */
    void advance(long us) {
        nowUs += us;
        deliver(subset.refresh(nowUs));
    }

    void attemptEnded(String endpoint, boolean answered) {
        subset.recordAttempt(nowUs, endpoint, answered);
    }

    /** An attempt at each ready endpoint, of which all but the silent ones answer. */
    void attemptAll(Set<String> silent) {
        for (String endpoint : readyEndpoints()) {
            attemptEnded(endpoint, !silent.contains(endpoint));
        }
    }

    /** Applies a change as the decisions do. */
    void deliver(EndpointSubset.Change change) {
        lastChange = change;
        notifiedEntries += change.entries().size();
        if (change.full()) {
            notified.clear();
        }
        for (EndpointEntry entry : change.entries()) {
            if (entry.health() == Endpoint.Health.GONE) {
                notified.remove(entry.name());
            } else {
                notified.put(entry.name(), entry);
            }
        }
    }

    Set<String> readyEndpoints(String service) {
        return notified.values().stream()
                .filter(entry -> entry.service().equals(service) && entry.health() == Endpoint.Health.READY)
                .map(EndpointEntry::name)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    Set<String> readyEndpoints() {
        return notified.values().stream()
                .filter(entry -> entry.health() == Endpoint.Health.READY)
                .map(EndpointEntry::name)
                .collect(Collectors.toCollection(TreeSet::new));
    }
}
