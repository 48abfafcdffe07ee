package gatelock.membership;

import java.util.Comparator;
import java.util.List;

/** Decides which members of a service are kept, which are removed after the settle time and which may be evicted. */
final class MemberRetention {
    private final EndpointSubset.Policy policy;
    private final EndpointBudget budget;
    private final EvictionQueue evictions;

    /** Creates an instance that keeps as many endpoints of each service as the budget grants. */
    MemberRetention(EndpointSubset.Policy policy, EndpointBudget budget, EvictionQueue evictions) {
        this.policy = policy;
        this.budget = budget;
        this.evictions = evictions;
    }

    /**
     * Updates the removal deadline and eviction reason of each member of a service.
     *
     * @return how many usable members are missing; negative if there are more than wanted
     */
    int review(ServiceState service, long nowUs) {
        int wanted = budget.wanted(service);
        int position = 0;
        int usable = 0;
        for (SubsetMember member : readyMembersByPriority(service)) {
            boolean withinTarget = position < wanted;
            position++;
            if (member.isUsable()) {
                usable++;
            }
            reviewReady(service, member, withinTarget, nowUs);
        }
        for (SubsetMember member : service.members) {
            if (!member.isReady()) {
                member.setPreferred(false);
                member.setRemovalDueUs(SettleTimer.NEVER);
                evictions.set(member, EvictionQueue.Reason.DRAINING);
            }
        }
        return wanted - usable;
    }

    private void reviewReady(ServiceState service, SubsetMember member, boolean withinTarget, long nowUs) {
        // A replacement is not removed before an attempt has shown whether it answers.
        boolean awaitingFirstAnswer = service.isReplacing() && member.isUsable() && member.isUnproven();
        boolean surplus = !withinTarget && !member.isPreferred() && !awaitingFirstAnswer;
        member.setRemovalDueUs(SettleTimer.deadline(surplus, member.removalDueUs(), nowUs, policy.settleUs()));
        if (surplus) {
            evictions.set(member, EvictionQueue.Reason.NOT_NEEDED);
        } else if (withinTarget) {
            evictions.set(member, EvictionQueue.Reason.NONE);
        } else {
            evictions.set(member, EvictionQueue.Reason.SILENT);
        }
    }

    /**
     * Returns the ready members, those most worth keeping first: usable before silent ones, then proven before unproven
     * ones while silent endpoints are being replaced, then preferred before other ones, then by rank.
     */
    private static List<SubsetMember> readyMembersByPriority(ServiceState service) {
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
