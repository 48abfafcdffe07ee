package gatelock.fleet;

import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/** What all parts of one simulated fleet share: parameters, clock, random source, records and CPU meter. */
record Simulation(
        FleetParameters parameters,
        VirtualClock clock,
        RandomGenerator random,
        FleetRecords records,
        CpuMeter cpuMeter) {

    Simulation(FleetParameters parameters, CpuMeter cpuMeter) {
        this(parameters, new VirtualClock(), new SplittableRandom(parameters.seed), new FleetRecords(), cpuMeter);
    }

    long nowUs() {
        return clock.nowUs();
    }

    void schedule(long delayUs, Runnable action) {
        clock.schedule(delayUs, action);
    }

    /** The next draw from an exponential distribution of mean 1. */
    double nextExponential() {
        return -Math.log(1 - random.nextDouble());
    }
}
