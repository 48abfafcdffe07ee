package gatelock.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Adds and removes members of the subset for the services that have changed and for the deadlines that have passed. */
final class SubsetReconciler {
    private final EndpointSubset.Policy policy;
    private final ListedServices listed;
    private final SubsetMembers members;
    private final EvictionQueue evictions;
    private final RecoverySchedule recovery;
    private final EndpointBudget budget;
    private final CandidateSelector selector;
    private final MemberRetention memberRetention;
    private final SilentEndpointReplacer replacer;

    /** Creates a reconciler of one subset. */
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
        memberRetention = new MemberRetention(policy, budget, evictions);
        replacer = new SilentEndpointReplacer(budget, listed, members, selector);
    }

    /** Reconciles the subset with the listed endpoints and the recorded outcomes of attempts. */
    void reconcile(long nowUs) {
        budget.update(nowUs);
        startRecoveries(nowUs);
        List<ServiceState> services = listed.drainDirty();
        // All services are reviewed before the first endpoint is added, so that unneeded members can make room for it.
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
            if (service.needsSelection || service.readyMemberCount() < budget.wanted(service)) {
                preferred.put(service, selector.selectPreferred(service));
            }
            memberRetention.review(service, nowUs);
        }
        return preferred;
    }

    private void addPreferred(ServiceState service, List<Candidate> preferred, long nowUs) {
        for (Candidate candidate : preferred) {
            if (!members.contains(candidate.name())) {
                members.addPreferred(service, candidate);
            }
        }
        memberRetention.review(service, nowUs);
    }

    private void replaceSilent(ServiceState service, long nowUs) {
        int missingUsable = memberRetention.review(service, nowUs);
        boolean preferredUsable = service.members.stream().noneMatch(SubsetMember::isPreferredButUnusable);
        if (missingUsable > 0 && replacer.replace(service, missingUsable)) {
            memberRetention.review(service, nowUs);
        }
        boolean preferredMissing = service.preferredMemberCount() < budget.wanted(service);
        if (!preferredMissing && allPreferredAnswered(service)) {
            endReplacement(service, nowUs);
        }
        boolean recoveryPending = preferredMissing && preferredUsable;
        long recoveryDueUs = SettleTimer.deadline(recoveryPending, service.recoveryDueUs, nowUs, policy.settleUs());
        recovery.set(service, recoveryDueUs);
    }

    /**
     * Returns whether every preferred member is usable and proven. A preferred endpoint that was just added again may
     * still be silent, so it has to answer first.
     */
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
        service.preferredPresumedSilent = false;
        memberRetention.review(service, nowUs);
    }

    private void removeOverdue(long nowUs) {
        SubsetMember overdue = evictions.firstOverdue(nowUs);
        while (overdue != null) {
            members.remove(overdue);
            overdue = evictions.firstOverdue(nowUs);
        }
    }
}
