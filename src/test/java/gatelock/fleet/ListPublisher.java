package gatelock.fleet;

import java.util.List;

/** Sends discovery's changes to the relays, each with a delay of its own. */
final class ListPublisher {
    private static final long MIN_DELAY_US = 200 * VirtualClock.MILLISECOND_US;
    private static final long DELAY_RANGE_US = 600 * VirtualClock.MILLISECOND_US;
    private static final long RELAY_DELAY_RANGE_US = 300 * VirtualClock.MILLISECOND_US;

    private final Simulation simulation;
    private final SimulatedDiscovery discovery;
    private final List<SimulatedRelay> relays;

    /** @param relays all relays of the fleet, which may still be added to */
    ListPublisher(Simulation simulation, SimulatedDiscovery discovery, List<SimulatedRelay> relays) {
        this.simulation = simulation;
        this.discovery = discovery;
        this.relays = relays;
    }

    /** The list has changed: every relay that is up is sent the change. */
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

    /** Sends the whole list to a relay that has just started. */
    void publishFullList(SimulatedRelay relay) {
        relay.deliver(discovery.fullList(simulation.nowUs()), simulation.nowUs() + nextDelayUs());
    }

    private long nextDelayUs() {
        return MIN_DELAY_US + simulation.random().nextLong(DELAY_RANGE_US);
    }
}
