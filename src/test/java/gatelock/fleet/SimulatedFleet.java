package gatelock.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A fleet in simulated time: the real decision module of every relay, and simulated endpoints, clients, discovery and a
 * release controller around them. One seed gives one course of events.
 */
final class SimulatedFleet {
    private static final int BASE_BUILD = 1;
    /** Long enough for every request in flight to reach its deadline. */
    private static final long SETTLE_US = 20 * VirtualClock.SECOND_US;

    private final Simulation simulation;
    private final SimulatedEndpoints endpoints;
    private final SimulatedDiscovery discovery;
    private final EndpointLifecycle lifecycle;
    private final Outages outages;
    private final SimulatedReleaseController releaseController;
    private final ClientLoad clientLoad;
    private final List<SimulatedRelay> relays = new ArrayList<>();

    SimulatedFleet(FleetParameters parameters) {
        this(parameters, new CpuMeter(false));
    }

    SimulatedFleet(FleetParameters parameters, CpuMeter cpuMeter) {
        simulation = new Simulation(parameters, cpuMeter);
        ServiceCatalog services = new ServiceCatalog(parameters);
        endpoints = new SimulatedEndpoints(simulation, services);
        discovery = new SimulatedDiscovery(parameters, simulation.records());
        ListPublisher publisher = new ListPublisher(simulation, discovery, relays);
        lifecycle = new EndpointLifecycle(simulation, endpoints, publisher);
        outages = new Outages(simulation, endpoints, relays, lifecycle);
        releaseController = new SimulatedReleaseController(simulation, endpoints, lifecycle, relays);
        clientLoad = new ClientLoad(simulation, services);
        for (int i = 0; i < parameters.endpoints; i++) {
            endpoints.create(BASE_BUILD, 0, services.serviceOf(i));
        }
        discovery.initialize(
                endpoints.all().stream().map(SimulatedEndpoint::entry).toList());
        startRelays(new SimulatedRelay.Environment(endpoints, discovery, publisher, releaseController));
        releaseController.evaluate();
    }

    private void startRelays(SimulatedRelay.Environment environment) {
        FleetParameters parameters = simulation.parameters();
        int count = parameters.simulatedRelayCount();
        double[] weights = new double[count];
        for (int i = 0; i < count; i++) {
            weights[i] =
                    Math.pow(parameters.relayLoadSpread, simulation.random().nextDouble() * 2 - 1);
            int number = (int) ((long) i * parameters.relays / count);
            relays.add(new SimulatedRelay(simulation, environment, number));
        }
        double totalWeight = Arrays.stream(weights).sum();
        simulation.cpuMeter().beforeAllocation();
        for (int i = 0; i < count; i++) {
            SimulatedRelay relay = relays.get(i);
            relay.start();
            clientLoad.start(relay, parameters.requestsPerS * weights[i] / totalWeight);
        }
        simulation.cpuMeter().afterAllocation();
    }

    FleetParameters parameters() {
        return simulation.parameters();
    }

    FleetRecords records() {
        return simulation.records();
    }

    SimulatedReleaseController releaseController() {
        return releaseController;
    }

    Outages outages() {
        return outages;
    }

    SimulatedDiscovery discovery() {
        return discovery;
    }

    List<SimulatedRelay> relays() {
        return relays;
    }

    long nowUs() {
        return simulation.nowUs();
    }

    /** Lets simulated time pass. */
    void run(long durationUs) {
        simulation.clock().runFor(durationUs);
    }

    /** Multiplies the request rate of all relays from now on. */
    void scaleLoad(double factor) {
        clientLoad.scale(factor);
    }

    /** Starts endpoints of a build at once. */
    List<SimulatedEndpoint> launch(int build, int count) {
        return lifecycle.launch(build, count);
    }

    /** Ends the run: no further request comes, and all that are in flight end; returns the rules that were broken. */
    List<RuleViolation> finish() {
        clientLoad.stop();
        run(SETTLE_US);
        records().endUs = nowUs();
        discovery.recordHolders(relays.size(), name -> endpoints.get(name).number());
        return new RuleChecker(records(), parameters()).violations();
    }
}
