package gatelock.fleet;

import java.util.List;

/**
 * A step of the ladder to the target of docs/capacity/target.json.
 *
 * @param name as the command line and the page write it
 * @param targetShare the share of the target
 * @param requestsShare the share of the target's requests for each endpoint that is simulated, with four times the work
 */
record ScaleStep(
        String name, double targetShare, int relays, int endpoints, int services, int zones, double requestsShare) {
    static final List<ScaleStep> LADDER = List.of(
            new ScaleStep("1/1000", 0.001, 6, 200, 7, 3, 0.25),
            new ScaleStep("1/100", 0.01, 57, 2_000, 72, 19, 0.25),
            new ScaleStep("1/10", 0.1, 570, 20_000, 720, 19, 0.01),
            new ScaleStep("1/3", 1 / 3.0, 1_900, 66_667, 2_400, 19, 0.01),
            new ScaleStep("1", 1, 5_700, 200_000, 7_200, 19, 0.01));

    /** Requests for each endpoint of the target at its peak. */
    private static final double REQUESTS_PER_ENDPOINT_S = 24.5;

    private static final double MEAN_WORK_US = 280 * VirtualClock.MILLISECOND_US;
    private static final long LINK_BYTES_PER_S = 23_000;
    /** Restarts of endpoints in a day of the whole target. */
    private static final double RESTARTS_PER_DAY = 41_000;
    /** Lost endpoints in a day of the whole target. */
    private static final double FAILURES_PER_DAY = 1_200;

    private static final double SECONDS_PER_DAY = 86_400;
    /** Assumed: this many endpoints are under one switch, but no more than a share of all. */
    private static final int MAX_RACK_ENDPOINTS = 40;
    /** All endpoints fill at least so many racks. */
    private static final int MIN_RACKS = 20;
    /** Assumed: the Zipf exponent by which endpoints and requests are spread over services. */
    private static final double SERVICE_ZIPF_EXPONENT = 0.6;

    private static final double RELAY_LOAD_SPREAD = 1.5;

    /** @throws IllegalArgumentException for a name that is no step */
    static ScaleStep of(String name) {
        return LADDER.stream()
                .filter(step -> step.name.equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException(
                        "STEP is one of " + LADDER.stream().map(ScaleStep::name).toList()));
    }

    /** The parameters of this step's fleet, of which only some relays are simulated; 0: all. */
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

    int rackEndpoints() {
        return Math.min(MAX_RACK_ENDPOINTS, endpoints / MIN_RACKS);
    }

    double restartsPerS() {
        return RESTARTS_PER_DAY / SECONDS_PER_DAY * targetShare;
    }

    double failuresPerS() {
        return FAILURES_PER_DAY / SECONDS_PER_DAY * targetShare;
    }
}
