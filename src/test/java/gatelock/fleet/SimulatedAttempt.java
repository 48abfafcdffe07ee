package gatelock.fleet;

import gatelock.api.AttemptResult;

/** An attempt that a relay sends to an endpoint for a request. */
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

    /** Returns the id of the request. */
    String requestId() {
        return request.id();
    }

    /** Returns the number of this attempt within its request, from 0. */
    int number() {
        return number;
    }

    /** Returns the name of the endpoint. */
    String endpointName() {
        return endpoint.name();
    }

    /** Returns the processing time that the attempt needs at an endpoint of full speed. */
    double workUs() {
        return request.workUs();
    }

    /** Returns the time at which the relay sent this attempt. */
    long sentUs() {
        return sentUs;
    }

    /** Returns the incarnation of the relay that sent this attempt. */
    int relayIncarnation() {
        return relayIncarnation;
    }

    /** Ends this attempt at the endpoint; the relay receives the result after the response delay. */
    void finish(AttemptResult result) {
        simulation.schedule(RESPONSE_DELAY_US, () -> relay.attemptEnded(this, result));
    }
}
