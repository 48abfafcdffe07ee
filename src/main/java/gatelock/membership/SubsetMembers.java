package gatelock.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The endpoints in the subset, of which there are never more than {@code maxEndpoints}. Each member that is added or
 * removed is recorded in the {@link PendingChanges}.
 */
final class SubsetMembers {
    private final int capacity;
    private final ListedServices listed;
    private final PendingChanges changes;
    private final EvictionQueue evictions;
    private final Map<String, SubsetMember> byName = new LinkedHashMap<>();

    /** Creates an empty subset that holds up to {@code capacity} members. */
    SubsetMembers(int capacity, ListedServices listed, PendingChanges changes, EvictionQueue evictions) {
        this.capacity = capacity;
        this.listed = listed;
        this.changes = changes;
        this.evictions = evictions;
    }

    /** Returns the number of members. */
    int size() {
        return byName.size();
    }

    /** Returns whether an endpoint is in the subset. */
    boolean contains(String name) {
        return byName.containsKey(name);
    }

    /** Returns the member with this name, or null if there is none. */
    SubsetMember find(String name) {
        return byName.get(name);
    }

    /** Returns the members in the order in which they were added. */
    List<SubsetMember> all() {
        return List.copyOf(byName.values());
    }

    /** Returns the entries of the members in the order in which they were added. */
    List<EndpointEntry> entries() {
        return byName.values().stream().map(SubsetMember::entry).toList();
    }

    /** Adds a preferred endpoint if the subset has room or a member may be evicted. Returns whether it was added. */
    boolean addPreferred(ServiceState service, Candidate candidate) {
        if (!makeRoom(null)) {
            return false;
        }
        insert(service, candidate, true);
        return true;
    }

    /**
     * Adds an endpoint in place of silent ones if the subset has room or a member may be evicted. If no member of the
     * service is usable, one of them may be removed to make room. Returns whether the endpoint was added.
     */
    boolean addReplacement(ServiceState service, Candidate candidate) {
        boolean allSilent = !service.members.isEmpty() && !service.hasUsableMember();
        if (!makeRoom(allSilent ? service.members.get(0) : null)) {
            return false;
        }
        insert(service, candidate, false);
        return true;
    }

    /** Removes a member and records its entry with health GONE as a pending change. */
    void remove(SubsetMember member) {
        remove(member, member.entry().asRemoved());
    }

    /** Removes a member and records its last entry as a pending change. */
    void remove(SubsetMember member, EndpointEntry lastEntry) {
        removeWithoutNotification(member);
        changes.add(lastEntry);
        if (!member.service().hasUsableMember()) {
            // No usable member is left: the search for replacements may resume, as the removed one may answer again.
            listed.markChanged(member.service());
        }
    }

    /**
     * Removes a member without recording a change. Used for full lists, after which the decision engine is sent the
     * complete subset.
     */
    void removeWithoutNotification(SubsetMember member) {
        evictions.set(member, EvictionQueue.Reason.NONE);
        member.service().members.remove(member);
        byName.remove(member.name());
    }

    /**
     * Evicts a member if the subset is full. Returns whether there is room afterwards.
     *
     * @param lastResort the member to remove if no member may be evicted, or null
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
            evicted.service().preferredPresumedSilent = true;
            listed.markDirty(evicted.service());
        }
        return true;
    }

    private void insert(ServiceState service, Candidate candidate, boolean preferred) {
        EndpointEntry entry = listed.store().entry(candidate.handle());
        SubsetMember member = new SubsetMember(service, candidate, entry, preferred);
        service.members.add(member);
        byName.put(entry.name(), member);
        changes.add(entry);
    }
}
