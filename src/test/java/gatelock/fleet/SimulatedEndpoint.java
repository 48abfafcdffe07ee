package gatelock.fleet;

import gatelock.api.AttemptResult;
import gatelock.api.Endpoint;
import gatelock.membership.EndpointEntry;
import java.util.ArrayDeque;

/** An endpoint with bounded concurrency, a bounded queue and a warm-up period after a start. */
final class SimulatedEndpoint {
    private static final double MIN_SPEED = 0.85;
    private static final double SPEED_RANGE = 0.3;

    /** The attributes of an endpoint that survive restarts; {@code service} is the index of its service. */
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
    /** The machine has failed: it does not respond to requests or to new connections. */
    private boolean failed;
    /** The process has shut down: connections are refused. */
    private boolean terminated;
    /** The number of the current process; work that an earlier process started is discarded. */
    private int incarnation;

    /**
     * Creates an endpoint whose process is running.
     *
     * @param startUs start time of the process; 0 for an endpoint that is warm from the beginning
     */
    SimulatedEndpoint(Simulation simulation, Identity identity, long startUs) {
        this.simulation = simulation;
        this.parameters = simulation.parameters();
        this.identity = identity;
        this.startUs = startUs;
        this.zone = (identity.number + 1) % parameters.zones;
        this.speed = MIN_SPEED + SPEED_RANGE * simulation.random().nextDouble();
    }

    /** Returns the unique name of this endpoint. */
    String name() {
        return identity.name;
    }

    /** Returns the number of this endpoint, from 0 in the order of creation. */
    int number() {
        return identity.number;
    }

    /** Returns the build that this endpoint runs. */
    int build() {
        return identity.build;
    }

    /** Returns the index of this endpoint's service. */
    int service() {
        return identity.service;
    }

    /** Returns the zone of this endpoint. */
    int zone() {
        return zone;
    }

    /** Returns the health that discovery reports for this endpoint. */
    Endpoint.Health health() {
        return health;
    }

    /** Sets the health that discovery will report for this endpoint. */
    void setHealth(Endpoint.Health health) {
        this.health = health;
    }

    /** Returns whether the machine of this endpoint has failed. */
    boolean isFailed() {
        return failed;
    }

    /** Returns the current discovery entry of this endpoint. */
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

    /** Starts a process with an empty queue. */
    void start() {
        failed = false;
        discardWork();
        simulation
                .records()
                .endpointStarts
                .add(new FleetRecords.EndpointStart(identity.name, parameters.endpointConcurrency, simulation.nowUs()));
    }

    /** Starts a cold process after a failure of the machine. */
    void restart() {
        health = Endpoint.Health.READY;
        startUs = simulation.nowUs();
        start();
    }

    /** Fails the machine and discards its work without notifying any relay. */
    void fail() {
        failed = true;
        discardWork();
    }

    private void discardWork() {
        incarnation++;
        inProgress = 0;
        queue.clear();
    }

    /** Ends the process and breaks off unfinished attempts. */
    void terminate() {
        terminated = true;
        queue.forEach(attempt -> attempt.finish(AttemptResult.BROKEN_OFF));
        queue.clear();
    }

    /** Pauses the start of processing; queued and arriving attempts wait until the pause is over. */
    void pause(long durationUs) {
        pausedUntilUs = simulation.nowUs() + durationUs;
        simulation.schedule(durationUs, this::processQueue);
    }

    /** Handles an attempt that has arrived at this endpoint. */
    void receive(SimulatedAttempt attempt) {
        if (failed) {
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
        // Endpoints that exist from the beginning have start time 0 and are warm.
        double capacity = speed * (startUs == 0 ? 1 : parameters.capacityShare(nowUs - startUs));
        boolean faulty = isFaulty();
        boolean returnsError = faulty && simulation.random().nextDouble() < parameters.canaryErrorRate;
        double workFactor = faulty ? parameters.canaryWorkFactor : 1;
        int processingIncarnation = incarnation;
        simulation.schedule((long) (attempt.workUs() * workFactor / capacity), () -> {
            if (processingIncarnation == incarnation) {
                inProgress--;
                attempt.finish(result(returnsError));
                processQueue();
            }
        });
    }

    private AttemptResult result(boolean returnsError) {
        if (terminated) {
            return AttemptResult.BROKEN_OFF;
        }
        return returnsError ? AttemptResult.ERRORED : AttemptResult.COMPLETED;
    }

    /** Returns whether the fault of the canary build is active on this endpoint now. */
    private boolean isFaulty() {
        return identity.build > 1
                && simulation.nowUs() - startUs >= parameters.canaryFaultAgeUs
                && inProgress > parameters.canaryFaultUtilization * parameters.endpointConcurrency;
    }
}
