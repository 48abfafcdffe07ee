package gatelock.fleet;

import java.util.List;

/** What happens to the machines of a fleet: replacements, losses, restarts and pauses. */
final class Outages {
    private static final long REPLACEMENT_DELAY_US = 2 * VirtualClock.SECOND_US;
    /** Span over which the zones restart one after the other. */
    private static final long ZONE_RESTARTS_US = 2 * VirtualClock.SECOND_US;

    private final Simulation simulation;
    private final SimulatedEndpoints endpoints;
    private final List<SimulatedRelay> relays;
    private final EndpointLifecycle lifecycle;

    Outages(
            Simulation simulation,
            SimulatedEndpoints endpoints,
            List<SimulatedRelay> relays,
            EndpointLifecycle lifecycle) {
        this.simulation = simulation;
        this.endpoints = endpoints;
        this.relays = relays;
        this.lifecycle = lifecycle;
    }

    /** One endpoint is drained and terminated, and another one takes its place: three changes of the list. */
    void replaceOne() {
        SimulatedEndpoint endpoint = endpoints.randomReady();
        lifecycle.drainAndTerminate(
                endpoint,
                () -> simulation.schedule(REPLACEMENT_DELAY_US, () -> lifecycle.launchReplacement(endpoint.service())));
    }

    /** One machine is lost, which discovery detects later, and another one takes its place. */
    void loseOne() {
        SimulatedEndpoint endpoint = endpoints.randomReady();
        lifecycle.lose(List.of(endpoint));
        simulation.schedule(
                simulation.parameters().failureDetectionUs + REPLACEMENT_DELAY_US,
                () -> lifecycle.launchReplacement(endpoint.service()));
    }

    /** Endpoints under one switch, all in one zone, are lost; they are back after a while, cold. */
    void loseRack(int zone, int count, long downtimeUs) {
        List<SimulatedEndpoint> rack =
                endpoints.inZone(zone).stream().limit(count).toList();
        lifecycle.lose(rack);
        simulation.schedule(downtimeUs, () -> lifecycle.restart(rack));
    }

    /** All endpoints and relays of a zone are lost; they are back after a while, cold. */
    void loseZone(int zone, long downtimeUs) {
        List<SimulatedEndpoint> inZone = endpoints.inZone(zone);
        relays.stream().filter(relay -> relay.zone() == zone).forEach(relay -> relay.kill(downtimeUs));
        lifecycle.lose(inZone);
        simulation.schedule(downtimeUs, () -> lifecycle.restart(inZone));
    }

    /**
     * All endpoints and relays go down at once. The relays are back first, with the list that they had cached, and then
     * the endpoints, zone by zone.
     */
    void restartAll(long relayDowntimeUs, long endpointDowntimeUs) {
        List<SimulatedEndpoint> all = endpoints.all();
        relays.forEach(relay -> relay.kill(relayDowntimeUs));
        all.forEach(SimulatedEndpoint::lose);
        int zones = simulation.parameters().zones;
        for (int i = 0; i < zones; i++) {
            int zone = i;
            simulation.schedule(
                    endpointDowntimeUs + zone * ZONE_RESTARTS_US / zones,
                    () -> lifecycle.restart(all.stream()
                            .filter(endpoint -> endpoint.zone() == zone)
                            .toList()));
        }
    }

    /** A random share of the endpoints stands still again and again from now on. */
    void pauseSome(double share, long durationUs, long meanIntervalUs) {
        for (SimulatedEndpoint endpoint : endpoints.all()) {
            if (simulation.random().nextDouble() < share) {
                pauseRepeatedly(endpoint, durationUs, meanIntervalUs);
            }
        }
    }

    private void pauseRepeatedly(SimulatedEndpoint endpoint, long durationUs, long meanIntervalUs) {
        simulation.schedule((long) (meanIntervalUs * simulation.nextExponential()), () -> {
            endpoint.pause(durationUs);
            pauseRepeatedly(endpoint, durationUs, meanIntervalUs);
        });
    }

    /** All endpoints of a zone stand still for a while, and discovery does not know of it. */
    void pauseZone(int zone, long durationUs) {
        endpoints.inZone(zone).forEach(endpoint -> endpoint.pause(durationUs));
    }
}
