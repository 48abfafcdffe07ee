package gatelock.membership;

import java.util.Comparator;
import java.util.List;

/** Decides which members of a service stay, which leave after the settle time and which may be removed at need. */
final class MemberReview {
    private final EndpointSubset.Policy policy;
    private final EndpointBudget budget;
    private final EvictionQueue evictions;

    /** A review by the number of endpoints that the budget wants of each service. */
    MemberReview(EndpointSubset.Policy policy, EndpointBudget budget, EvictionQueue evictions) {
        this.policy = policy;
        this.budget = budget;
        this.evictions = evictions;
    }

    /** Reviews the members of a service; returns how many usable ones are missing, negative for too many. */
    int review(ServiceState service, long nowUs) {
        int wanted = budget.wanted(service);
        int position = 0;
        int usable = 0;
        for (SubsetMember member : readyMembersByWorth(service)) {
            boolean stays = position < wanted;
            position++;
            if (member.isUsable()) {
                usable++;
            }
            reviewReady(service, member, stays, nowUs);
        }
        for (SubsetMember member : service.members) {
            if (!member.isReady()) {
                member.setPreferred(false);
                member.setLeavesAtUs(SettleTimer.NEVER);
                evictions.set(member, EvictionQueue.Reason.DRAINING);
            }
        }
        return wanted - usable;
    }

    private void reviewReady(ServiceState service, SubsetMember member, boolean stays, long nowUs) {
        // A replacement is not removed before it was tried.
        boolean onTrial = service.isReplacing() && member.isUsable() && member.isUnproven();
        boolean leaves = !stays && !member.isPreferred() && !onTrial;
        member.setLeavesAtUs(SettleTimer.deadline(leaves, member.leavesAtUs(), nowUs, policy.settleUs()));
        if (leaves) {
            evictions.set(member, EvictionQueue.Reason.NOT_NEEDED);
        } else if (stays) {
            evictions.set(member, EvictionQueue.Reason.NONE);
        } else {
            evictions.set(member, EvictionQueue.Reason.SILENT);
        }
    }

    /** Ready members: usable ones first, of these proven ones, of these preferred ones, then by rank. */
    private static List<SubsetMember> readyMembersByWorth(ServiceState service) {
        boolean replacing = service.isReplacing();
        return service.members.stream()
                .filter(SubsetMember::isReady)
                .sorted(Comparator.comparing((SubsetMember member) -> !member.isUsable())
                        .thenComparing(member -> replacing && member.isUnproven())
                        .thenComparing(member -> !member.isPreferred())
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }
}
