package gatelock.membership;

/**
 * How far the search for replacements of silent endpoints has gone along a service's ranking, which is searched
 * separately in the relay's own zone and in the others.
 */
final class SearchPosition {
    private Candidate lastLocal;
    private Candidate lastRemote;

    /** The last candidate that was taken from the own zone or from the others, null for none. */
    Candidate last(boolean local) {
        return local ? lastLocal : lastRemote;
    }

    /** Whether any candidate was taken. */
    boolean started() {
        return lastLocal != null || lastRemote != null;
    }

    /** Goes on to behind a candidate. */
    void advance(Candidate candidate) {
        if (candidate.local()) {
            lastLocal = candidate;
        } else {
            lastRemote = candidate;
        }
    }

    /** Goes back to the start of the ranking. */
    void reset() {
        lastLocal = null;
        lastRemote = null;
    }

    /** Whether a rank is in front of the position, whatever the endpoint's name. */
    boolean precedes(long rank, boolean local) {
        Candidate last = last(local);
        return last != null && rank < last.rank();
    }

    /** Whether a candidate is behind the position. */
    boolean isBefore(Candidate candidate) {
        Candidate last = last(candidate.local());
        return last == null || Candidate.BY_RANK.compare(candidate, last) > 0;
    }
}
