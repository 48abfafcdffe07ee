package gatelock.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Adds endpoints in place of silent ones. Each round continues along the ranking by as many endpoints as are silent so
 * far, or are missing if that is more, so that a service whose endpoints are nearly all silent is searched in a few
 * rounds.
 */
final class SilentEndpointReplacer {
    /**
     * A service grows to at most this many times its target; beyond that, its longest unneeded endpoints are removed.
     * Without a bound, one service that is down would take all slots from other services that need to grow.
     */
    private static final int MAX_GROWTH_FACTOR = 8;

    private final EndpointBudget budget;
    private final ListedServices listed;
    private final SubsetMembers members;
    private final CandidateSelector selector;

    /** Creates a replacer for members of the subset. */
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
     * @return whether a search was made, so that the members have to be reviewed again
     */
    boolean replace(ServiceState service, int missing) {
        boolean allSilent = !service.hasUsableMember();
        if (service.searchExhausted && !allSilent) {
            return false;
        }
        int maxMembers = Math.max(1, MAX_GROWTH_FACTOR * budget.target(service));
        int silent = (int) service.members.stream()
                .filter(member -> member.isReady() && !member.isUsable())
                .count();
        int count = Math.min(maxMembers / 2, Math.max(missing, silent));
        List<Candidate> next = nextCandidates(service, count);
        if (next.isEmpty()) {
            endSearch(service, allSilent);
        }
        for (Candidate candidate : next) {
            if (service.members.size() >= maxMembers) {
                removeLongestUnneeded(service);
            }
            if (members.addReplacement(service, candidate)) {
                service.search.advance(candidate);
            }
        }
        return true;
    }

    /**
     * Returns the next candidates. Those in the relay's own zone come first if the service has no members or a usable
     * member in that zone; otherwise those in other zones come first.
     */
    private List<Candidate> nextCandidates(ServiceState service, int count) {
        boolean localFirst = service.members.isEmpty()
                || service.members.stream().anyMatch(member -> member.isLocal() && member.isUsable());
        CandidateSelector.RankedCandidates ranked = selector.nextCandidates(service, count);
        List<Candidate> next = new ArrayList<>(localFirst ? ranked.local() : ranked.remote());
        next.addAll(localFirst ? ranked.remote() : ranked.local());
        return next.subList(0, Math.min(count, next.size()));
    }

    private void endSearch(ServiceState service, boolean allSilent) {
        service.searchExhausted = true;
        if (allSilent && service.search.started()) {
            // Endpoints that were removed during the search may answer again, so the search starts over.
            service.search.reset();
            listed.markDirty(service);
        }
    }

    private void removeLongestUnneeded(ServiceState service) {
        service.members.stream()
                .filter(member -> member.evictionReason() == EvictionQueue.Reason.NOT_NEEDED)
                .min(Comparator.comparingLong(SubsetMember::removalDueUs))
                .ifPresent(members::remove);
    }
}
