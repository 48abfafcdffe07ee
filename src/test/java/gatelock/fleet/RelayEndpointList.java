package gatelock.fleet;

import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.membership.EndpointEntry;
import gatelock.membership.EndpointSubset;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** A relay's endpoint list: all that discovery sends, or the relay's subset of it, handed to its decisions. */
final class RelayEndpointList {
    private static final long SUBSET_POLL_US = 250 * VirtualClock.MILLISECOND_US;

    private final Simulation simulation;
    private final SimulatedEndpoints endpoints;
    private final SimulatedDiscovery discovery;
    private final SimulatedRelay relay;
    /** By the number of the endpoint: those that this relay holds; maintained only with a subset. */
    private final BitSet held = new BitSet();

    private DecisionEngine engine;
    /** Null: the relay holds the whole list. */
    private EndpointSubset subset;

    RelayEndpointList(
            Simulation simulation, SimulatedEndpoints endpoints, SimulatedDiscovery discovery, SimulatedRelay relay) {
        this.simulation = simulation;
        this.endpoints = endpoints;
        this.discovery = discovery;
        this.relay = relay;
    }

    /** A process of the relay starts, with decisions that know no endpoint yet. */
    void start(DecisionEngine newEngine) {
        FleetParameters parameters = simulation.parameters();
        engine = newEngine;
        subset = parameters.subsetting ? new EndpointSubset(parameters.subsetTerms(relay.number())) : null;
    }

    /** Takes in what discovery sent, or what the relay had cached. */
    void update(DecisionEngine.EndpointUpdateType form, List<SimulatedDiscovery.Entry> entries, long index) {
        if (subset == null) {
            engine.endpointsUpdated(simulation.nowUs(), form, SimulatedDiscovery.endpoints(entries));
            return;
        }
        CpuMeter.Role previous = simulation.cpuMeter().switchTo(CpuMeter.Role.SUBSET);
        EndpointSubset.ListUpdate reading = subset.beginUpdate(form != DecisionEngine.EndpointUpdateType.DELTA);
        entries.forEach(entry -> reading.add(entry.listed()));
        EndpointSubset.Change change = reading.commit(simulation.nowUs(), index);
        simulation.cpuMeter().switchTo(previous);
        passOn(change.full() ? form : DecisionEngine.EndpointUpdateType.DELTA, change);
    }

    /** Polls the subset for changes of its own, for as long as this process of the relay runs; no-op without one. */
    void pollSubset() {
        if (subset == null) {
            return;
        }
        relay.scheduleWhileUp(SUBSET_POLL_US, () -> {
            CpuMeter.Role previous = simulation.cpuMeter().switchTo(CpuMeter.Role.SUBSET);
            EndpointSubset.Change change = subset.refresh(simulation.nowUs());
            simulation.cpuMeter().switchTo(CpuMeter.Role.ENDPOINT_LIST);
            passOn(DecisionEngine.EndpointUpdateType.DELTA, change);
            simulation.cpuMeter().switchTo(previous);
            pollSubset();
        });
    }

    /** Tells the subset how an attempt ended; {@code responded}: the endpoint itself answered it. */
    void attemptEnded(String endpoint, boolean responded) {
        if (subset != null) {
            subset.recordAttempt(simulation.nowUs(), endpoint, responded);
        }
    }

    private void passOn(DecisionEngine.EndpointUpdateType form, EndpointSubset.Change change) {
        List<EndpointEntry> entries = change.entries();
        if (simulation.parameters().plantedFault == PlantedFault.ENDPOINT_HELD_BY_ALL) {
            entries = withFirstEndpoint(entries);
        }
        if (!change.full() && entries.isEmpty()) {
            return;
        }
        engine.endpointsUpdated(
                simulation.nowUs(),
                form,
                entries.stream().map(EndpointEntry::toEndpoint).toList());
        CpuMeter.Role previous = simulation.cpuMeter().switchTo(CpuMeter.Role.SIMULATION);
        countHeld(entries, change.full());
        simulation.cpuMeter().switchTo(previous);
    }

    private List<EndpointEntry> withFirstEndpoint(List<EndpointEntry> entries) {
        List<EndpointEntry> changed = new ArrayList<>(entries);
        changed.removeIf(entry -> endpoints.get(entry.name()).number() == 0);
        changed.add(endpoints.first().entry().listed());
        return changed;
    }

    private void countHeld(List<EndpointEntry> entries, boolean whole) {
        if (whole) {
            held.stream().forEach(number -> discovery.addHolders(number, -1));
            held.clear();
        }
        for (EndpointEntry entry : entries) {
            int number = endpoints.get(entry.name()).number();
            boolean holds = entry.health() != Endpoint.Health.GONE;
            if (held.get(number) != holds) {
                held.set(number, holds);
                discovery.addHolders(number, holds ? 1 : -1);
            }
        }
    }
}
