package gatelock.membership;

import gatelock.api.Endpoint;

/** An endpoint in the subset: the decisions were notified of it. Members are ordered by the relay's ranking. */
final class SubsetMember implements Comparable<SubsetMember> {
    /** An endpoint is silent after this many attempts in a row without an answer: one alone may be due to load. */
    private static final int SILENT_ATTEMPTS = 2;

    private final ServiceState service;
    private final long rank;
    private EndpointEntry entry;
    private boolean local;
    private boolean preferred;
    private int unanswered;
    /** Added while others are silent, and without an answer since. */
    private boolean unproven;
    /** When it leaves as no longer needed. */
    private long leavesAtUs = SettleTimer.NEVER;

    private EvictionQueue.Reason evictable = EvictionQueue.Reason.NONE;

    /**
     * An endpoint that is added to the subset.
     *
     * @param service the endpoint's service
     * @param candidate as it was selected
     * @param entry as it is listed
     * @param preferred whether it was added as one of the preferred endpoints and not in place of a silent one
     */
    SubsetMember(ServiceState service, Candidate candidate, EndpointEntry entry, boolean preferred) {
        this.service = service;
        this.rank = candidate.rank();
        this.entry = entry;
        this.local = candidate.local();
        this.preferred = preferred;
        // A preferred endpoint that left while it was silent would otherwise make room for itself by the removal of an
        // endpoint that answers, which would be lost if the preferred one is silent still.
        unanswered = preferred && service.preferredInDoubt ? SILENT_ATTEMPTS : 0;
        unproven = !preferred || service.isReplacing();
    }

    ServiceState service() {
        return service;
    }

    String name() {
        return entry.name();
    }

    long rank() {
        return rank;
    }

    /** The entry of which the decisions were last notified. */
    EndpointEntry entry() {
        return entry;
    }

    /** Whether it is in the relay's own zone. */
    boolean isLocal() {
        return local;
    }

    /** Whether it is among the first of the ranking that the service aims at. */
    boolean isPreferred() {
        return preferred;
    }

    void setPreferred(boolean preferred) {
        this.preferred = preferred;
    }

    /** Whether it was added while others are silent and has not answered since. */
    boolean isUnproven() {
        return unproven;
    }

    /** Whether it is listed as ready. */
    boolean isReady() {
        return entry.health() == Endpoint.Health.READY;
    }

    /** Whether it is ready and not silent. */
    boolean isUsable() {
        return isReady() && unanswered < SILENT_ATTEMPTS;
    }

    /** Whether it is preferred and either silent or not ready. */
    boolean isPreferredButUnusable() {
        return preferred && !isUsable();
    }

    /** Takes over a new entry of the same endpoint and service. */
    void update(EndpointEntry now, boolean nowLocal) {
        if (entry.startUs() != now.startUs() || entry.build() != now.build()) {
            // Another process of the same name: nothing is known of it.
            unanswered = 0;
            unproven = false;
        }
        entry = now;
        local = nowLocal;
    }

    /** Counts an attempt; returns whether that changed what the subset has to know of the endpoint. */
    boolean recordAttempt(boolean answered) {
        boolean wasUsable = isUsable();
        boolean wasUnproven = unproven;
        unanswered = answered ? 0 : Math.min(SILENT_ATTEMPTS, unanswered + 1);
        unproven &= !answered;
        return isUsable() != wasUsable || unproven != wasUnproven;
    }

    /** When it leaves as no longer needed, {@link SettleTimer#NEVER} where it does not. */
    long leavesAtUs() {
        return leavesAtUs;
    }

    void setLeavesAtUs(long leavesAtUs) {
        this.leavesAtUs = leavesAtUs;
    }

    /** Why it may be removed when a place is needed; kept by the {@link EvictionQueue}. */
    EvictionQueue.Reason evictable() {
        return evictable;
    }

    /** For the {@link EvictionQueue} alone. */
    void setEvictable(EvictionQueue.Reason evictable) {
        this.evictable = evictable;
    }

    @Override
    public int compareTo(SubsetMember other) {
        return RendezvousRanking.compare(rank, name(), other.rank, other.name());
    }
}
