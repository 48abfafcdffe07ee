package gatelock.fleet;

import gatelock.api.Endpoint;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** All endpoints that a fleet ever had, by name and in the order in which they were created. */
final class SimulatedEndpoints {
    private final Simulation simulation;
    private final ServiceCatalog services;
    private final Map<String, SimulatedEndpoint> byName = new LinkedHashMap<>();

    SimulatedEndpoints(Simulation simulation, ServiceCatalog services) {
        this.simulation = simulation;
        this.services = services;
    }

    /** Adds an endpoint; with several services its name tells which of them it belongs to. */
    SimulatedEndpoint create(int build, long startUs, int service) {
        int number = byName.size();
        String prefix = services.hasSeveral() ? services.name(service) + "-" : "";
        String name = prefix + "u" + number;
        SimulatedEndpoint endpoint = new SimulatedEndpoint(
                simulation,
                new SimulatedEndpoint.Identity(name, number, build, service, services.name(service)),
                startUs);
        byName.put(name, endpoint);
        services.addEndpoint(service, name);
        return endpoint;
    }

    SimulatedEndpoint get(String name) {
        return byName.get(name);
    }

    SimulatedEndpoint first() {
        return byName.values().iterator().next();
    }

    List<SimulatedEndpoint> all() {
        return List.copyOf(byName.values());
    }

    List<SimulatedEndpoint> matching(Predicate<SimulatedEndpoint> condition) {
        return byName.values().stream().filter(condition).toList();
    }

    List<SimulatedEndpoint> inZone(int zone) {
        return matching(endpoint -> endpoint.zone() == zone);
    }

    List<SimulatedEndpoint> ofBuild(int build) {
        return matching(endpoint -> endpoint.build() == build);
    }

    /** A ready endpoint drawn at random. */
    SimulatedEndpoint randomReady() {
        List<SimulatedEndpoint> ready = matching(endpoint -> endpoint.health() == Endpoint.Health.READY);
        return ready.get(simulation.random().nextInt(ready.size()));
    }
}
