package gatelock.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A fleet in simulated time: the production decision engine of every relay, with simulated endpoints, clients, service
 * discovery and a release controller. The same seed always produces the same sequence of events.
 */
final class SimulatedFleet {
    private static final int BASE_BUILD = 1;
    /** Time after the last request; long enough for every request in flight to reach its deadline. */
    private static final long SETTLE_US = 20 * VirtualClock.SECOND_US;

    private final Simulation simulation;
    private final SimulatedEndpoints endpoints;
    private final SimulatedDiscovery discovery;
    private final EndpointLifecycle lifecycle;
    private final Outages outages;
    private final SimulatedReleaseController releaseController;
    private final ClientLoad clientLoad;
    private final List<SimulatedRelay> relays = new ArrayList<>();

    /** Creates a fleet whose CPU time and memory are not measured. */
    SimulatedFleet(FleetParameters parameters) {
        this(parameters, new CpuMeter(false));
    }

    /** Creates a fleet and starts all of its endpoints and relays. */
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

    /** Returns the parameters that the fleet was created with. */
    FleetParameters parameters() {
        return simulation.parameters();
    }

    /** Returns the events recorded so far. */
    FleetRecords records() {
        return simulation.records();
    }

    /** Returns the release controller that rolls out builds in this fleet. */
    SimulatedReleaseController releaseController() {
        return releaseController;
    }

    /** Returns the outages that can be injected into this fleet. */
    Outages outages() {
        return outages;
    }

    /** Returns the service discovery of this fleet. */
    SimulatedDiscovery discovery() {
        return discovery;
    }

    /** Returns the simulated relays. */
    List<SimulatedRelay> relays() {
        return relays;
    }

    /** Returns the current simulated time. */
    long nowUs() {
        return simulation.nowUs();
    }

    /** Advances simulated time and runs the events that become due. */
    void run(long durationUs) {
        simulation.clock().runFor(durationUs);
    }

    /** Multiplies the request rate of all relays from now on. */
    void scaleLoad(double factor) {
        clientLoad.scale(factor);
    }

    /** Starts endpoints of a build immediately. */
    List<SimulatedEndpoint> launch(int build, int count) {
        return lifecycle.launch(build, count);
    }

    /**
     * Ends the run: stops the client load, waits until all requests in flight have ended, and returns the rule
     * violations.
     */
    List<RuleViolation> finish() {
        clientLoad.stop();
        run(SETTLE_US);
        records().endUs = nowUs();
        discovery.recordHolders(relays.size(), name -> endpoints.get(name).number());
        return new RuleChecker(records(), parameters()).violations();
    }
}
