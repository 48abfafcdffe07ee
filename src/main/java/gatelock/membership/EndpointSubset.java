package gatelock.membership;

import java.util.List;

/**
 * The subset of the listed endpoints that one relay uses, chosen deterministically by rendezvous hashing. The preferred
 * endpoints of a service are the first ready ones in the relay's own ranking, some of them in other zones. While
 * preferred endpoints are silent, the endpoints that follow in the ranking are added in their place; these are removed
 * again once the preferred ones have answered and the settle time has passed.
 *
 * <p>All methods must be called from one thread, with times that never decrease. This class stages list updates and
 * returns the notifications for the decision engine. {@link ListApplier} applies the updates, {@link EndpointBudget}
 * divides the available slots among the services, {@link CandidateSelector} ranks the endpoints and
 * {@link SubsetReconciler} adds and removes members.
 */
public final class EndpointSubset {
    /**
     * Default minimum for the mean number of relays that use an endpoint. Each relay sends its share of the traffic
     * that an endpoint in slow start may receive and leaves a quarter of that share unused (rule 4). The endpoint that
     * is used by the most relays is used by 1 + 3.5 / sqrt(mean) times the mean (docs/measurements/membership.md),
     * which is 4/3 for this value. If the mean is below one, some endpoints are not used by any relay.
     */
    public static final int DEFAULT_MIN_RELAYS_PER_ENDPOINT = 110;

    /**
     * Settings by which a relay chooses its endpoints.
     *
     * @param relayNumber the relay's own number; drawn from its seed if the settings name none
     * @param zone the relay's own zone, or -1 if unknown, in which case every endpoint counts as local
     * @param maxEndpoints maximum number of endpoints in the subset, over all services
     * @param minPerService minimum target number of endpoints for each service
     * @param fraction fraction of a service's ready endpoints, from 0 to 1, that is the target if it exceeds
     *     {@code minPerService}
     * @param remotePerService how many endpoints of the target are in other zones, if those have ready endpoints
     * @param settleUs how long an endpoint must be unneeded before it is removed from the subset
     */
    public record Policy(
            long relayNumber,
            int zone,
            int maxEndpoints,
            int minPerService,
            double fraction,
            int remotePerService,
            long settleUs) {

        /**
         * Validates the settings.
         *
         * @throws IllegalArgumentException if a setting is out of range
         */
        public Policy {
            boolean fractionValid = fraction >= 0 && fraction <= 1;
            if (maxEndpoints < 1 || minPerService < 1 || !fractionValid || remotePerService < 0 || settleUs < 0) {
                throw new IllegalArgumentException(
                        "invalid subset policy: expected maxEndpoints >= 1, minPerService >= 1,"
                                + " fraction from 0 to 1, remotePerService >= 0 and settleUs >= 0, got maxEndpoints="
                                + maxEndpoints + ", minPerService=" + minPerService + ", fraction=" + fraction
                                + ", remotePerService=" + remotePerService + ", settleUs="
                                + settleUs);
            }
        }

        /** Returns the target number of endpoints for a service with this many ready ones, before slots are divided. */
        public int target(int ready) {
            return Math.min(maxEndpoints, Math.max(minPerService, (int) Math.ceil(fraction * ready)));
        }

        /**
         * Returns how many endpoints of a target are in other zones; at least one is always in the relay's own zone.
         */
        int remoteTarget(int target) {
            return Math.max(0, Math.min(remotePerService, target - 1));
        }

        /** Returns whether a zone counts as the relay's own. */
        boolean isLocal(int endpointZone) {
            return zone < 0 || endpointZone == zone;
        }
    }

    /**
     * A change of the subset of which the decision engine has to be notified.
     *
     * @param full true if the entries are the complete subset; false if they are the endpoints that were added, changed
     *     or removed
     * @param entries the endpoints; a removed one has the health {@link gatelock.api.Endpoint.Health#GONE}
     */
    public record Change(boolean full, List<EndpointEntry> entries) {}

    private final RendezvousRanking ranking;
    private final ListedServices listed;
    private final SubsetMembers members;
    private final EndpointBudget budget;
    private final PendingChanges changes = new PendingChanges();
    private final ListApplier applier;
    private final SubsetReconciler reconciler;

    private long lastChangeUs;
    private long index = -1;

    /** Creates an empty subset with no listed endpoints. */
    public EndpointSubset(Policy policy) {
        this(policy, new RendezvousRanking(policy.relayNumber()));
    }

    /** Creates a subset with a given ranking; tests use one in which the hashes of names collide. */
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

    /**
     * Begins an update of the endpoint list. Nothing changes until it is committed.
     *
     * @param full true for a full list, false for changes to the current list
     */
    public ListUpdate beginUpdate(boolean full) {
        return new ListUpdate(full);
    }

    /** A list update that is being received. It may be dropped without a commit and then has no effect. */
    public final class ListUpdate {
        private final boolean full;
        private EndpointStore staged = new EndpointStore(ranking);

        private ListUpdate(boolean full) {
            this.full = full;
        }

        /**
         * Adds an entry. If an incremental update holds several entries for an endpoint, the last one applies.
         *
         * @throws IllegalArgumentException if a full list holds the endpoint twice, the entry is too large or its name
         *     has an unpaired surrogate; the update must then be dropped
         */
        public void add(EndpointEntry entry) {
            if (full && staged.find(entry.name()) != RecordArena.NONE) {
                throw new IllegalArgumentException("expected each endpoint once, found twice " + entry.name());
            }
            staged.put(entry);
        }

        /**
         * Applies the update, whatever its index: a lower index than before comes from a discovery service that was
         * restarted. Must be called at most once.
         *
         * @param nowUs the current time
         * @param index the index of the list
         * @return the change of which the decision engine has to be notified
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
            lastChangeUs = nowUs;
            reconciler.reconcile(nowUs);
            List<EndpointEntry> changed = changes.drain();
            return new Change(full, full ? members.entries() : changed);
        }
    }

    /**
     * Records the end of an attempt at an endpoint or of a connection attempt. Has no effect if the endpoint is not in
     * the subset.
     *
     * @param answered whether the endpoint sent any response at all
     */
    public void recordAttempt(long nowUs, String endpoint, boolean answered) {
        SubsetMember member = members.find(endpoint);
        if (member != null && member.recordAttempt(answered)) {
            listed.markDirty(member.service());
        }
    }

    /**
     * Adds endpoints in place of silent ones and removes endpoints that were unneeded for the settle time. Must be
     * called regularly, for example every 250 ms.
     */
    public Change refresh(long nowUs) {
        reconciler.reconcile(nowUs);
        return new Change(false, changes.drain());
    }

    // Metrics

    /** Returns the number of listed endpoints. */
    public int listedCount() {
        return listed.store().size();
    }

    /** Returns the number of endpoints in the subset, which never exceeds {@code maxEndpoints}. */
    public int subsetSize() {
        return members.size();
    }

    /** Returns the number of services with a listed endpoint. */
    public int serviceCount() {
        return listed.size();
    }

    /**
     * Returns the number of services that have ready endpoints but none in the subset, because there are more services
     * than {@code maxEndpoints}.
     */
    int servicesWithoutSlot() {
        return budget.servicesWithoutSlot();
    }

    /**
     * Returns the smallest target of any service; less than the policy's minimum if {@code maxEndpoints} is too small.
     */
    int targetPerService() {
        return budget.targetPerService();
    }

    /** Returns when a list update was last applied, or 0 if none was. */
    public long lastChangeUs() {
        return lastChangeUs;
    }

    /** Returns the index of the last list update that was applied, or -1 if none was. */
    public long index() {
        return index;
    }

    /** Returns the heap size of the stored list in bytes, for measurements. */
    long bytes() {
        return listed.store().bytes();
    }
}
