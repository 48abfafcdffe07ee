package gatelock.fleet;

import java.util.List;

/** What happens to the machines of a fleet in a run at a step of the ladder; at the end of each everything is at rest. */
enum FleetScenario {
    /** Restarts and failures at the daily rates of the whole target, whatever the step's share of it. */
    DAY {
        @Override
        void play(SimulatedFleet fleet, ScaleStep step) {
            double eventsPerS = (step.restartsPerS() + step.failuresPerS()) * compression(step);
            int events = (int) Math.round(eventsPerS * DAY_SPAN_S);
            int failures = (int) Math.max(1, Math.round(step.failuresPerS() * compression(step) * DAY_SPAN_S));
            int eventsPerFailure = events / failures;
            for (int i = 0; i < events; i++) {
                fleet.run(DAY_SPAN_S * VirtualClock.SECOND_US / events);
                if (i % eventsPerFailure == eventsPerFailure / 2) {
                    fleet.outages().loseOne();
                } else {
                    fleet.outages().replaceOne();
                }
            }
            fleet.run(AFTER_DAY_S * VirtualClock.SECOND_US);
        }

        @Override
        double compression(ScaleStep step) {
            return 1 / step.targetShare();
        }
    },
    /** All endpoints under a switch are lost, and back cold. */
    RACK {
        @Override
        void play(SimulatedFleet fleet, ScaleStep step) {
            fleet.outages().loseRack(0, step.rackEndpoints(), DOWNTIME_S * VirtualClock.SECOND_US);
            fleet.run((DOWNTIME_S + AFTER_S) * VirtualClock.SECOND_US);
        }
    },
    /** All endpoints and relays of a zone are lost, and back cold. */
    ZONE {
        @Override
        void play(SimulatedFleet fleet, ScaleStep step) {
            fleet.outages().loseZone(0, DOWNTIME_S * VirtualClock.SECOND_US);
            fleet.run((DOWNTIME_S + AFTER_S) * VirtualClock.SECOND_US);
        }
    },
    /** Everything restarts at once: relays are back after 3 s, endpoints from 5 to 7 s. */
    RESTART {
        @Override
        void play(SimulatedFleet fleet, ScaleStep step) {
            fleet.outages().restartAll(3 * VirtualClock.SECOND_US, 5 * VirtualClock.SECOND_US);
            fleet.run((DOWNTIME_S + AFTER_S) * VirtualClock.SECOND_US);
        }
    };

    private static final int DAY_SPAN_S = 25;
    private static final int AFTER_DAY_S = 14;
    private static final int DOWNTIME_S = 12;
    private static final int AFTER_S = 12;
    /** Time to settle before the events begin. */
    private static final int SETTLE_S = 6;

    /** Plays the events of the scenario on a fleet that has settled. */
    abstract void play(SimulatedFleet fleet, ScaleStep step);

    /** How many times as often events come as on an ordinary day of that step. */
    double compression(ScaleStep step) {
        return 1;
    }

    /** What came of a run; {@code spanS} is simulated time and {@code wallS} the time that it took. */
    record Result(SimulatedFleet fleet, CpuMeter cpuMeter, List<RuleViolation> violations, double spanS, double wallS) {
        long count(FleetRule rule) {
            return violations.stream()
                    .filter(violation -> violation.rule() == rule)
                    .count();
        }
    }

    /** One run; the meter is on where figures of time and memory are wanted. */
    Result run(ScaleStep step, FleetParameters parameters, CpuMeter cpuMeter) {
        long startedNs = System.nanoTime();
        SimulatedFleet fleet = new SimulatedFleet(parameters, cpuMeter);
        fleet.run(SETTLE_S * VirtualClock.SECOND_US);
        cpuMeter.start();
        long fromUs = fleet.nowUs();
        play(fleet, step);
        double spanS = (fleet.nowUs() - fromUs) / (double) VirtualClock.SECOND_US;
        cpuMeter.switchTo(CpuMeter.Role.SIMULATION);
        cpuMeter.stop();
        List<RuleViolation> violations = fleet.finish();
        return new Result(fleet, cpuMeter, violations, spanS, (System.nanoTime() - startedNs) / 1e9);
    }
}
