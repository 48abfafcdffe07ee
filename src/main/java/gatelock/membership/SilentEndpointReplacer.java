package gatelock.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Adds endpoints in place of silent ones. It goes on along the ranking, each time by as many endpoints as were silent so
 * far, so that a service of which nearly all endpoints are silent is searched in a few rounds.
 */
final class SilentEndpointReplacer {
    /**
     * A service grows to this many times its target, then the endpoints that have been silent longest are removed.
     * Without a bound, one service that is down would take all places from others that need to grow.
     */
    private static final int MAX_GROWTH = 8;

    private final EndpointBudget budget;
    private final ListedServices listed;
    private final SubsetMembers members;
    private final CandidateSelector selector;

    /** A replacer of members of the subset. */
    SilentEndpointReplacer(
            EndpointBudget budget, ListedServices listed, SubsetMembers members, CandidateSelector selector) {
        this.budget = budget;
        this.listed = listed;
        this.members = members;
        this.selector = selector;
    }

    /**
     * Adds endpoints to a service.
     *
     * @param missing how many usable members the service lacks, at least 1
     * @return whether there was anything to look for, so that the members have to be reviewed again
     */
    boolean replace(ServiceState service, int missing) {
        boolean allSilent = !service.hasUsableMember();
        if (service.searchExhausted && !allSilent) {
            return false;
        }
        int maxMembers = Math.max(1, MAX_GROWTH * budget.target(service));
        int silent = (int) service.members.stream()
                .filter(member -> member.isReady() && !member.isUsable())
                .count();
        int count = Math.min(maxMembers / 2, Math.max(missing, silent));
        List<Candidate> next = next(service, count);
        if (next.isEmpty()) {
            endSearch(service, allSilent);
        }
        for (Candidate candidate : next) {
            if (service.members.size() >= maxMembers) {
                removeLongestNotNeeded(service);
            }
            if (members.addReplacement(service, candidate)) {
                service.search.advance(candidate);
            }
        }
        return true;
    }

    /** The next candidates: from the own zone first while one of its endpoints is usable, else from the others. */
    private List<Candidate> next(ServiceState service, int count) {
        boolean localFirst = service.members.isEmpty()
                || service.members.stream().anyMatch(member -> member.isLocal() && member.isUsable());
        CandidateSelector.Ranked ranked = selector.next(service, count);
        List<Candidate> next = new ArrayList<>(localFirst ? ranked.local() : ranked.remote());
        next.addAll(localFirst ? ranked.remote() : ranked.local());
        return next.subList(0, Math.min(count, next.size()));
    }

    private void endSearch(ServiceState service, boolean allSilent) {
        service.searchExhausted = true;
        if (allSilent && service.search.started()) {
            // Endpoints that were removed meanwhile may answer again.
            service.search.reset();
            listed.markDirty(service);
        }
    }

    private void removeLongestNotNeeded(ServiceState service) {
        service.members.stream()
                .filter(member -> member.evictable() == EvictionQueue.Reason.NOT_NEEDED)
                .min(Comparator.comparingLong(SubsetMember::leavesAtUs))
                .ifPresent(members::remove);
    }
}
