package gatelock.fleet;

import gatelock.api.AttemptResult;

/** One attempt of a request, on its way from a relay to an endpoint. */
final class SimulatedAttempt {
    private static final long RESPONSE_DELAY_US = VirtualClock.MILLISECOND_US;

    private final Simulation simulation;
    private final SimulatedRelay relay;
    private final int relayIncarnation;
    private final SimulatedRequest request;
    private final int number;
    private final SimulatedEndpoint endpoint;
    private final long sentUs;

    SimulatedAttempt(
            Simulation simulation,
            SimulatedRelay relay,
            SimulatedRequest request,
            int number,
            SimulatedEndpoint endpoint) {
        this.simulation = simulation;
        this.relay = relay;
        this.relayIncarnation = relay.incarnation();
        this.request = request;
        this.number = number;
        this.endpoint = endpoint;
        this.sentUs = simulation.nowUs();
    }

    String requestId() {
        return request.id();
    }

    int number() {
        return number;
    }

    String endpointName() {
        return endpoint.name();
    }

    double workUs() {
        return request.workUs();
    }

    long sentUs() {
        return sentUs;
    }

    /** The incarnation of the relay that sent this attempt. */
    int relayIncarnation() {
        return relayIncarnation;
    }

    /** The endpoint is done with this attempt; the relay hears of it when the response has travelled back. */
    void finish(AttemptResult result) {
        simulation.schedule(RESPONSE_DELAY_US, () -> relay.attemptEnded(this, result));
    }
}
