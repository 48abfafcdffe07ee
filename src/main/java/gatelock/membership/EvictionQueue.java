package gatelock.membership;

import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Members that may be evicted when the subset is full, in eviction order. */
final class EvictionQueue {
    /** Why a member may be evicted. The order of the constants is the order of eviction. */
    enum Reason {
        /** The member is no longer needed and will be removed after the settle time in any case. */
        NOT_NEEDED,
        /** The member is not ready but still listed. */
        DRAINING,
        /**
         * The member exceeds the number of endpoints that the service should have, but is kept while there is room: it
         * is a preferred endpoint, usually a silent one, or a replacement that has not answered yet.
         */
        SILENT,
        /** The member must not be evicted. */
        NONE
    }

    private final Map<Reason, Set<SubsetMember>> membersByReason = new EnumMap<>(Reason.class);

    /** Creates an empty queue. */
    EvictionQueue() {
        for (Reason reason : Reason.values()) {
            if (reason != Reason.NONE) {
                membersByReason.put(reason, new LinkedHashSet<>());
            }
        }
    }

    /** Sets why a member may be evicted. A member keeps its position while its reason stays the same. */
    void set(SubsetMember member, Reason reason) {
        Reason previousReason = member.evictionReason();
        if (previousReason == reason) {
            return;
        }
        if (previousReason != Reason.NONE) {
            membersByReason.get(previousReason).remove(member);
        }
        if (reason != Reason.NONE) {
            membersByReason.get(reason).add(member);
        }
        member.setEvictionReason(reason);
    }

    /** Returns the member to evict first, or null if there is none. */
    SubsetMember first() {
        for (Set<SubsetMember> ofReason : membersByReason.values()) {
            Iterator<SubsetMember> iterator = ofReason.iterator();
            if (iterator.hasNext()) {
                return iterator.next();
            }
        }
        return null;
    }

    /** Returns an unneeded member whose settle time has passed, or null if there is none. */
    SubsetMember firstOverdue(long nowUs) {
        Iterator<SubsetMember> notNeeded =
                membersByReason.get(Reason.NOT_NEEDED).iterator();
        if (!notNeeded.hasNext()) {
            return null;
        }
        // All members have the same settle time and the clock never goes back, so the first member is due first.
        SubsetMember first = notNeeded.next();
        return first.removalDueUs() <= nowUs ? first : null;
    }
}
