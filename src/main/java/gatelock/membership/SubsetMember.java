package gatelock.membership;

import gatelock.api.Endpoint;

/** An endpoint in the subset, which the decision engine may use. Members are ordered by the relay's ranking. */
final class SubsetMember implements Comparable<SubsetMember> {
    /**
     * An endpoint counts as silent after this many consecutive unanswered attempts; a single one may be due to load.
     */
    private static final int SILENCE_THRESHOLD = 2;

    private final ServiceState service;
    private final long rank;
    private EndpointEntry entry;
    private boolean local;
    private boolean preferred;
    private int consecutiveUnanswered;
    /** Whether it was added while silent endpoints were being replaced and has not answered since. */
    private boolean unproven;
    /** When it is removed because it is no longer needed. */
    private long removalDueUs = SettleTimer.NEVER;

    private EvictionQueue.Reason evictionReason = EvictionQueue.Reason.NONE;

    /**
     * Creates a member for an endpoint that is added to the subset.
     *
     * @param service the endpoint's service
     * @param candidate the endpoint as it was selected
     * @param entry the endpoint as it is listed
     * @param preferred whether it is added as a preferred endpoint rather than in place of a silent one
     */
    SubsetMember(ServiceState service, Candidate candidate, EndpointEntry entry, boolean preferred) {
        this.service = service;
        this.rank = candidate.rank();
        this.entry = entry;
        this.local = candidate.local();
        this.preferred = preferred;
        // A preferred endpoint that was evicted while it was silent must answer before it counts as usable.
        // Otherwise its return would cause the removal of an endpoint that answers, even if the preferred one is still
        // silent.
        consecutiveUnanswered = preferred && service.preferredPresumedSilent ? SILENCE_THRESHOLD : 0;
        unproven = !preferred || service.isReplacing();
    }

    /** Returns the service of the endpoint. */
    ServiceState service() {
        return service;
    }

    /** Returns the name of the endpoint. */
    String name() {
        return entry.name();
    }

    /** Returns the endpoint's rank in the relay's ranking. */
    long rank() {
        return rank;
    }

    /** Returns the latest entry of the endpoint, of which the decision engine is notified. */
    EndpointEntry entry() {
        return entry;
    }

    /** Returns whether it counts as being in the relay's own zone. */
    boolean isLocal() {
        return local;
    }

    /** Returns whether it is one of the preferred endpoints of its service. */
    boolean isPreferred() {
        return preferred;
    }

    /** Sets whether it is one of the preferred endpoints of its service. */
    void setPreferred(boolean preferred) {
        this.preferred = preferred;
    }

    /** Returns whether it was added while silent endpoints were being replaced and has not answered since. */
    boolean isUnproven() {
        return unproven;
    }

    /** Returns whether it is listed as ready. */
    boolean isReady() {
        return entry.health() == Endpoint.Health.READY;
    }

    /** Returns whether it is ready and not silent. */
    boolean isUsable() {
        return isReady() && consecutiveUnanswered < SILENCE_THRESHOLD;
    }

    /** Returns whether it is preferred but silent or not ready. */
    boolean isPreferredButUnusable() {
        return preferred && !isUsable();
    }

    /** Replaces the entry with a new one of the same endpoint and service. */
    void update(EndpointEntry updated, boolean updatedLocal) {
        if (entry.startedAtUs() != updated.startedAtUs() || entry.build() != updated.build()) {
            // This is a new process of the same name, about which nothing is known yet.
            consecutiveUnanswered = 0;
            unproven = false;
        }
        entry = updated;
        local = updatedLocal;
    }

    /** Records the outcome of an attempt. Returns whether the member became usable, unusable or proven by it. */
    boolean recordAttempt(boolean answered) {
        boolean wasUsable = isUsable();
        boolean wasUnproven = unproven;
        consecutiveUnanswered = answered ? 0 : Math.min(SILENCE_THRESHOLD, consecutiveUnanswered + 1);
        unproven &= !answered;
        return isUsable() != wasUsable || unproven != wasUnproven;
    }

    /** Returns when it is removed as no longer needed, or {@link SettleTimer#NEVER} if it is needed. */
    long removalDueUs() {
        return removalDueUs;
    }

    /** Sets when it is removed as no longer needed; {@link SettleTimer#NEVER} if it is needed. */
    void setRemovalDueUs(long removalDueUs) {
        this.removalDueUs = removalDueUs;
    }

    /** Returns why it may be evicted when the subset is full, as set by the {@link EvictionQueue}. */
    EvictionQueue.Reason evictionReason() {
        return evictionReason;
    }

    /** Sets why it may be evicted. Only the {@link EvictionQueue} calls this. */
    void setEvictionReason(EvictionQueue.Reason evictionReason) {
        this.evictionReason = evictionReason;
    }

    @Override
    public int compareTo(SubsetMember other) {
        return RendezvousRanking.compare(rank, name(), other.rank, other.name());
    }
}
