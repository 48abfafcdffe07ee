package gatelock.membership;

import gatelock.api.Endpoint;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/** Selects ready endpoints of a service by the relay's ranking, separately for the relay's own zone and other zones. */
final class CandidateSelector {
    /**
     * The best-ranked candidates, in ranking order.
     *
     * @param local candidates in the relay's own zone
     * @param remote candidates in other zones
     */
    record RankedCandidates(List<Candidate> local, List<Candidate> remote) {}

    private final EndpointSubset.Policy policy;
    private final RendezvousRanking ranking;
    private final ListedServices listed;
    private final EndpointBudget budget;
    private final SubsetMembers members;

    /** Creates a selector over the listed endpoints. */
    CandidateSelector(
            EndpointSubset.Policy policy,
            RendezvousRanking ranking,
            ListedServices listed,
            EndpointBudget budget,
            SubsetMembers members) {
        this.policy = policy;
        this.ranking = ranking;
        this.listed = listed;
        this.budget = budget;
        this.members = members;
    }

    /** Returns the listed endpoint with this handle as a candidate. */
    Candidate candidate(int handle) {
        return candidate(handle, ranking.rank(listed.store().nameHash(handle)));
    }

    private Candidate candidate(int handle, long rank) {
        EndpointStore store = listed.store();
        return new Candidate(handle, rank, store.name(handle), policy.isLocal(store.zone(handle)));
    }

    /**
     * Selects the service's preferred endpoints and returns them. Updates which members are marked as preferred to
     * match the selection.
     */
    List<Candidate> selectPreferred(ServiceState service) {
        int target = budget.target(service);
        RankedCandidates ranked = firstCandidates(service, target, null);
        int local = Math.max(target - policy.remoteTarget(target), target - ranked.remote.size());
        local = Math.min(ranked.local.size(), local);
        int remote = Math.min(ranked.remote.size(), target - local);
        List<Candidate> preferred = new ArrayList<>(ranked.local.subList(0, local));
        preferred.addAll(ranked.remote.subList(0, remote));
        for (SubsetMember member : service.members) {
            member.setPreferred(false);
        }
        for (Candidate candidate : preferred) {
            SubsetMember member = members.find(candidate.name());
            if (member != null) {
                member.setPreferred(true);
            }
        }
        service.needsSelection = false;
        return preferred;
    }

    /**
     * Returns the next candidates after the service's search position that are not in the subset.
     *
     * @param limit maximum number of candidates from the relay's own zone, and likewise from other zones
     */
    RankedCandidates nextCandidates(ServiceState service, int limit) {
        return firstCandidates(service, limit, service.search);
    }

    /**
     * Returns whether an endpoint that is not in the subset might be selected as preferred. A false positive is
     * possible and only costs one unnecessary selection.
     */
    boolean mayBePreferred(ServiceState service, Candidate candidate) {
        int target = budget.target(service);
        int preferred = 0;
        int preferredSameLocality = 0;
        for (SubsetMember member : service.members) {
            if (!member.isPreferred()) {
                continue;
            }
            preferred++;
            if (member.isLocal() == candidate.local()) {
                preferredSameLocality++;
                if (RendezvousRanking.compare(candidate.rank(), candidate.name(), member.rank(), member.name()) < 0) {
                    return true;
                }
            }
        }
        int remoteTarget = policy.remoteTarget(target);
        int targetSameLocality = candidate.local() ? target - remoteTarget : remoteTarget;
        return preferred < target || preferredSameLocality < targetSameLocality;
    }

    /**
     * Returns the best-ranked ready endpoints of a service.
     *
     * @param limit maximum number of candidates from the relay's own zone, and likewise from other zones
     * @param after if not null, only endpoints after this position that are not in the subset are considered
     */
    private RankedCandidates firstCandidates(ServiceState service, int limit, SearchPosition after) {
        PriorityQueue<Candidate> local = new PriorityQueue<>(Candidate.BY_RANK.reversed());
        PriorityQueue<Candidate> remote = new PriorityQueue<>(Candidate.BY_RANK.reversed());
        EndpointStore store = listed.store();
        int handle = limit > 0 ? store.first(service.name()) : RecordArena.NONE;
        for (; handle != RecordArena.NONE; handle = store.next(handle)) {
            if (store.health(handle) != Endpoint.Health.READY) {
                continue;
            }
            boolean isLocal = policy.isLocal(store.zone(handle));
            PriorityQueue<Candidate> first = isLocal ? local : remote;
            long rank = ranking.rank(store.nameHash(handle));
            // The rank alone rules out most endpoints, so their names need not be read.
            boolean beyondLimit =
                    first.size() == limit && rank > first.element().rank();
            if (beyondLimit || (after != null && after.isAfterRank(rank, isLocal))) {
                continue;
            }
            Candidate candidate = candidate(handle, rank);
            if (after != null && (members.contains(candidate.name()) || !after.isBefore(candidate))) {
                continue;
            }
            first.add(candidate);
            if (first.size() > limit) {
                first.remove();
            }
        }
        return new RankedCandidates(sorted(local), sorted(remote));
    }

    private static List<Candidate> sorted(PriorityQueue<Candidate> candidates) {
        return candidates.stream().sorted(Candidate.BY_RANK).toList();
    }
}
