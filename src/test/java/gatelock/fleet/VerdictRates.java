package gatelock.fleet;

import gatelock.api.DecisionEngine;
import java.util.List;
import java.util.stream.IntStream;

/** Prints a table of how often bad builds are released and good ones rolled back, over many seeds. It is not a test. */
final class VerdictRates {
    private static final int[] DEFAULT_FLEET_SIZES = {14, 50, 100};
    private static final double REQUESTS_PER_S = 340;
    private static final long WARM_UP_US = 10 * VirtualClock.SECOND_US;
    private static final int PERIODS = 6;
    private static final long PERIOD_US = 5 * VirtualClock.SECOND_US;
    private static final double BURST_FACTOR = 1.5;
    private static final int BURST_START = 1;
    private static final int BURST_END = 3;

    /** A canary build and the disturbances during its rollout. */
    private record BuildCase(
            String name,
            double errorRate,
            double workFactor,
            long faultAgeUs,
            double faultUtilization,
            boolean pauses,
            boolean burst) {
        BuildCase(String name, double errorRate, double workFactor) {
            this(name, errorRate, workFactor, 0, 0, false, false);
        }
    }

    private static final List<BuildCase> CASES = List.of(
            new BuildCase("good", 0, 1),
            new BuildCase("good, 15% slower", 0, 1.15),
            new BuildCase("good, units pause", 0, 1, 0, 0, true, false),
            new BuildCase("good, a burst", 0, 1, 0, 0, false, true),
            new BuildCase("errors 5%", 0.05, 1),
            new BuildCase("errors 10%", 0.1, 1),
            new BuildCase("errors 30%", 0.3, 1),
            new BuildCase("work x1.7", 0, 1.7),
            new BuildCase("work x2", 0, 2),
            new BuildCase("work x3", 0, 3),
            new BuildCase("work x2.5 from 6 s on", 0, 2.5, 6 * VirtualClock.SECOND_US, 0, false, false),
            new BuildCase("errors 10% from 6 s on", 0.1, 1, 6 * VirtualClock.SECOND_US, 0, false, false),
            new BuildCase("work x2.5 when busy", 0, 2.5, 0, 0.4, false, false));

    private VerdictRates() {}

    /** Runs all cases; the first argument is the number of seeds, further ones are numbers of relays. */
    public static void main(String[] args) {
        int seeds = Integer.parseInt(args[0]);
        int[] fleetSizes = args.length == 1
                ? DEFAULT_FLEET_SIZES
                : IntStream.range(1, args.length)
                        .map(i -> Integer.parseInt(args[i]))
                        .toArray();
        System.out.println("| relays | build | back before release | back after | stays | a stage, s |");
        for (int relays : fleetSizes) {
            for (BuildCase buildCase : CASES) {
                List<SimulatedFleet> fleets = IntStream.rangeClosed(1, seeds)
                        .parallel()
                        .mapToObj(seed -> run(relays, seed, buildCase))
                        .toList();
                printRow(relays, buildCase.name, fleets);
            }
        }
    }

    private static void printRow(int relays, String name, List<SimulatedFleet> fleets) {
        long rolledBack = fleets.stream().filter(VerdictRates::isRolledBack).count();
        long rolledBackLate = fleets.stream()
                .filter(fleet -> isRolledBack(fleet) && wasReleased(fleet))
                .count();
        long keptReleases = fleets.stream()
                .filter(fleet -> !isRolledBack(fleet) && wasReleased(fleet))
                .count();
        double meanStageUs = fleets.stream()
                .flatMap(fleet -> fleet.releaseController().stageDurationsUs().stream())
                .mapToLong(Long::longValue)
                .average()
                .orElse(0);
        System.out.printf(
                "| %d | %s | %d | %d | %d | %.2f |%n",
                relays,
                name,
                rolledBack - rolledBackLate,
                rolledBackLate,
                keptReleases,
                meanStageUs / VirtualClock.SECOND_US);
    }

    private static boolean isRolledBack(SimulatedFleet fleet) {
        return fleet.releaseController().phase() == DecisionEngine.ReleasePhase.REVERTING;
    }

    private static boolean wasReleased(SimulatedFleet fleet) {
        return fleet.releaseController().passedAllStages();
    }

    private static SimulatedFleet run(int relays, long seed, BuildCase buildCase) {
        FleetParameters parameters = new FleetParameters();
        parameters.relays = relays;
        parameters.seed = seed;
        parameters.canaryErrorRate = buildCase.errorRate;
        parameters.canaryWorkFactor = buildCase.workFactor;
        parameters.canaryFaultAgeUs = buildCase.faultAgeUs;
        parameters.canaryFaultUtilization = buildCase.faultUtilization;
        parameters.requestsPerS = REQUESTS_PER_S;
        SimulatedFleet fleet = new SimulatedFleet(parameters);
        fleet.run(WARM_UP_US);
        fleet.releaseController().startNextRollout();
        for (int period = 0; period < PERIODS; period++) {
            fleet.run(PERIOD_US);
            if (buildCase.pauses) {
                fleet.outages().pauseSome(0.15, 600 * VirtualClock.MILLISECOND_US, 2 * VirtualClock.SECOND_US);
            }
            if (buildCase.burst && period == BURST_START) {
                fleet.scaleLoad(BURST_FACTOR);
            }
            if (buildCase.burst && period == BURST_END) {
                fleet.scaleLoad(1 / BURST_FACTOR);
            }
        }
        return fleet;
    }
}
