package gatelock.membership;

import gatelock.api.Endpoint;
import java.util.ArrayList;
import java.util.List;

/** Applies full and incremental list updates to the listed endpoints and to the members of the subset. */
final class ListApplier {
    private final EndpointSubset.Policy policy;
    private final ListedServices listed;
    private final SubsetMembers members;
    private final CandidateSelector selector;
    private final PendingChanges changes;

    /** Creates an applier for one subset. */
    ListApplier(
            EndpointSubset.Policy policy,
            ListedServices listed,
            SubsetMembers members,
            CandidateSelector selector,
            PendingChanges changes) {
        this.policy = policy;
        this.listed = listed;
        this.members = members;
        this.selector = selector;
        this.changes = changes;
    }

    /**
     * Replaces all listed endpoints. Records no pending changes, because the decision engine is sent the complete
     * subset after a full list.
     */
    void applyFull(EndpointStore staged) {
        dropRemovedEntries(staged);
        listed.replaceStore(staged);
        for (SubsetMember member : members.all()) {
            int handle = staged.find(member.name());
            EndpointEntry updated = handle == RecordArena.NONE ? null : staged.entry(handle);
            if (updated == null || !updated.service().equals(member.service().name())) {
                members.removeWithoutNotification(member);
            } else {
                member.update(updated, policy.isLocal(updated.zone()));
            }
        }
        staged.serviceNames().forEach(listed::service);
        for (ServiceState service : listed.services()) {
            service.needsSelection = true;
            listed.markChanged(service);
        }
    }

    /** Applies an incremental update, in the iteration order of the staged store. */
    void applyChange(EndpointStore staged) {
        staged.forEach(handle -> applyEntry(staged.entry(handle)));
    }

    private static void dropRemovedEntries(EndpointStore staged) {
        List<String> removedNames = new ArrayList<>();
        staged.forEach(handle -> {
            if (staged.health(handle) == Endpoint.Health.GONE) {
                removedNames.add(staged.name(handle));
            }
        });
        removedNames.forEach(staged::remove);
    }

    private void applyEntry(EndpointEntry entry) {
        EndpointStore store = listed.store();
        int previousHandle = store.find(entry.name());
        if (previousHandle != RecordArena.NONE) {
            listed.markChanged(listed.service(store.entry(previousHandle).service()));
        }
        SubsetMember member = members.find(entry.name());
        if (member != null && endsMembership(member, entry)) {
            removeMember(member, entry);
            member = null;
        }
        if (entry.health() == Endpoint.Health.GONE) {
            store.remove(entry.name());
            return;
        }
        int handle = store.put(entry);
        ServiceState service = listed.service(entry.service());
        listed.markChanged(service);
        if (member != null) {
            updateMember(service, member, entry);
        } else if (entry.health() == Endpoint.Health.READY) {
            service.needsSelection |= selector.mayBePreferred(service, selector.candidate(handle));
        }
    }

    private static boolean endsMembership(SubsetMember member, EndpointEntry entry) {
        return entry.health() == Endpoint.Health.GONE
                || !entry.service().equals(member.service().name());
    }

    private void removeMember(SubsetMember member, EndpointEntry entry) {
        member.service().needsSelection |= member.isPreferred();
        if (entry.health() == Endpoint.Health.GONE) {
            members.remove(member, entry);
        } else {
            members.remove(member);
        }
    }

    private void updateMember(ServiceState service, SubsetMember member, EndpointEntry entry) {
        EndpointEntry previous = member.entry();
        if (!previous.equals(entry)) {
            changes.add(entry);
        }
        if (previous.zone() != entry.zone() || previous.health() != entry.health()) {
            service.needsSelection = true;
        }
        member.update(entry, policy.isLocal(entry.zone()));
    }
}
