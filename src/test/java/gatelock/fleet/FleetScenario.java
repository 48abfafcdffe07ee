package gatelock.fleet;

import java.util.List;

/** What is played at a step; each brings its own course of events, and ends with everything at rest. */
enum FleetScenario {
    /** Restarts and failures at the target's daily rates for all endpoints, whatever the step's part of them. */
    DAY {
        @Override
        void events(SimulatedFleet fleet, ScaleStep step) {
            double perS = (step.restartsPerS() + step.failuresPerS()) * squeeze(step);
            int events = (int) Math.round(perS * SPAN_S);
            int lost = (int) Math.max(1, Math.round(step.failuresPerS() * squeeze(step) * SPAN_S));
            for (int i = 0; i < events; i++) {
                fleet.run(SPAN_S * SimulatedFleet.S / events);
                if (i % (events / lost) == events / lost / 2) {
                    fleet.loseOne();
                } else {
                    fleet.replaceOne();
                }
            }
            fleet.run(14 * SimulatedFleet.S);
        }

        @Override
        double squeeze(ScaleStep step) {
            return 1 / step.part();
        }
    },
    /** All endpoints under a switch are lost, and back cold. */
    RACK {
        @Override
        void events(SimulatedFleet fleet, ScaleStep step) {
            fleet.loseRack(0, step.rackEndpoints(), BACK_S * SimulatedFleet.S);
            fleet.run((BACK_S + AFTER_S) * SimulatedFleet.S);
        }
    },
    /** All endpoints and relays of a zone are lost, and back cold. */
    ZONE {
        @Override
        void events(SimulatedFleet fleet, ScaleStep step) {
            fleet.loseZone(0, BACK_S * SimulatedFleet.S);
            fleet.run((BACK_S + AFTER_S) * SimulatedFleet.S);
        }
    },
    /** Everything is started anew at once: relays are back after 3 s, endpoints from 5 to 7 s. */
    RESTART {
        @Override
        void events(SimulatedFleet fleet, ScaleStep step) {
            fleet.restartAll(3 * SimulatedFleet.S, 5 * SimulatedFleet.S);
            fleet.run((BACK_S + AFTER_S) * SimulatedFleet.S);
        }
    };

    private static final int SPAN_S = 25;
    private static final int BACK_S = 12;
    private static final int AFTER_S = 12;
    private static final int BEFORE_S = 6;

    abstract void events(SimulatedFleet fleet, ScaleStep step);

    /** How many times as often as in an ordinary day of that step. */
    double squeeze(ScaleStep step) {
        return 1;
    }

    /** What came of a play. */
    record Result(SimulatedFleet fleet, CpuMeter meter, List<String> broken, double spanS, double wallS) {
        long count(String rule) {
            return broken.stream().filter(b -> b.startsWith(rule)).count();
        }
    }

    /** One play; the meter is on where figures of time and memory are wanted. */
    Result play(ScaleStep step, SimulatedFleet.Terms terms, CpuMeter meter) {
        long wall = System.nanoTime();
        SimulatedFleet fleet = new SimulatedFleet(terms, meter);
        fleet.run(BEFORE_S * SimulatedFleet.S);
        meter.begin();
        long fromUs = fleet.nowUs();
        events(fleet, step);
        double spanS = (fleet.nowUs() - fromUs) / (double) SimulatedFleet.S;
        meter.in(CpuMeter.Role.WORLD);
        meter.stop();
        List<String> broken = fleet.broken();
        return new Result(fleet, meter, broken, spanS, (System.nanoTime() - wall) / 1e9);
    }
}
