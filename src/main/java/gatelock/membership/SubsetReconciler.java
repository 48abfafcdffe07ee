package gatelock.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Brings the subset to what it should be by now: the services that changed, and what has become due. */
final class SubsetReconciler {
    private final EndpointSubset.Policy policy;
    private final ListedServices listed;
    private final SubsetMembers members;
    private final EvictionQueue evictions;
    private final RecoverySchedule recovery;
    private final EndpointBudget budget;
    private final CandidateSelector selector;
    private final MemberReview review;
    private final SilentEndpointReplacer replacer;

    /** A reconciler of one subset. */
    SubsetReconciler(
            EndpointSubset.Policy policy,
            ListedServices listed,
            SubsetMembers members,
            EvictionQueue evictions,
            RecoverySchedule recovery,
            EndpointBudget budget,
            CandidateSelector selector) {
        this.policy = policy;
        this.listed = listed;
        this.members = members;
        this.evictions = evictions;
        this.recovery = recovery;
        this.budget = budget;
        this.selector = selector;
        review = new MemberReview(policy, budget, evictions);
        replacer = new SilentEndpointReplacer(budget, listed, members, selector);
    }

    /** Reconciles the subset with what is listed and what its members answered. */
    void reconcile(long nowUs) {
        budget.update(nowUs);
        startRecoveries(nowUs);
        List<ServiceState> services = listed.drainDirty();
        // Before the first endpoint is added, all services are reviewed: what they no longer need makes room.
        Map<ServiceState, List<Candidate>> preferred = selectPreferred(services, nowUs);
        preferred.forEach((service, candidates) -> addPreferred(service, candidates, nowUs));
        for (ServiceState service : services) {
            replaceSilent(service, nowUs);
        }
        removeOverdue(nowUs);
    }

    private void startRecoveries(long nowUs) {
        for (ServiceState due = recovery.pollDue(nowUs); due != null; due = recovery.pollDue(nowUs)) {
            due.needsSelection = true;
            listed.markDirty(due);
        }
    }

    private Map<ServiceState, List<Candidate>> selectPreferred(List<ServiceState> services, long nowUs) {
        Map<ServiceState, List<Candidate>> preferred = new LinkedHashMap<>();
        for (ServiceState service : services) {
            if (service.needsSelection || service.readyMembers() < budget.wanted(service)) {
                preferred.put(service, selector.selectPreferred(service));
            }
            review.review(service, nowUs);
        }
        return preferred;
    }

    private void addPreferred(ServiceState service, List<Candidate> preferred, long nowUs) {
        for (Candidate candidate : preferred) {
            if (!members.contains(candidate.name())) {
                members.addPreferred(service, candidate);
            }
        }
        review.review(service, nowUs);
    }

    private void replaceSilent(ServiceState service, long nowUs) {
        int missing = review.review(service, nowUs);
        boolean preferredUsable = service.members.stream().noneMatch(SubsetMember::isPreferredButUnusable);
        if (missing > 0 && replacer.replace(service, missing)) {
            review.review(service, nowUs);
        }
        boolean preferredMissing = service.preferredMembers() < budget.wanted(service);
        if (!preferredMissing && allPreferredAnswered(service)) {
            endReplacement(service, nowUs);
        }
        boolean recovers = preferredMissing && preferredUsable;
        long recoversAtUs = SettleTimer.deadline(recovers, service.recoversAtUs, nowUs, policy.settleUs());
        recovery.set(service, recoversAtUs);
    }

    /** A preferred endpoint that was only just added again may still be silent: it has to answer first. */
    private static boolean allPreferredAnswered(ServiceState service) {
        for (SubsetMember member : service.members) {
            if (member.isPreferred() && (!member.isUsable() || member.isUnproven())) {
                return false;
            }
        }
        return true;
    }

    private void endReplacement(ServiceState service, long nowUs) {
        service.search.reset();
        service.searchExhausted = false;
        service.preferredInDoubt = false;
        review.review(service, nowUs);
    }

    private void removeOverdue(long nowUs) {
        SubsetMember overdue = evictions.firstOverdue(nowUs);
        while (overdue != null) {
            members.remove(overdue);
            overdue = evictions.firstOverdue(nowUs);
        }
    }
}
