package gatelock.membership;

import java.util.List;

/**
 * The endpoints that one relay uses of all that are listed: deterministic subsetting by rendezvous hashing. Of each
 * service it aims at the first ready endpoints of its own ranking, some of them in other zones. Where these are silent
 * it goes on along the ranking, and comes back when they have answered again and the settle time is over.
 *
 * <p>It is called from one thread with a clock that never goes back. This class stages the list and makes the
 * notifications; {@link ListApplier} applies the list, {@link EndpointBudget} shares the places among the services,
 * {@link CandidateSelector} ranks the endpoints and {@link SubsetReconciler} brings the members up to date.
 */
public final class EndpointSubset {
    /**
     * Relays that use an endpoint, on the mean at least, where nothing else is configured. Each relay sends its part of
     * what an endpoint that is warming up may receive, and leaves a quarter of it free (rule 4). The endpoint that is
     * used by most relays is used by 1 + 3.5 / sqrt(mean) times the mean (docs/measurements/membership.md), which is 4/3
     * at this number. With fewer than one, some endpoints are not used at all.
     */
    public static final int DEFAULT_MIN_HOLDERS = 110;

    /**
     * How a relay chooses its endpoints.
     *
     * @param relayNumber the relay's own number, or one drawn from its seed where the settings name none
     * @param zone the relay's own zone, -1 for unknown: then all endpoints count as in its own zone
     * @param maxEndpoints endpoints in the subset over all services
     * @param minPerService endpoints aimed at for each service at least
     * @param fraction of a service's ready endpoints that is aimed at where that is more: from 0 to 1
     * @param remotePerService how many of these are in other zones, where there are any
     * @param settleUs how long an endpoint must not be needed before it leaves the subset
     */
    public record Policy(
            long relayNumber,
            int zone,
            int maxEndpoints,
            int minPerService,
            double fraction,
            int remotePerService,
            long settleUs) {

        /** Throws IllegalArgumentException where a bound makes no sense. */
        public Policy {
            boolean fractionValid = fraction >= 0 && fraction <= 1;
            if (maxEndpoints < 1 || minPerService < 1 || !fractionValid || remotePerService < 0 || settleUs < 0) {
                throw new IllegalArgumentException("expected at least one endpoint in the subset and one per service, a"
                        + " fraction from 0 to 1, none or more in other zones and no negative time, got "
                        + maxEndpoints + ", " + minPerService + ", " + fraction + ", " + remotePerService + ", "
                        + settleUs);
            }
        }

        /** Endpoints aimed at of a service with this many ready ones, where there are places for all services. */
        public int target(int ready) {
            return Math.min(maxEndpoints, Math.max(minPerService, (int) Math.ceil(fraction * ready)));
        }

        /** How many of the endpoints aimed at are in other zones; one is always left to the own zone. */
        int remoteTarget(int target) {
            return Math.max(0, Math.min(remotePerService, target - 1));
        }

        /** Whether a zone counts as the relay's own. */
        boolean isLocal(int endpointZone) {
            return zone < 0 || endpointZone == zone;
        }
    }

    /**
     * What the decisions have to be notified of.
     *
     * @param full whether the entries are the complete subset; else they were added, have changed or are gone
     * @param entries the endpoints
     */
    public record Change(boolean full, List<EndpointEntry> entries) {}

    private final RendezvousRanking ranking;
    private final ListedServices listed;
    private final SubsetMembers members;
    private final EndpointBudget budget;
    private final PendingChanges changes = new PendingChanges();
    private final ListApplier applier;
    private final SubsetReconciler reconciler;

    private long changedUs;
    private long index = -1;

    /** An empty subset that follows a policy; nothing is listed yet. */
    public EndpointSubset(Policy policy) {
        this(policy, new RendezvousRanking(policy.relayNumber()));
    }

    /** For tests: with a ranking in which names can be made to collide. */
    EndpointSubset(Policy policy, RendezvousRanking ranking) {
        this.ranking = ranking;
        listed = new ListedServices(ranking);
        EvictionQueue evictions = new EvictionQueue();
        members = new SubsetMembers(policy.maxEndpoints(), listed, changes, evictions);
        RecoverySchedule recovery = new RecoverySchedule();
        budget = new EndpointBudget(policy, listed, recovery);
        CandidateSelector selector = new CandidateSelector(policy, ranking, listed, budget, members);
        applier = new ListApplier(policy, listed, members, selector, changes);
        reconciler = new SubsetReconciler(policy, listed, members, evictions, recovery, budget, selector);
    }

    // Input

    /** Begins a full list ({@code full}) or a change of it; nothing changes until it is taken. */
    public ListUpdate beginUpdate(boolean full) {
        return new ListUpdate(full);
    }

    /** A list or a change that is being received. To drop it instead of taking it changes nothing. */
    public final class ListUpdate {
        private final boolean full;
        private EndpointStore staged = new EndpointStore(ranking);

        private ListUpdate(boolean full) {
            this.full = full;
        }

        /**
         * Adds an entry; of a change the last one of an endpoint counts.
         *
         * @throws IllegalArgumentException for an endpoint that is in a full list twice and for an entry that is too
         *     large; the reading must be dropped then
         */
        public void add(EndpointEntry entry) {
            if (full && staged.find(entry.name()) != RecordArena.NONE) {
                throw new IllegalArgumentException("expected each endpoint once, found twice " + entry.name());
            }
            staged.put(entry);
        }

        /**
         * Puts the list or change in force, whatever its index: a lower one comes from a discovery service that was
         * started anew. May be called once.
         *
         * @param nowUs the time
         * @param index the list's index
         * @return what the decisions have to be notified of
         */
        public Change commit(long nowUs, long index) {
            EndpointStore received = staged;
            staged = null;
            if (full) {
                applier.applyFull(received);
            } else {
                applier.applyChange(received);
            }
            EndpointSubset.this.index = index;
            changedUs = nowUs;
            reconciler.reconcile(nowUs);
            List<EndpointEntry> changed = changes.drain();
            return new Change(full, full ? members.entries() : changed);
        }
    }

    /**
     * Records that an attempt at an endpoint, or a connection to it, has ended; of no effect for an endpoint that is not
     * in the subset.
     *
     * @param answered whether the endpoint answered anything at all
     */
    public void recordAttempt(long nowUs, String endpoint, boolean answered) {
        SubsetMember member = members.find(endpoint);
        if (member != null && member.recordAttempt(answered)) {
            listed.markDirty(member.service());
        }
    }

    /**
     * Grows the subset where endpoints are silent and shrinks it after the settle time. To be called regularly, for
     * example every 250 ms.
     */
    public Change refresh(long nowUs) {
        reconciler.reconcile(nowUs);
        return new Change(false, changes.drain());
    }

    // Figures

    /** Number of listed endpoints. */
    public int listedCount() {
        return listed.store().size();
    }

    /** Number of endpoints in the subset: never more than {@code maxEndpoints}. */
    public int subsetSize() {
        return members.size();
    }

    /** Number of services with a listed endpoint. */
    public int serviceCount() {
        return listed.size();
    }

    /**
     * Number of services that have ready endpoints and none in the subset, since there are more services than
     * {@code maxEndpoints}.
     */
    int servicesWithoutPlace() {
        return budget.servicesWithoutPlace();
    }

    /** Endpoints aimed at for any service: less than the policy says where {@code maxEndpoints} does not suffice. */
    int targetPerService() {
        return budget.targetPerService();
    }

    /** When a list or a change was last taken, 0 for never. */
    public long lastChangeUs() {
        return changedUs;
    }

    /** The index of the last list or change, -1 for none. */
    public long index() {
        return index;
    }

    /** Bytes of heap in which the list is kept, for figures. */
    long bytes() {
        return listed.store().bytes();
    }
}
