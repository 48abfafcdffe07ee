package gatelock.membership;

import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Members that may be removed when the subset is full, in the order in which they are removed. */
final class EvictionQueue {
    /** Why a member may be removed, in the order in which members are removed. */
    enum Reason {
        /** It is not needed any more and leaves after the settle time in any case. */
        NOT_NEEDED,
        /** It is not ready, but still listed. */
        DRAINING,
        /** It is silent and beyond the number that the service aims at. */
        SILENT,
        /** It may not be removed. */
        NONE
    }

    private final Map<Reason, Set<SubsetMember>> members = new EnumMap<>(Reason.class);

    /** An empty queue. */
    EvictionQueue() {
        for (Reason reason : Reason.values()) {
            if (reason != Reason.NONE) {
                members.put(reason, new LinkedHashSet<>());
            }
        }
    }

    /** Sets why a member may be removed; a member keeps its position while the reason stays the same. */
    void set(SubsetMember member, Reason reason) {
        Reason before = member.evictable();
        if (before == reason) {
            return;
        }
        if (before != Reason.NONE) {
            members.get(before).remove(member);
        }
        if (reason != Reason.NONE) {
            members.get(reason).add(member);
        }
        member.setEvictable(reason);
    }

    /** The member to remove first, null for none. */
    SubsetMember first() {
        for (Set<SubsetMember> ofReason : members.values()) {
            Iterator<SubsetMember> iterator = ofReason.iterator();
            if (iterator.hasNext()) {
                return iterator.next();
            }
        }
        return null;
    }

    /** A member that is not needed and whose settle time is over, null for none. */
    SubsetMember firstOverdue(long nowUs) {
        Iterator<SubsetMember> notNeeded = members.get(Reason.NOT_NEEDED).iterator();
        if (!notNeeded.hasNext()) {
            return null;
        }
        // The settle time is the same for all and the clock does not go back: the first is due first.
        SubsetMember first = notNeeded.next();
        return first.leavesAtUs() <= nowUs ? first : null;
    }
}
