package gatelock.membership;

import gatelock.api.Endpoint;
import java.util.ArrayList;
import java.util.List;

/** Applies full lists and changes of the list to what is listed and to the members of the subset. */
final class ListApplier {
    private final EndpointSubset.Policy policy;
    private final ListedServices listed;
    private final SubsetMembers members;
    private final CandidateSelector selector;
    private final PendingChanges changes;

    /** An applier for one subset. */
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

    /** Replaces all that is listed. No notifications are made: the decisions are notified of all members afterwards. */
    void applyFull(EndpointStore staged) {
        removeGone(staged);
        listed.replaceStore(staged);
        for (SubsetMember member : members.all()) {
            int place = staged.find(member.name());
            EndpointEntry now = place == RecordArena.NONE ? null : staged.entry(place);
            if (now == null || !now.service().equals(member.service().name())) {
                members.removeSilently(member);
            } else {
                member.update(now, policy.isLocal(now.zone()));
            }
        }
        staged.serviceNames().forEach(listed::service);
        for (ServiceState service : listed.services()) {
            service.needsSelection = true;
            listed.markChanged(service);
        }
    }

    /** Applies a change of the list, in the order of the staged store. */
    void applyChange(EndpointStore staged) {
        staged.forEach(place -> applyEntry(staged.entry(place)));
    }

    private static void removeGone(EndpointStore staged) {
        List<String> gone = new ArrayList<>();
        staged.forEach(place -> {
            if (staged.health(place) == Endpoint.Health.GONE) {
                gone.add(staged.name(place));
            }
        });
        gone.forEach(staged::remove);
    }

    private void applyEntry(EndpointEntry entry) {
        EndpointStore store = listed.store();
        int before = store.find(entry.name());
        if (before != RecordArena.NONE) {
            listed.markChanged(listed.service(store.entry(before).service()));
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
        int place = store.put(entry);
        ServiceState service = listed.service(entry.service());
        listed.markChanged(service);
        if (member != null) {
            updateMember(service, member, entry);
        } else if (entry.health() == Endpoint.Health.READY) {
            service.needsSelection |= selector.mayBePreferred(service, selector.candidate(place));
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
        EndpointEntry before = member.entry();
        if (!before.equals(entry)) {
            changes.add(entry);
        }
        if (before.zone() != entry.zone() || before.health() != entry.health()) {
            service.needsSelection = true;
        }
        member.update(entry, policy.isLocal(entry.zone()));
    }
}
