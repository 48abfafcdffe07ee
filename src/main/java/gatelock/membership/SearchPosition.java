package gatelock.membership;

/**
 * The position that the search for replacements of silent endpoints has reached in a service's ranking. The relay's own
 * zone and the other zones are searched separately and each have their own position.
 */
final class SearchPosition {
    private Candidate lastLocal;
    private Candidate lastRemote;

    /** Returns the last candidate taken from the relay's own zone or from other zones, or null if there is none. */
    Candidate lastTaken(boolean local) {
        return local ? lastLocal : lastRemote;
    }

    /** Returns whether any candidate was taken. */
    boolean started() {
        return lastLocal != null || lastRemote != null;
    }

    /** Moves the position to just after a candidate. */
    void advance(Candidate candidate) {
        if (candidate.local()) {
            lastLocal = candidate;
        } else {
            lastRemote = candidate;
        }
    }

    /** Moves the position back to the start of the ranking. */
    void reset() {
        lastLocal = null;
        lastRemote = null;
    }

    /** Returns whether the position is after every endpoint of this rank, whatever its name. */
    boolean isAfterRank(long rank, boolean local) {
        Candidate last = lastTaken(local);
        return last != null && rank < last.rank();
    }

    /** Returns whether the position is before a candidate, so that the search has not reached it yet. */
    boolean isBefore(Candidate candidate) {
        Candidate last = lastTaken(candidate.local());
        return last == null || Candidate.BY_RANK.compare(candidate, last) > 0;
    }
}
