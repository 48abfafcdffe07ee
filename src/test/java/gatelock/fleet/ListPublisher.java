package gatelock.fleet;

import java.util.List;

/** Sends changes of the endpoint list from discovery to the relays, each with a random delay. */
final class ListPublisher {
    private static final long MIN_DELAY_US = 200 * VirtualClock.MILLISECOND_US;
    private static final long DELAY_RANGE_US = 600 * VirtualClock.MILLISECOND_US;
    private static final long RELAY_DELAY_RANGE_US = 300 * VirtualClock.MILLISECOND_US;

    private final Simulation simulation;
    private final SimulatedDiscovery discovery;
    private final List<SimulatedRelay> relays;

    /** @param relays all relays of the fleet; relays may be added to this list later */
    ListPublisher(Simulation simulation, SimulatedDiscovery discovery, List<SimulatedRelay> relays) {
        this.simulation = simulation;
        this.discovery = discovery;
        this.relays = relays;
    }

    /** Updates the list with the changed endpoints and sends the change to every relay that is up. */
    void publish(List<SimulatedEndpoint> changed) {
        SimulatedDiscovery.Message message = discovery.update(
                simulation.nowUs(),
                changed.stream().map(SimulatedEndpoint::entry).toList());
        long delayUs = nextDelayUs();
        for (SimulatedRelay relay : relays) {
            long sentUs = simulation.nowUs() + delayUs + simulation.random().nextLong(RELAY_DELAY_RANGE_US);
            if (relay.isUp()) {
                relay.deliver(message, sentUs);
            }
        }
    }

    /** Sends the full list to a relay that has just started. */
    void publishFullList(SimulatedRelay relay) {
        relay.deliver(discovery.fullList(simulation.nowUs()), simulation.nowUs() + nextDelayUs());
    }

    private long nextDelayUs() {
        return MIN_DELAY_US + simulation.random().nextLong(DELAY_RANGE_US);
    }
}
