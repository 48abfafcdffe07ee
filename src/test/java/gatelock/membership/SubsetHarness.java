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

/** Drives an endpoint subset with a simulated clock and tracks the endpoints that it notifies of. */
final class SubsetHarness {
    static final long START_US = 1_000_000;
    private static final long LIST_INDEX = 7;

    final EndpointSubset subset;
    /** The endpoints that a decision engine would know from the notifications, by name. */
    final Map<String, EndpointEntry> notifiedEndpoints = new TreeMap<>();

    long nowUs = START_US;
    /** Number of entries in all notifications so far. */
    int notifiedEntryCount;

    EndpointSubset.Change lastChange;

    SubsetHarness(EndpointSubset subset) {
        this.subset = subset;
    }

    /** Returns a policy that does not use a fraction of each service. */
    static EndpointSubset.Policy policy(
            long relayNumber, int zone, int maxEndpoints, int minPerService, int remotePerService, long settleUs) {
        return new EndpointSubset.Policy(relayNumber, zone, maxEndpoints, minPerService, 0, remotePerService, settleUs);
    }

    /** Returns an entry; all entries have the same address, build 1 and start time 0. */
    static EndpointEntry endpoint(String name, String service, int zone, Endpoint.Health health) {
        return new EndpointEntry(name, service, "10.0.0.1:80", zone, 0, 0, 1, health, 0);
    }

    /** Returns an entry of a ready endpoint. */
    static EndpointEntry ready(String name, String service, int zone) {
        return endpoint(name, service, zone, Endpoint.Health.READY);
    }

    /** Returns ready endpoints of a service, named SERVICE-0, SERVICE-1 and so on, evenly distributed over zones. */
    static List<EndpointEntry> service(String name, int endpoints, int zones) {
        return IntStream.range(0, endpoints)
                .mapToObj(i -> ready(name + "-" + i, name, i % zones))
                .toList();
    }

    /** Returns entries with which the endpoints are removed from the list. */
    static EndpointEntry[] gone(Collection<EndpointEntry> entries) {
        return entries.stream().map(EndpointEntry::asRemoved).toArray(EndpointEntry[]::new);
    }

    /** Commits a full list. */
    void commitFullList(Iterable<EndpointEntry> entries) {
        commit(true, entries);
    }

    /** Commits a change of the list. */
    void commitChange(EndpointEntry... entries) {
        commitChange(List.of(entries));
    }

    /** Commits a change of the list. */
    void commitChange(Iterable<EndpointEntry> entries) {
        commit(false, entries);
    }

    private void commit(boolean full, Iterable<EndpointEntry> entries) {
        EndpointSubset.ListUpdate update = subset.beginUpdate(full);
        entries.forEach(update::add);
        applyChange(update.commit(nowUs, LIST_INDEX));
    }

    /** Advances the clock and refreshes the subset. */
    void advance(long us) {
        nowUs += us;
        applyChange(subset.refresh(nowUs));
    }

    /** Records the end of an attempt at an endpoint. */
    void recordAttempt(String endpoint, boolean answered) {
        subset.recordAttempt(nowUs, endpoint, answered);
    }

    /** Records one attempt at each ready endpoint of the subset; all but the silent ones answer. */
    void recordAttemptAtEachEndpoint(Set<String> silent) {
        for (String endpoint : readyEndpoints()) {
            recordAttempt(endpoint, !silent.contains(endpoint));
        }
    }

    /** Applies a notification to the known endpoints, as the decision engine does. */
    void applyChange(EndpointSubset.Change change) {
        lastChange = change;
        notifiedEntryCount += change.entries().size();
        if (change.full()) {
            notifiedEndpoints.clear();
        }
        for (EndpointEntry entry : change.entries()) {
            if (entry.health() == Endpoint.Health.GONE) {
                notifiedEndpoints.remove(entry.name());
            } else {
                notifiedEndpoints.put(entry.name(), entry);
            }
        }
    }

    /** Returns the names of the ready endpoints of a service in the subset. */
    Set<String> readyEndpoints(String service) {
        return notifiedEndpoints.values().stream()
                .filter(entry -> entry.service().equals(service) && entry.health() == Endpoint.Health.READY)
                .map(EndpointEntry::name)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /** Returns the names of the ready endpoints in the subset. */
    Set<String> readyEndpoints() {
        return notifiedEndpoints.values().stream()
                .filter(entry -> entry.health() == Endpoint.Health.READY)
                .map(EndpointEntry::name)
                .collect(Collectors.toCollection(TreeSet::new));
    }
}
