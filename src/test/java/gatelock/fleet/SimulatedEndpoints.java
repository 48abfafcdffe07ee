package gatelock.fleet;

import gatelock.api.Endpoint;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** All endpoints of a fleet, including terminated ones, by name and in the order of their creation. */
final class SimulatedEndpoints {
    private final Simulation simulation;
    private final ServiceCatalog services;
    private final Map<String, SimulatedEndpoint> byName = new LinkedHashMap<>();

    SimulatedEndpoints(Simulation simulation, ServiceCatalog services) {
        this.simulation = simulation;
        this.services = services;
    }

    /** Creates and adds an endpoint; if there are several services, its name starts with that of its service. */
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

    /** Returns the endpoint with a name. */
    SimulatedEndpoint get(String name) {
        return byName.get(name);
    }

    /** Returns the endpoint that was created first. */
    SimulatedEndpoint first() {
        return byName.values().iterator().next();
    }

    /** Returns all endpoints in the order of their creation. */
    List<SimulatedEndpoint> all() {
        return List.copyOf(byName.values());
    }

    /** Returns the endpoints that meet a condition. */
    List<SimulatedEndpoint> matching(Predicate<SimulatedEndpoint> condition) {
        return byName.values().stream().filter(condition).toList();
    }

    /** Returns the endpoints in a zone. */
    List<SimulatedEndpoint> inZone(int zone) {
        return matching(endpoint -> endpoint.zone() == zone);
    }

    /** Returns the endpoints that run a build. */
    List<SimulatedEndpoint> ofBuild(int build) {
        return matching(endpoint -> endpoint.build() == build);
    }

    /** Returns a randomly selected ready endpoint. */
    SimulatedEndpoint randomReady() {
        List<SimulatedEndpoint> ready = matching(endpoint -> endpoint.health() == Endpoint.Health.READY);
        return ready.get(simulation.random().nextInt(ready.size()));
    }
}
