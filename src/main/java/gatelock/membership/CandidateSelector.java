package gatelock.membership;

import gatelock.api.Endpoint;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/** Selects ready endpoints of a service by the relay's ranking, from its own zone and from the others. */
final class CandidateSelector {
    /** The first candidates of the ranking, in its order, from the relay's own zone and from the others. */
    record Ranked(List<Candidate> local, List<Candidate> remote) {}

    private final EndpointSubset.Policy policy;
    private final RendezvousRanking ranking;
    private final ListedServices listed;
    private final EndpointBudget budget;
    private final SubsetMembers members;

    /** A selector of what is listed. */
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

    /** The listed endpoint at a place as a candidate. */
    Candidate candidate(int place) {
        return candidate(place, ranking.rank(listed.store().nameHash(place)));
    }

    private Candidate candidate(int place, long rank) {
        EndpointStore store = listed.store();
        return new Candidate(place, rank, store.name(place), policy.isLocal(store.zone(place)));
    }

    /** Selects the service's preferred endpoints, marks those that are in the subset already, and returns all. */
    List<Candidate> selectPreferred(ServiceState service) {
        int target = budget.target(service);
        Ranked ranked = first(service, target, null);
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

    /** The next candidates behind the service's search position that are not in the subset. */
    Ranked next(ServiceState service, int limit) {
        return first(service, limit, service.search);
    }

    /**
     * Whether an endpoint that is not in the subset would be selected as preferred. True at times where it would not,
     * which costs one selection.
     */
    boolean mayBePreferred(ServiceState service, Candidate candidate) {
        int target = budget.target(service);
        int preferred = 0;
        int preferredAlike = 0;
        for (SubsetMember member : service.members) {
            if (!member.isPreferred()) {
                continue;
            }
            preferred++;
            if (member.isLocal() == candidate.local()) {
                preferredAlike++;
                if (RendezvousRanking.compare(candidate.rank(), candidate.name(), member.rank(), member.name()) < 0) {
                    return true;
                }
            }
        }
        int remoteTarget = policy.remoteTarget(target);
        int targetAlike = candidate.local() ? target - remoteTarget : remoteTarget;
        return preferred < target || preferredAlike < targetAlike;
    }

    /**
     * The first ready endpoints of a service.
     *
     * @param limit candidates from the own zone, and as many from the others
     * @param after only candidates behind this position that are not in the subset; null for all
     */
    private Ranked first(ServiceState service, int limit, SearchPosition after) {
        PriorityQueue<Candidate> local = new PriorityQueue<>(Candidate.BY_RANK.reversed());
        PriorityQueue<Candidate> remote = new PriorityQueue<>(Candidate.BY_RANK.reversed());
        EndpointStore store = listed.store();
        int place = limit > 0 ? store.first(service.name()) : RecordArena.NONE;
        for (; place != RecordArena.NONE; place = store.next(place)) {
            if (store.health(place) != Endpoint.Health.READY) {
                continue;
            }
            boolean isLocal = policy.isLocal(store.zone(place));
            PriorityQueue<Candidate> first = isLocal ? local : remote;
            long rank = ranking.rank(store.nameHash(place));
            // Most endpoints are ruled out by the rank alone, before their names are read.
            boolean beyondLimit =
                    first.size() == limit && rank > first.element().rank();
            if (beyondLimit || (after != null && after.precedes(rank, isLocal))) {
                continue;
            }
            Candidate candidate = candidate(place, rank);
            if (after != null && (members.contains(candidate.name()) || !after.isBefore(candidate))) {
                continue;
            }
            first.add(candidate);
            if (first.size() > limit) {
                first.remove();
            }
        }
        return new Ranked(sorted(local), sorted(remote));
    }

    private static List<Candidate> sorted(PriorityQueue<Candidate> candidates) {
        return candidates.stream().sorted(Candidate.BY_RANK).toList();
    }
}
