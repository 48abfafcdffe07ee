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
 * Applies endpoint lists to the address table, the pools of the configuration, the decision engine and the connection
 * pool of the endpoints. With a subset, only the entries that the subset selects are applied.
 */
final class EndpointListApplier {
    /** The interval at which the subset is reviewed. */
    private static final long SUBSET_REVIEW_INTERVAL_US = 250_000;

    private final EventLoop eventLoop;
    private final EndpointAddresses addresses;
    private final ConnectionPool endpointPool;
    private final EndpointSubset subset;
    private DecisionEngine engine;
    private Admission admission;
    private long changedUs = -1;

    /**
     * Creates an applier that must not be used before {@link #start}.
     *
     * @param subset selects the endpoints that this relay uses, or null to use all listed endpoints
     */
    EndpointListApplier(
            EventLoop eventLoop, EndpointAddresses addresses, ConnectionPool endpointPool, EndpointSubset subset) {
        this.eventLoop = eventLoop;
        this.addresses = addresses;
        this.endpointPool = endpointPool;
        this.subset = subset;
    }

    /**
     * Applies the cached list and starts the periodic review of the subset.
     *
     * @param admission receives the endpoints for its pools, or null if there is no versioned configuration
     * @param cached the entries of the last list that this relay received before it was restarted
     * @param index the index of that list
     */
    void start(DecisionEngine engine, Admission admission, List<EndpointEntry> cached, long index) {
        this.engine = engine;
        this.admission = admission;
        List<EndpointEntry> used = cached;
        if (subset != null) {
            EndpointSubset.ListUpdate update = subset.beginUpdate(true);
            cached.forEach(update::add);
            used = update.commit(eventLoop.nowUs(), index).entries();
            scheduleReview();
        }
        apply(DecisionEngine.EndpointUpdateType.CACHED, used);
    }

    /**
     * Applies a list whose endpoints are all in use. The pools of the configuration are updated before the decision
     * engine.
     */
    void apply(DecisionEngine.EndpointUpdateType updateType, List<EndpointEntry> entries) {
        List<Endpoint> endpoints =
                entries.stream().map(EndpointEntry::toEndpoint).toList();
        List<InetSocketAddress> staleAddresses = updateAddresses(entries, endpoints);
        if (updateType == DecisionEngine.EndpointUpdateType.FULL) {
            staleAddresses.addAll(addresses.retainOnly(
                    entries.stream().map(EndpointEntry::name).collect(Collectors.toSet())));
        }
        if (admission != null) {
            admission.updateEndpoints(eventLoop.nowUs(), updateType, endpoints, labelsByEndpoint(entries));
        }
        engine.endpointsUpdated(eventLoop.nowUs(), updateType, endpoints);
        changedUs = eventLoop.nowUs();
        // Stale connections are closed only after the decision engine has been updated: a request that waits for a
        // connection to be established then asks the engine again whether it may be sent.
        staleAddresses.forEach(endpointPool::invalidate);
    }

    /** Begins an update of the subset from a full list or from changes. It takes effect only with {@link #apply}. */
    EndpointSubset.ListUpdate beginUpdate(boolean full) {
        return subset.beginUpdate(full);
    }

    /** Applies a completed update of the subset, as far as it changes the endpoints in use. */
    void apply(EndpointSubset.ListUpdate update, long index) {
        apply(update.commit(eventLoop.nowUs(), index));
    }

    private void apply(EndpointSubset.Change change) {
        if (change.full() || !change.entries().isEmpty()) {
            apply(
                    change.full() ? DecisionEngine.EndpointUpdateType.FULL : DecisionEngine.EndpointUpdateType.DELTA,
                    change.entries());
        }
    }

    /** Notifies the decision engine that a poll that it requested has failed. */
    void pollFailed() {
        engine.endpointsUpdated(eventLoop.nowUs(), DecisionEngine.EndpointUpdateType.FAILED, List.of());
    }

    /** Records the result of an attempt, by which the subset tracks which endpoints respond. */
    void attemptEnded(String endpoint, AttemptResult result) {
        if (subset == null || result == AttemptResult.CANCELLED || result == AttemptResult.NOT_SENT) {
            return;
        }
        boolean responded = result == AttemptResult.COMPLETED
                || result == AttemptResult.ERRORED
                || result == AttemptResult.TURNED_AWAY;
        subset.recordAttempt(eventLoop.nowUs(), endpoint, responded);
    }

    /** Returns when a list was last applied, or -1 if none has been. */
    long changedUs() {
        return changedUs;
    }

    private void scheduleReview() {
        eventLoop.schedule(SUBSET_REVIEW_INTERVAL_US, this::reviewSubset);
    }

    /** Grows or shrinks the subset depending on which of its endpoints respond. */
    private void reviewSubset() {
        apply(subset.refresh(eventLoop.nowUs()));
        scheduleReview();
    }

    /** Updates the address table and returns the addresses whose open connections must not be used any more. */
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
