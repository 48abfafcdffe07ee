package gatelock.fleet;

import gatelock.relay.Gate;

import java.util.stream.IntStream;

/** How often bad builds are released and good ones sent back, over many seeds; a table, no test. */
final class Rates {
    private Rates() {
    }

    public static void main(String[] args) {
        int seeds = Integer.parseInt(args[0]);
        int[] fleets = args.length > 1 ? new int[] {Integer.parseInt(args[1])} : new int[] {14, 50, 100};
        for (int relays : fleets) {
            for (String kind : new String[] {"good", "good 15% slower", "good, units pause", "good, burst", "errors 5%", "errors 10%", "errors 30%",
                "slow x1.7", "slow x2", "slow x3", "late slow x2.5", "late errors 10%", "busy slow x2.5"}) {
                int back = 0;
                int backLater = 0;
                int on = 0;
                long us = 0;
                for (Fleet f : IntStream.rangeClosed(1, seeds).parallel().mapToObj(s -> play(relays, s, kind)).toList()) {
                    boolean released = f.desk.stageUs.size() == f.terms.shares.length;
                    boolean gone = f.desk.phase() == Gate.Phase.REVERTING;
                    back += gone && !released ? 1 : 0;
                    backLater += gone && released ? 1 : 0;
                    on += released && !gone ? 1 : 0;
                    us += f.desk.stageUs.stream().mapToLong(Long::longValue).sum() / Math.max(1, f.desk.stageUs.size());
                }
                System.out.printf("%4d relays %-18s back %3d, after release %3d, stays released %3d; a stage %.2f s%n",
                    relays, kind, back, backLater, on, us / 1e6 / seeds);
            }
        }
    }

    private static Fleet play(int relays, long seed, String kind) {
        Fleet.Terms t = new Fleet.Terms();
        t.relays = relays;
        t.units = 60;
        t.seed = seed;
        t.newFails = kind.contains("errors 5") ? 0.05 : kind.contains("errors 10") ? 0.1 : kind.contains("errors 3") ? 0.3 : 0;
        t.newWork = kind.contains("x1.7") ? 1.7 : kind.contains("x2.5") ? 2.5 : kind.contains("x2") ? 2 : kind.contains("x3") ? 3
            : kind.contains("15%") ? 1.15 : 1;
        t.badFromUs = kind.contains("late") ? 6 * Fleet.S : 0;
        t.badFromBusy = kind.contains("busy") ? 0.4 : 0;
        t.reqsPerS = 340;
        Fleet f = new Fleet(t);
        f.run(10 * Fleet.S);
        f.desk.offer();
        for (int i = 0; i < 6; i++) {
            f.run(5 * Fleet.S);
            if (kind.contains("pause")) {
                f.pauseSome(0.15, 600 * Fleet.MS, 2 * Fleet.S);
            }
            if (kind.contains("burst")) {
                f.load(i == 1 ? 1.5 : i == 3 ? 0.67 : 1);
            }
        }
        return f;
    }
}
