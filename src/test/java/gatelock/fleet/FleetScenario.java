package gatelock.fleet;

import java.util.List;

/** What is played at a step; each brings its own course of events, and ends with everything at rest. */
enum FleetScenario {
    /** Restarts and failures at the target's daily rates for all units, whatever the step's part of them. */
    DAY {
        @Override
        void events(Fleet fleet, ScaleStep step) {
            double perS = (step.restartsPerS() + step.failuresPerS()) * squeeze(step);
            int events = (int) Math.round(perS * SPAN_S);
            int lost = (int) Math.max(1, Math.round(step.failuresPerS() * squeeze(step) * SPAN_S));
            for (int i = 0; i < events; i++) {
                fleet.run(SPAN_S * Fleet.S / events);
                if (i % (events / lost) == events / lost / 2) {
                    fleet.loseOne();
                } else {
                    fleet.replaceOne();
                }
            }
            fleet.run(14 * Fleet.S);
        }

        @Override
        double squeeze(ScaleStep step) {
            return 1 / step.part();
        }
    },
    /** All units under a switch are lost, and back cold. */
    RACK {
        @Override
        void events(Fleet fleet, ScaleStep step) {
            fleet.loseRack(0, step.rackUnits(), BACK_S * Fleet.S);
            fleet.run((BACK_S + AFTER_S) * Fleet.S);
        }
    },
    /** All units and relays of a zone are lost, and back cold. */
    ZONE {
        @Override
        void events(Fleet fleet, ScaleStep step) {
            fleet.loseZone(0, BACK_S * Fleet.S);
            fleet.run((BACK_S + AFTER_S) * Fleet.S);
        }
    },
    /** Everything is started anew at once: relays are back after 3 s, units from 5 to 7 s. */
    RESTART {
        @Override
        void events(Fleet fleet, ScaleStep step) {
            fleet.restartAll(3 * Fleet.S, 5 * Fleet.S);
            fleet.run((BACK_S + AFTER_S) * Fleet.S);
        }
    };

    private static final int SPAN_S = 25;
    private static final int BACK_S = 12;
    private static final int AFTER_S = 12;
    private static final int BEFORE_S = 6;

    abstract void events(Fleet fleet, ScaleStep step);

    /** How many times as often as in an ordinary day of that step. */
    double squeeze(ScaleStep step) {
        return 1;
    }

    /** What came of a play. */
    record Result(Fleet fleet, CpuMeter meter, List<String> broken, double spanS, double wallS) {
        long count(String rule) {
            return broken.stream().filter(b -> b.startsWith(rule)).count();
        }
    }

    /** One play; the meter is on where figures of time and memory are wanted. */
    Result play(ScaleStep step, Fleet.Terms terms, CpuMeter meter) {
        long wall = System.nanoTime();
        Fleet fleet = new Fleet(terms, meter);
        fleet.run(BEFORE_S * Fleet.S);
        meter.begin();
        long fromUs = fleet.nowUs();
        events(fleet, step);
        double spanS = (fleet.nowUs() - fromUs) / (double) Fleet.S;
        meter.in(CpuMeter.Role.WORLD);
        meter.stop();
        List<String> broken = fleet.broken();
        return new Result(fleet, meter, broken, spanS, (System.nanoTime() - wall) / 1e9);
    }
}
