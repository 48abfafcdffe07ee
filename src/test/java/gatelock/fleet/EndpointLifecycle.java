package gatelock.fleet;

import gatelock.api.Endpoint;
import java.util.ArrayList;
import java.util.List;

/** Starts, drains, fails and restarts endpoints and updates discovery when it would detect the change. */
final class EndpointLifecycle {
    private static final int BASE_BUILD = 1;

    private final Simulation simulation;
    private final SimulatedEndpoints endpoints;
    private final ListPublisher publisher;

    EndpointLifecycle(Simulation simulation, SimulatedEndpoints endpoints, ListPublisher publisher) {
        this.simulation = simulation;
        this.endpoints = endpoints;
        this.publisher = publisher;
    }

    /** Starts endpoints of a build immediately and notifies every relay that is up. */
    List<SimulatedEndpoint> launch(int build, int count) {
        List<SimulatedEndpoint> launched = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            launched.add(endpoints.create(build, simulation.nowUs(), 0));
        }
        launched.forEach(SimulatedEndpoint::start);
        publisher.publish(launched);
        return launched;
    }

    /** Starts an endpoint of a service as a replacement for one that is gone. */
    void launchReplacement(int service) {
        SimulatedEndpoint replacement = endpoints.create(BASE_BUILD, simulation.nowUs(), service);
        replacement.start();
        publisher.publish(List.of(replacement));
    }

    /** Drains all ready endpoints of a build; their processes continue to serve requests that still arrive. */
    void drain(int build) {
        List<SimulatedEndpoint> draining =
                endpoints.matching(endpoint -> endpoint.build() == build && endpoint.health() == Endpoint.Health.READY);
        draining.forEach(endpoint -> endpoint.setHealth(Endpoint.Health.DRAINING));
        publisher.publish(draining);
    }

    /** Drains an endpoint, ends its process after the drain time and then runs {@code afterwards}. */
    void drainAndTerminate(SimulatedEndpoint endpoint, Runnable afterwards) {
        endpoint.setHealth(Endpoint.Health.DRAINING);
        publisher.publish(List.of(endpoint));
        simulation.schedule(simulation.parameters().drainTimeUs, () -> {
            endpoint.terminate();
            endpoint.setHealth(Endpoint.Health.GONE);
            publisher.publish(List.of(endpoint));
            afterwards.run();
        });
    }

    /** Fails machines; after the detection time discovery marks those that have not restarted as gone. */
    void fail(List<SimulatedEndpoint> machines) {
        machines.forEach(SimulatedEndpoint::fail);
        simulation.schedule(simulation.parameters().failureDetectionUs, () -> {
            List<SimulatedEndpoint> stillFailed =
                    machines.stream().filter(SimulatedEndpoint::isFailed).toList();
            stillFailed.forEach(endpoint -> endpoint.setHealth(Endpoint.Health.GONE));
            publisher.publish(stillFailed);
        });
    }

    /** Restarts failed machines with cold processes. */
    void restart(List<SimulatedEndpoint> machines) {
        machines.forEach(SimulatedEndpoint::restart);
        publisher.publish(machines);
    }
}
