package gatelock.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The endpoints in the subset, never more than {@code maxEndpoints}. Adds and removes them and keeps the notifications
 * that follow from that.
 */
final class SubsetMembers {
    private final int capacity;
    private final ListedServices listed;
    private final PendingChanges changes;
    private final EvictionQueue evictions;
    private final Map<String, SubsetMember> byName = new LinkedHashMap<>();

    /** An empty subset. */
    SubsetMembers(int capacity, ListedServices listed, PendingChanges changes, EvictionQueue evictions) {
        this.capacity = capacity;
        this.listed = listed;
        this.changes = changes;
        this.evictions = evictions;
    }

    /** Number of members. */
    int size() {
        return byName.size();
    }

    /** Whether an endpoint is in the subset. */
    boolean contains(String name) {
        return byName.containsKey(name);
    }

    /** The member of this name, null for none. */
    SubsetMember find(String name) {
        return byName.get(name);
    }

    /** The members in the order in which they were added. */
    List<SubsetMember> all() {
        return List.copyOf(byName.values());
    }

    /** The entries of the members in the order in which they were added. */
    List<EndpointEntry> entries() {
        return byName.values().stream().map(SubsetMember::entry).toList();
    }

    /** Adds a preferred endpoint if there is a place or another member may be removed; returns whether it was added. */
    boolean addPreferred(ServiceState service, Candidate candidate) {
        if (!makeRoom(null)) {
            return false;
        }
        insert(service, candidate, true);
        return true;
    }

    /**
     * Adds an endpoint in place of silent ones if there is a place or another member may be removed; returns whether it
     * was added. Where no endpoint of the service answers, one of its silent endpoints is removed at need.
     */
    boolean addReplacement(ServiceState service, Candidate candidate) {
        boolean allSilent = !service.members.isEmpty() && !service.hasUsableMember();
        if (!makeRoom(allSilent ? service.members.get(0) : null)) {
            return false;
        }
        insert(service, candidate, false);
        return true;
    }

    /** Removes a member; the decisions are notified that it is gone. */
    void remove(SubsetMember member) {
        remove(member, member.entry().gone());
    }

    /** Removes a member; the decisions are notified of its last entry. */
    void remove(SubsetMember member, EndpointEntry last) {
        removeSilently(member);
        changes.add(last);
        if (!member.service().hasUsableMember()) {
            // All members were silent and the search is at its end: the endpoint that left may answer again.
            listed.markChanged(member.service());
        }
    }

    /** Removes a member without a notification, for a full list: the decisions are notified of all members then. */
    void removeSilently(SubsetMember member) {
        evictions.set(member, EvictionQueue.Reason.NONE);
        member.service().members.remove(member);
        byName.remove(member.name());
    }

    /**
     * Removes a member if the subset is full; returns whether there is a place now.
     *
     * @param lastResort removed if no other member may be; null for none
     */
    private boolean makeRoom(SubsetMember lastResort) {
        if (byName.size() < capacity) {
            return true;
        }
        SubsetMember evicted = evictions.first();
        if (evicted == null) {
            evicted = lastResort;
        }
        if (evicted == null) {
            return false;
        }
        remove(evicted);
        if (evicted.isPreferred()) {
            evicted.service().preferredInDoubt = true;
            listed.markDirty(evicted.service());
        }
        return true;
    }

    private void insert(ServiceState service, Candidate candidate, boolean preferred) {
        EndpointEntry entry = listed.store().entry(candidate.place());
        SubsetMember member = new SubsetMember(service, candidate, entry, preferred);
        service.members.add(member);
        byName.put(entry.name(), member);
        changes.add(entry);
    }
}
