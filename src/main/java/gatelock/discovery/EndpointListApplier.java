package gatelock.discovery;

import gatelock.api.AttemptResult;
import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.config.Admission;
import gatelock.membership.EndpointEntry;
import gatelock.membership.EndpointSubset;
import gatelock.net.ConnectionPool;
import gatelock.net.EventLoop;
import gatelock.net.JsonObject;
import gatelock.state.EndpointAddresses;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Applies endpoint lists to the addresses, the admission pools, the decisions and the connections to endpoints; with a
 * subset, only what that selects of a list.
 */
final class EndpointListApplier {
    /** How often the subset is reviewed. */
    private static final long SUBSET_REVIEW_US = 250_000;

    private final EventLoop eventLoop;
    private final EndpointAddresses addresses;
    private final ConnectionPool endpointPool;
    private final EndpointSubset subset;
    private DecisionEngine engine;
    private Admission admission;
    private long changedUs = -1;

    /**
     * Creates an applier that is not used before {@link #start}.
     *
     * @param subset null: all listed endpoints are used
     */
    EndpointListApplier(
            EventLoop eventLoop, EndpointAddresses addresses, ConnectionPool endpointPool, EndpointSubset subset) {
        this.eventLoop = eventLoop;
        this.addresses = addresses;
        this.endpointPool = endpointPool;
        this.subset = subset;
    }

    /**
     * Applies the list that this relay last held, and starts the reviews of the subset.
     *
     * @param admission null where there are no admission pools
     */
    void start(DecisionEngine engine, Admission admission, List<EndpointEntry> cached, long index) {
        this.engine = engine;
        this.admission = admission;
        List<EndpointEntry> used = cached;
        if (subset != null) {
            EndpointSubset.ListUpdate staged = subset.beginUpdate(true);
            cached.forEach(staged::add);
            used = staged.commit(eventLoop.nowUs(), index).entries();
            scheduleReview();
        }
        apply(DecisionEngine.EndpointUpdateType.CACHED, used);
    }

    /** Applies a list of endpoints that are all used: pools learn of it before the decisions. */
    void apply(DecisionEngine.EndpointUpdateType form, List<EndpointEntry> entries) {
        List<Endpoint> endpoints =
                entries.stream().map(EndpointEntry::toEndpoint).toList();
        List<InetSocketAddress> staleAddresses = updateAddresses(entries, endpoints);
        if (form == DecisionEngine.EndpointUpdateType.FULL) {
            staleAddresses.addAll(
                    addresses.keepOnly(entries.stream().map(EndpointEntry::name).collect(Collectors.toSet())));
        }
        if (admission != null) {
            admission.updateEndpoints(eventLoop.nowUs(), form, endpoints, labelsByEndpoint(entries));
        }
        engine.endpointsUpdated(eventLoop.nowUs(), form, endpoints);
        changedUs = eventLoop.nowUs();
        // Only now: a request that waits for a connection to be established asks the decisions whether it may be sent.
        staleAddresses.forEach(endpointPool::invalidate);
    }

    /** Begins to stage a full list, or changes, for the subset; nothing changes before {@link #apply}. */
    EndpointSubset.ListUpdate stage(boolean full) {
        return subset.beginUpdate(full);
    }

    /** Applies a staged list, as far as it changes the endpoints that are used. */
    void apply(EndpointSubset.ListUpdate staged, long index) {
        apply(staged.commit(eventLoop.nowUs(), index));
    }

    private void apply(EndpointSubset.Change change) {
        if (change.full() || !change.entries().isEmpty()) {
            apply(
                    change.full() ? DecisionEngine.EndpointUpdateType.FULL : DecisionEngine.EndpointUpdateType.DELTA,
                    change.entries());
        }
    }

    /** Notifies the decisions that a poll they asked for has failed. */
    void pollFailed() {
        engine.endpointsUpdated(eventLoop.nowUs(), DecisionEngine.EndpointUpdateType.FAILED, List.of());
    }

    /** Notes the result of an attempt, from which the subset learns which endpoints respond. */
    void attemptEnded(String endpoint, AttemptResult result) {
        if (subset == null || result == AttemptResult.CANCELLED || result == AttemptResult.NOT_SENT) {
            return;
        }
        boolean responded = result == AttemptResult.COMPLETED
                || result == AttemptResult.ERRORED
                || result == AttemptResult.TURNED_AWAY;
        subset.recordAttempt(eventLoop.nowUs(), endpoint, responded);
    }

    /** Returns when a list was last applied, -1 for never. */
    long changedUs() {
        return changedUs;
    }

    private void scheduleReview() {
        eventLoop.schedule(SUBSET_REVIEW_US, this::reviewSubset);
    }

    /** Lets the subset grow or shrink by which of its endpoints respond. */
    private void reviewSubset() {
        apply(subset.refresh(eventLoop.nowUs()));
        scheduleReview();
    }

    /** Updates the addresses, and returns those whose open connections must not be used any more. */
    private List<InetSocketAddress> updateAddresses(List<EndpointEntry> entries, List<Endpoint> endpoints) {
        List<InetSocketAddress> stale = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            stale.addAll(addresses.put(JsonObject.resolveAddress(entries.get(i).address()), endpoints.get(i)));
        }
        return stale;
    }

    private static Map<String, Map<String, String>> labelsByEndpoint(List<EndpointEntry> entries) {
        Map<String, Map<String, String>> labels = new HashMap<>();
        for (EndpointEntry entry : entries) {
            if (!entry.labels().isEmpty()) {
                labels.put(entry.name(), entry.labels());
            }
        }
        return labels;
    }
}
