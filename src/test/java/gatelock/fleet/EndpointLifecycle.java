package gatelock.fleet;

import gatelock.api.Endpoint;
import java.util.ArrayList;
import java.util.List;

/** Starts, drains, loses and restarts endpoints, and lets discovery know as it would find out. */
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

    /** Starts endpoints of a build; they run at once, and every relay is notified of them. */
    List<SimulatedEndpoint> launch(int build, int count) {
        List<SimulatedEndpoint> launched = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            launched.add(endpoints.create(build, simulation.nowUs(), 0));
        }
        launched.forEach(SimulatedEndpoint::start);
        publisher.publish(launched);
        return launched;
    }

    /** Starts one endpoint of a service, in place of one that is gone. */
    void launchReplacement(int service) {
        SimulatedEndpoint replacement = endpoints.create(BASE_BUILD, simulation.nowUs(), service);
        replacement.start();
        publisher.publish(List.of(replacement));
    }

    /** Drains all ready endpoints of a build; their processes go on for what still comes. */
    void drain(int build) {
        List<SimulatedEndpoint> draining =
                endpoints.matching(endpoint -> endpoint.build() == build && endpoint.health() == Endpoint.Health.READY);
        draining.forEach(endpoint -> endpoint.setHealth(Endpoint.Health.DRAINING));
        publisher.publish(draining);
    }

    /** Drains one endpoint, whose process ends once the drain time is over; then runs {@code afterwards}. */
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

    /** Machines are lost; discovery detects later which of them still are. */
    void lose(List<SimulatedEndpoint> machines) {
        machines.forEach(SimulatedEndpoint::lose);
        simulation.schedule(simulation.parameters().failureDetectionUs, () -> {
            List<SimulatedEndpoint> stillLost =
                    machines.stream().filter(SimulatedEndpoint::isLost).toList();
            stillLost.forEach(endpoint -> endpoint.setHealth(Endpoint.Health.GONE));
            publisher.publish(stillLost);
        });
    }

    /** Lost machines are back, with cold processes. */
    void restart(List<SimulatedEndpoint> machines) {
        machines.forEach(SimulatedEndpoint::restart);
        publisher.publish(machines);
    }
}
