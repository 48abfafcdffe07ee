package gatelock.fleet;

import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.membership.EndpointEntry;
import gatelock.membership.EndpointSubset;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** Passes the endpoint list from discovery, or the relay's subset of it, to the relay's decision engine. */
final class RelayEndpointList {
    private static final long SUBSET_REFRESH_INTERVAL_US = 250 * VirtualClock.MILLISECOND_US;

    private final Simulation simulation;
    private final SimulatedEndpoints endpoints;
    private final SimulatedDiscovery discovery;
    private final SimulatedRelay relay;
    /** Numbers of the endpoints that this relay holds; maintained only with subsetting. */
    private final BitSet heldEndpoints = new BitSet();

    private DecisionEngine engine;
    /** The relay's subset; null if the relay holds the full list. */
    private EndpointSubset subset;

    RelayEndpointList(
            Simulation simulation, SimulatedEndpoints endpoints, SimulatedDiscovery discovery, SimulatedRelay relay) {
        this.simulation = simulation;
        this.endpoints = endpoints;
        this.discovery = discovery;
        this.relay = relay;
    }

    /** Starts with the engine of a new process, which has no endpoints yet. */
    void start(DecisionEngine newEngine) {
        FleetParameters parameters = simulation.parameters();
        engine = newEngine;
        subset = parameters.subsetting ? new EndpointSubset(parameters.subsetPolicy(relay.number())) : null;
    }

    /** Applies a list or change from discovery, or the relay's cached list. */
    void update(DecisionEngine.EndpointUpdateType updateType, List<SimulatedDiscovery.Entry> entries, long index) {
        if (subset == null) {
            engine.endpointsUpdated(simulation.nowUs(), updateType, SimulatedDiscovery.endpointView(entries));
            return;
        }
        CpuMeter.Role previous = simulation.cpuMeter().switchTo(CpuMeter.Role.SUBSET);
        EndpointSubset.ListUpdate listUpdate =
                subset.beginUpdate(updateType != DecisionEngine.EndpointUpdateType.DELTA);
        entries.forEach(entry -> listUpdate.add(entry.listEntry()));
        EndpointSubset.Change change = listUpdate.commit(simulation.nowUs(), index);
        simulation.cpuMeter().switchTo(previous);
        forwardToEngine(change.full() ? updateType : DecisionEngine.EndpointUpdateType.DELTA, change);
    }

    /**
     * Refreshes the subset periodically while this process of the relay runs, because it also changes over time. Does
     * nothing without subsetting.
     */
    void refreshSubsetPeriodically() {
        if (subset == null) {
            return;
        }
        relay.scheduleWhileUp(SUBSET_REFRESH_INTERVAL_US, () -> {
            CpuMeter.Role previous = simulation.cpuMeter().switchTo(CpuMeter.Role.SUBSET);
            EndpointSubset.Change change = subset.refresh(simulation.nowUs());
            simulation.cpuMeter().switchTo(CpuMeter.Role.ENDPOINT_LIST);
            forwardToEngine(DecisionEngine.EndpointUpdateType.DELTA, change);
            simulation.cpuMeter().switchTo(previous);
            refreshSubsetPeriodically();
        });
    }

    /** Reports the end of an attempt to the subset; {@code responded} is true if the endpoint itself responded. */
    void attemptEnded(String endpoint, boolean responded) {
        if (subset != null) {
            subset.recordAttempt(simulation.nowUs(), endpoint, responded);
        }
    }

    private void forwardToEngine(DecisionEngine.EndpointUpdateType updateType, EndpointSubset.Change change) {
        List<EndpointEntry> entries = change.entries();
        if (simulation.parameters().injectedFault == InjectedFault.ENDPOINT_HELD_BY_ALL) {
            entries = withFirstEndpoint(entries);
        }
        if (!change.full() && entries.isEmpty()) {
            return;
        }
        engine.endpointsUpdated(
                simulation.nowUs(),
                updateType,
                entries.stream().map(EndpointEntry::toEndpoint).toList());
        CpuMeter.Role previous = simulation.cpuMeter().switchTo(CpuMeter.Role.SIMULATION);
        updateHolderCounts(entries, change.full());
        simulation.cpuMeter().switchTo(previous);
    }

    private List<EndpointEntry> withFirstEndpoint(List<EndpointEntry> entries) {
        List<EndpointEntry> changed = new ArrayList<>(entries);
        changed.removeIf(entry -> endpoints.get(entry.name()).number() == 0);
        changed.add(endpoints.first().entry().listEntry());
        return changed;
    }

    private void updateHolderCounts(List<EndpointEntry> entries, boolean full) {
        if (full) {
            heldEndpoints.stream().forEach(number -> discovery.addHolders(number, -1));
            heldEndpoints.clear();
        }
        for (EndpointEntry entry : entries) {
            int number = endpoints.get(entry.name()).number();
            boolean isHeld = entry.health() != Endpoint.Health.GONE;
            if (heldEndpoints.get(number) != isHeld) {
                heldEndpoints.set(number, isHeld);
                discovery.addHolders(number, isHeld ? 1 : -1);
            }
        }
    }
}
