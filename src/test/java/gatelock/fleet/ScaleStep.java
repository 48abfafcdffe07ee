package gatelock.fleet;

import java.util.List;

/**
 * A scale step: a fleet with a share of the target scale in docs/capacity/target.json.
 *
 * @param name the name on the command line and on the generated page
 * @param targetShare the share of the target scale
 * @param requestsShare the share of the target's requests per endpoint that is simulated; each of them needs four times
 *     the work
 */
record ScaleStep(
        String name, double targetShare, int relays, int endpoints, int services, int zones, double requestsShare) {
    /** All steps, from the smallest to the full target. */
    static final List<ScaleStep> STEPS = List.of(
            new ScaleStep("1/1000", 0.001, 6, 200, 7, 3, 0.25),
            new ScaleStep("1/100", 0.01, 57, 2_000, 72, 19, 0.25),
            new ScaleStep("1/10", 0.1, 570, 20_000, 720, 19, 0.01),
            new ScaleStep("1/3", 1 / 3.0, 1_900, 66_667, 2_400, 19, 0.01),
            new ScaleStep("1", 1, 5_700, 200_000, 7_200, 19, 0.01));

    /** Peak requests per second and endpoint of the target. */
    private static final double REQUESTS_PER_ENDPOINT_S = 24.5;

    private static final double MEAN_WORK_US = 280 * VirtualClock.MILLISECOND_US;
    private static final long LINK_BYTES_PER_S = 23_000;
    /** Endpoint restarts per day at the full target scale. */
    private static final double RESTARTS_PER_DAY = 41_000;
    /** Endpoint failures per day at the full target scale. */
    private static final double FAILURES_PER_DAY = 1_200;

    private static final double SECONDS_PER_DAY = 86_400;
    /** Assumed number of endpoints behind one switch, unless {@link #MIN_RACKS} requires smaller racks. */
    private static final int MAX_RACK_ENDPOINTS = 40;
    /** Minimum number of racks over which all endpoints are spread. */
    private static final int MIN_RACKS = 20;
    /** Assumed exponent of the Zipf distribution of endpoints and requests over the services. */
    private static final double SERVICE_ZIPF_EXPONENT = 0.6;

    private static final double RELAY_LOAD_SPREAD = 1.5;

    /**
     * Returns the step with a name.
     *
     * @throws IllegalArgumentException if there is no such step
     */
    static ScaleStep of(String name) {
        return STEPS.stream()
                .filter(step -> step.name.equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("STEP must be one of "
                        + STEPS.stream().map(ScaleStep::name).toList()));
    }

    /** Returns the parameters of this step's fleet; {@code simulatedRelays} is 0 if all relays are simulated. */
    FleetParameters parameters(int simulatedRelays, long seed) {
        FleetParameters parameters = new FleetParameters();
        parameters.relays = relays;
        parameters.simulatedRelays = simulatedRelays;
        parameters.endpoints = endpoints;
        parameters.services = services;
        parameters.serviceZipfExponent = SERVICE_ZIPF_EXPONENT;
        parameters.zones = zones;
        parameters.seed = seed;
        parameters.relayLoadSpread = RELAY_LOAD_SPREAD;
        parameters.meanWorkUs = MEAN_WORK_US;
        parameters.requestsPerS =
                REQUESTS_PER_ENDPOINT_S * requestsShare * endpoints * parameters.simulatedRelayCount() / relays;
        parameters.discoveryLinkBytesPerS = LINK_BYTES_PER_S;
        return parameters;
    }

    /** Returns the number of endpoints behind one switch. */
    int rackEndpoints() {
        return Math.min(MAX_RACK_ENDPOINTS, endpoints / MIN_RACKS);
    }

    /** Returns the rate of endpoint restarts on an ordinary day at this step. */
    double restartsPerS() {
        return RESTARTS_PER_DAY / SECONDS_PER_DAY * targetShare;
    }

    /** Returns the rate of endpoint failures on an ordinary day at this step. */
    double failuresPerS() {
        return FAILURES_PER_DAY / SECONDS_PER_DAY * targetShare;
    }
}
