package gatelock.fleet;

import java.util.List;

/** Injects replacements, failures, restarts and pauses of machines into a fleet. */
final class Outages {
    private static final long REPLACEMENT_DELAY_US = 2 * VirtualClock.SECOND_US;
    /** Period over which the zones restart one after another. */
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

    /** Drains and terminates an endpoint and starts a replacement, which causes three changes of the list. */
    void replaceOne() {
        SimulatedEndpoint endpoint = endpoints.randomReady();
        lifecycle.drainAndTerminate(
                endpoint,
                () -> simulation.schedule(REPLACEMENT_DELAY_US, () -> lifecycle.launchReplacement(endpoint.service())));
    }

    /** Fails a machine, which discovery detects later, and starts a replacement. */
    void failOne() {
        SimulatedEndpoint endpoint = endpoints.randomReady();
        lifecycle.fail(List.of(endpoint));
        simulation.schedule(
                simulation.parameters().failureDetectionUs + REPLACEMENT_DELAY_US,
                () -> lifecycle.launchReplacement(endpoint.service()));
    }

    /** Fails endpoints behind one switch, all in one zone, and restarts them cold after the downtime. */
    void failRack(int zone, int count, long downtimeUs) {
        List<SimulatedEndpoint> rack =
                endpoints.inZone(zone).stream().limit(count).toList();
        lifecycle.fail(rack);
        simulation.schedule(downtimeUs, () -> lifecycle.restart(rack));
    }

    /** Fails all endpoints and relays of a zone and restarts them cold after the downtime. */
    void failZone(int zone, long downtimeUs) {
        List<SimulatedEndpoint> inZone = endpoints.inZone(zone);
        relays.stream().filter(relay -> relay.zone() == zone).forEach(relay -> relay.crash(downtimeUs));
        lifecycle.fail(inZone);
        simulation.schedule(downtimeUs, () -> lifecycle.restart(inZone));
    }

    /**
     * Stops all endpoints and relays at once. Each relay restarts after the relay downtime with its cached list, and
     * the endpoints restart zone by zone from the endpoint downtime on.
     */
    void restartAll(long relayDowntimeUs, long endpointDowntimeUs) {
        List<SimulatedEndpoint> all = endpoints.all();
        relays.forEach(relay -> relay.crash(relayDowntimeUs));
        all.forEach(SimulatedEndpoint::fail);
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

    /** Makes a random share of the endpoints pause repeatedly from now on. */
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

    /** Pauses all endpoints of a zone without a change in discovery. */
    void pauseZone(int zone, long durationUs) {
        endpoints.inZone(zone).forEach(endpoint -> endpoint.pause(durationUs));
    }
}
