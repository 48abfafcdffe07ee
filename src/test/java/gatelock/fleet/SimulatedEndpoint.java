package gatelock.fleet;

import gatelock.api.AttemptResult;
import gatelock.api.Endpoint;
import gatelock.membership.EndpointEntry;
import java.util.ArrayDeque;

/** An endpoint's process: bounded concurrency, a bounded queue and a warm-up. */
final class SimulatedEndpoint {
    private static final double MIN_SPEED = 0.85;
    private static final double SPEED_RANGE = 0.3;

    /** What an endpoint keeps over all its restarts; {@code service} is the index of its service. */
    record Identity(String name, int number, int build, int service, String serviceName) {}

    private final Simulation simulation;
    private final FleetParameters parameters;
    private final Identity identity;
    private final int zone;
    private final double speed;
    private final ArrayDeque<SimulatedAttempt> queue = new ArrayDeque<>();
    private long startUs;
    private Endpoint.Health health = Endpoint.Health.READY;
    private long pausedUntilUs;
    private int inProgress;
    /** The machine is lost: nothing that is sent there gets an answer, and no connection comes up. */
    private boolean lost;
    /** The process has ended in order: connections are refused. */
    private boolean terminated;
    /** Counts processes: what an earlier one was working on is gone. */
    private int incarnation;

    SimulatedEndpoint(Simulation simulation, Identity identity, long startUs) {
        this.simulation = simulation;
        this.parameters = simulation.parameters();
        this.identity = identity;
        this.startUs = startUs;
        this.zone = (identity.number + 1) % parameters.zones;
        this.speed = MIN_SPEED + SPEED_RANGE * simulation.random().nextDouble();
    }

    String name() {
        return identity.name;
    }

    int number() {
        return identity.number;
    }

    int build() {
        return identity.build;
    }

    int service() {
        return identity.service;
    }

    int zone() {
        return zone;
    }

    Endpoint.Health health() {
        return health;
    }

    void setHealth(Endpoint.Health health) {
        this.health = health;
    }

    boolean isLost() {
        return lost;
    }

    /** The entry that discovery lists for this endpoint as it is now. */
    SimulatedDiscovery.Entry entry() {
        return new SimulatedDiscovery.Entry(new EndpointEntry(
                identity.name,
                identity.serviceName,
                SimulatedDiscovery.address(identity.number),
                zone,
                0,
                0,
                identity.build,
                health,
                startUs));
    }

    /** A process starts, with nothing queued. */
    void start() {
        lost = false;
        dropWork();
        simulation
                .records()
                .endpointStarts
                .add(new FleetRecords.EndpointStart(identity.name, parameters.endpointConcurrency, simulation.nowUs()));
    }

    /** A process starts cold on a machine that was lost. */
    void restart() {
        health = Endpoint.Health.READY;
        startUs = simulation.nowUs();
        start();
    }

    /** The machine is lost with all that it was working on; nobody is notified. */
    void lose() {
        lost = true;
        dropWork();
    }

    private void dropWork() {
        incarnation++;
        inProgress = 0;
        queue.clear();
    }

    /** The process ends: what is unfinished is broken off. */
    void terminate() {
        terminated = true;
        queue.forEach(attempt -> attempt.finish(AttemptResult.BROKEN_OFF));
        queue.clear();
    }

    /** Stands still for a while: what it has queued and what comes in waits. */
    void pause(long durationUs) {
        pausedUntilUs = simulation.nowUs() + durationUs;
        simulation.schedule(durationUs, this::processQueue);
    }

    /** An attempt has arrived. */
    void receive(SimulatedAttempt attempt) {
        if (lost) {
            return;
        }
        if (terminated) {
            attempt.finish(AttemptResult.NOT_CONNECTED);
        } else if (inProgress >= parameters.endpointConcurrency && queue.size() >= parameters.endpointQueueLimit) {
            attempt.finish(AttemptResult.TURNED_AWAY);
        } else {
            queue.add(attempt);
            processQueue();
        }
    }

    private void processQueue() {
        while (simulation.nowUs() >= pausedUntilUs && inProgress < parameters.endpointConcurrency && !queue.isEmpty()) {
            process(queue.poll());
        }
    }

    private void process(SimulatedAttempt attempt) {
        inProgress++;
        long nowUs = simulation.nowUs();
        simulation.records().executions.add(new FleetRecords.Execution(attempt.requestId(), identity.name, nowUs));
        // Endpoints that were there from the beginning have no start time and are warm.
        double capacity = speed * (startUs == 0 ? 1 : parameters.capacityShare(nowUs - startUs));
        boolean faulty = isFaulty();
        boolean fails = faulty && simulation.random().nextDouble() < parameters.canaryErrorRate;
        double workFactor = faulty ? parameters.canaryWorkFactor : 1;
        int processedBy = incarnation;
        simulation.schedule((long) (attempt.workUs() * workFactor / capacity), () -> {
            if (processedBy == incarnation) {
                inProgress--;
                attempt.finish(result(fails));
                processQueue();
            }
        });
    }

    private AttemptResult result(boolean fails) {
        if (terminated) {
            return AttemptResult.BROKEN_OFF;
        }
        return fails ? AttemptResult.ERRORED : AttemptResult.COMPLETED;
    }

    /** Whether the canary build shows its fault here and now. */
    private boolean isFaulty() {
        return identity.build > 1
                && simulation.nowUs() - startUs >= parameters.canaryFaultAgeUs
                && inProgress > parameters.canaryFaultUtilization * parameters.endpointConcurrency;
    }
}
