package gatelock.fleet;

import gatelock.api.DecisionEngine;
import java.util.List;
import java.util.stream.IntStream;

/** How often bad builds are released and good ones sent back, over many seeds; a table, no test. */
final class VerdictRates {
    private static final long S = SimulatedFleet.S;

    /** A build on offer, and what happens beside it. */
    private record Case(
            String name, double fails, double work, long badFromUs, double badFromBusy, boolean pauses, boolean burst) {
        Case(String name, double fails, double work) {
            this(name, fails, work, 0, 0, false, false);
        }
    }

    private static final List<Case> CASES = List.of(
            new Case("good", 0, 1),
            new Case("good, 15% slower", 0, 1.15),
            new Case("good, units pause", 0, 1, 0, 0, true, false),
            new Case("good, a burst", 0, 1, 0, 0, false, true),
            new Case("errors 5%", 0.05, 1),
            new Case("errors 10%", 0.1, 1),
            new Case("errors 30%", 0.3, 1),
            new Case("work x1.7", 0, 1.7),
            new Case("work x2", 0, 2),
            new Case("work x3", 0, 3),
            new Case("work x2.5 from 6 s on", 0, 2.5, 6 * S, 0, false, false),
            new Case("errors 10% from 6 s on", 0.1, 1, 6 * S, 0, false, false),
            new Case("work x2.5 when busy", 0, 2.5, 0, 0.4, false, false));

    private VerdictRates() {}

    /** The first word is how many seeds, any further ones are sizes of fleets. */
    public static void main(String[] args) {
        int seeds = Integer.parseInt(args[0]);
        int[] sizes = args.length == 1
                ? new int[] {14, 50, 100}
                : IntStream.range(1, args.length)
                        .map(i -> Integer.parseInt(args[i]))
                        .toArray();
        System.out.println("| relays | build | back before release | back after | stays | a stage, s |");
        for (int relays : sizes) {
            for (Case c : CASES) {
                List<SimulatedFleet> played = IntStream.rangeClosed(1, seeds)
                        .parallel()
                        .mapToObj(seed -> play(relays, seed, c))
                        .toList();
                long gone = played.stream().filter(VerdictRates::isBack).count();
                long late =
                        played.stream().filter(f -> isBack(f) && wasReleased(f)).count();
                long stays = played.stream()
                        .filter(f -> !isBack(f) && wasReleased(f))
                        .count();
                double us = played.stream()
                        .flatMap(f -> f.controller.stageUs.stream())
                        .mapToLong(x -> x)
                        .average()
                        .orElse(0);
                System.out.printf(
                        "| %d | %s | %d | %d | %d | %.2f |%n", relays, c.name, gone - late, late, stays, us / S);
            }
        }
    }

    private static boolean isBack(SimulatedFleet f) {
        return f.controller.phase() == DecisionEngine.Phase.REVERTING;
    }

    private static boolean wasReleased(SimulatedFleet f) {
        return f.controller.stageUs.size() == f.terms.shares.length;
    }

    private static SimulatedFleet play(int relays, long seed, Case c) {
        SimulatedFleet.Terms t = new SimulatedFleet.Terms();
        t.relays = relays;
        t.seed = seed;
        t.newFails = c.fails;
        t.newWork = c.work;
        t.badFromUs = c.badFromUs;
        t.badFromBusy = c.badFromBusy;
        t.requestsPerS = 340;
        SimulatedFleet f = new SimulatedFleet(t);
        f.run(10 * S);
        f.controller.offer();
        for (int i = 0; i < 6; i++) {
            f.run(5 * S);
            if (c.pauses) {
                f.pauseSome(0.15, 600 * SimulatedFleet.MS, 2 * S);
            }
            if (c.burst) {
                f.load(i == 1 ? 1.5 : i == 3 ? 1 / 1.5 : 1);
            }
        }
        return f;
    }
}
