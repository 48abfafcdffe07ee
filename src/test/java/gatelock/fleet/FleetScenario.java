package gatelock.fleet;

import java.util.List;

/**
 * A sequence of outages and restarts in a scale run. Each scenario ends with time to recover, so that no change is
 * pending.
 */
enum FleetScenario {
    /** Endpoint restarts and failures at the daily rates of the full target scale, at every step. */
    DAY {
        @Override
        void applyEvents(SimulatedFleet fleet, ScaleStep step) {
            double eventsPerS = (step.restartsPerS() + step.failuresPerS()) * timeCompression(step);
            int events = (int) Math.round(eventsPerS * DAY_DURATION_S);
            int failures = (int) Math.max(1, Math.round(step.failuresPerS() * timeCompression(step) * DAY_DURATION_S));
            int eventsPerFailure = events / failures;
            for (int i = 0; i < events; i++) {
                fleet.run(DAY_DURATION_S * VirtualClock.SECOND_US / events);
                if (i % eventsPerFailure == eventsPerFailure / 2) {
                    fleet.outages().failOne();
                } else {
                    fleet.outages().replaceOne();
                }
            }
            fleet.run(DAY_RECOVERY_S * VirtualClock.SECOND_US);
        }

        @Override
        double timeCompression(ScaleStep step) {
            return 1 / step.targetShare();
        }
    },
    /** All endpoints behind one switch fail and restart cold. */
    RACK {
        @Override
        void applyEvents(SimulatedFleet fleet, ScaleStep step) {
            fleet.outages().failRack(0, step.rackEndpoints(), OUTAGE_DURATION_S * VirtualClock.SECOND_US);
            fleet.run((OUTAGE_DURATION_S + OUTAGE_RECOVERY_S) * VirtualClock.SECOND_US);
        }
    },
    /** All endpoints and relays of a zone fail and restart cold. */
    ZONE {
        @Override
        void applyEvents(SimulatedFleet fleet, ScaleStep step) {
            fleet.outages().failZone(0, OUTAGE_DURATION_S * VirtualClock.SECOND_US);
            fleet.run((OUTAGE_DURATION_S + OUTAGE_RECOVERY_S) * VirtualClock.SECOND_US);
        }
    },
    /** All processes stop at once: the relays restart after 3 s, the endpoints after 5 to 7 s. */
    RESTART {
        @Override
        void applyEvents(SimulatedFleet fleet, ScaleStep step) {
            fleet.outages().restartAll(3 * VirtualClock.SECOND_US, 5 * VirtualClock.SECOND_US);
            fleet.run((OUTAGE_DURATION_S + OUTAGE_RECOVERY_S) * VirtualClock.SECOND_US);
        }
    };

    private static final int DAY_DURATION_S = 25;
    private static final int DAY_RECOVERY_S = 14;
    private static final int OUTAGE_DURATION_S = 12;
    private static final int OUTAGE_RECOVERY_S = 12;
    /** Time for the fleet to reach a steady state before the events begin. */
    private static final int SETTLE_S = 6;

    /** Applies the events of the scenario to a fleet in a steady state. */
    abstract void applyEvents(SimulatedFleet fleet, ScaleStep step);

    /** Returns the factor by which events are more frequent than on an ordinary day at that step. */
    double timeCompression(ScaleStep step) {
        return 1;
    }

    /**
     * The result of a run.
     *
     * @param simulatedS simulated time of the events and the recovery
     * @param wallS elapsed real time of the whole run
     */
    record Result(
            SimulatedFleet fleet, CpuMeter cpuMeter, List<RuleViolation> violations, double simulatedS, double wallS) {
        /** Returns the number of violations of a rule. */
        long count(FleetRule rule) {
            return violations.stream()
                    .filter(violation -> violation.rule() == rule)
                    .count();
        }
    }

    /** Runs the scenario on a new fleet; the meter is enabled if CPU time and memory are to be measured. */
    Result run(ScaleStep step, FleetParameters parameters, CpuMeter cpuMeter) {
        long startedNs = System.nanoTime();
        SimulatedFleet fleet = new SimulatedFleet(parameters, cpuMeter);
        fleet.run(SETTLE_S * VirtualClock.SECOND_US);
        cpuMeter.start();
        long eventsStartUs = fleet.nowUs();
        applyEvents(fleet, step);
        double simulatedS = (fleet.nowUs() - eventsStartUs) / (double) VirtualClock.SECOND_US;
        cpuMeter.switchTo(CpuMeter.Role.SIMULATION);
        cpuMeter.stop();
        List<RuleViolation> violations = fleet.finish();
        return new Result(fleet, cpuMeter, violations, simulatedS, (System.nanoTime() - startedNs) / 1e9);
    }
}
