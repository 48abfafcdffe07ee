package gatelock.fleet;

import java.util.List;

/**
 * A step of the ladder to the target of docs/capacity/target.json: how many relays, endpoints and services, in how many
 * zones; {@code requestsShare}: of the target's requests for each endpoint, what is played, with four times the work each.
 */
record ScaleStep(String name, double part, int relays, int endpoints, int services, int zones, double requestsShare) {
    static final List<ScaleStep> LADDER = List.of(
            new ScaleStep("1/1000", 0.001, 6, 200, 7, 3, 0.25),
            new ScaleStep("1/100", 0.01, 57, 2_000, 72, 19, 0.25),
            new ScaleStep("1/10", 0.1, 570, 20_000, 720, 19, 0.01),
            new ScaleStep("1/3", 1 / 3.0, 1_900, 66_667, 2_400, 19, 0.01),
            new ScaleStep("1", 1, 5_700, 200_000, 7_200, 19, 0.01));

    /** Of the target, at its peak. */
    private static final double REQS_PER_UNIT_S = 24.5;

    private static final double WORK_US = 280 * SimulatedFleet.MS;
    private static final long LINK_BYTES_PER_S = 23_000;
    /** Of the target, in a day. */
    private static final double RESTARTS = 41_000;

    private static final double FAILURES = 1_200;
    private static final double DAY_S = 86_400;
    /** Assumed: this many endpoints under one switch, but never more than so much of all. */
    private static final int RACK_UNITS = 40;

    private static final int LEAST_RACKS = 20;
    /** Assumed: how endpoints and requests fall on services, as an exponent of Zipf. */
    private static final double SKEW = 0.6;

    static ScaleStep of(String name) {
        return LADDER.stream()
                .filter(s -> s.name.equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException(
                        "STEP is one of " + LADDER.stream().map(ScaleStep::name).toList()));
    }

    /** The fleet of this step of which so many relays are played. */
    SimulatedFleet.Terms terms(int played, long seed) {
        SimulatedFleet.Terms t = new SimulatedFleet.Terms();
        t.relays = relays;
        t.relaysPlayed = played;
        t.endpoints = endpoints;
        t.services = services;
        t.serviceSkew = SKEW;
        t.zones = zones;
        t.seed = seed;
        t.uneven = 1.5;
        t.workUs = WORK_US;
        t.requestsPerS = REQS_PER_UNIT_S * requestsShare * endpoints * t.played() / relays;
        t.linkBytesPerS = LINK_BYTES_PER_S;
        return t;
    }

    int rackEndpoints() {
        return Math.min(RACK_UNITS, endpoints / LEAST_RACKS);
    }

    double restartsPerS() {
        return RESTARTS / DAY_S * part;
    }

    double failuresPerS() {
        return FAILURES / DAY_S * part;
    }
}
