package gatelock.membership;

import java.util.Comparator;

/**
 * A ready endpoint that might be added to the subset.
 *
 * @param handle the handle of its record in the {@link EndpointStore}
 * @param rank its rank in the relay's ranking; the lowest rank comes first
 * @param name the endpoint's name
 * @param local whether it counts as being in the relay's own zone
 */
record Candidate(int handle, long rank, String name, boolean local) {
    /** Orders candidates by rank, and by name if their ranks are equal. */
    static final Comparator<Candidate> BY_RANK = (a, b) -> RendezvousRanking.compare(a.rank, a.name, b.rank, b.name);
}
