package gatelock.fleet;

import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/** The state that all parts of one simulated fleet share: parameters, clock, random source, records and CPU meter. */
record Simulation(
        FleetParameters parameters,
        VirtualClock clock,
        RandomGenerator random,
        FleetRecords records,
        CpuMeter cpuMeter) {

    /** Creates a simulation with a new clock, empty records and a random source that is seeded by the parameters. */
    Simulation(FleetParameters parameters, CpuMeter cpuMeter) {
        this(parameters, new VirtualClock(), new SplittableRandom(parameters.seed), new FleetRecords(), cpuMeter);
    }

    /** Returns the current simulated time. */
    long nowUs() {
        return clock.nowUs();
    }

    /** Runs the action once {@code delayUs} of simulated time have passed. */
    void schedule(long delayUs, Runnable action) {
        clock.schedule(delayUs, action);
    }

    /** Draws the next sample from an exponential distribution with mean 1. */
    double nextExponential() {
        return -Math.log(1 - random.nextDouble());
    }
}
