package gatelock.membership;

import java.util.Comparator;

/**
 * A ready endpoint that might be added to the subset.
 *
 * @param place of its record in the {@link EndpointStore}
 * @param rank its position in the relay's ranking: the lowest comes first
 * @param name the endpoint's name
 * @param local whether it is in the relay's own zone
 */
record Candidate(int place, long rank, String name, boolean local) {
    /** The order of the ranking. */
    static final Comparator<Candidate> BY_RANK = (a, b) -> RendezvousRanking.compare(a.rank, a.name, b.rank, b.name);
}
