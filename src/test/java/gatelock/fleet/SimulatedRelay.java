package gatelock.fleet;

import gatelock.api.AttemptResult;
import gatelock.api.DecisionActions;
import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.api.LoadReport;
import gatelock.api.RequestConstraints;
import gatelock.api.RequestHandle;
import gatelock.api.Verdict;
import gatelock.decision.ReleaseGate;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One relay: the real decision module of its process, and simulated requests, connections and messages around it. */
final class SimulatedRelay implements DecisionActions {
    private static final long ON_CONNECTION_US = VirtualClock.MILLISECOND_US;
    private static final long WITH_HANDSHAKE_US = 3 * VirtualClock.MILLISECOND_US;
    private static final long CANCEL_DELAY_US = VirtualClock.MILLISECOND_US;
    private static final long VOTE_DELAY_US = 100 * VirtualClock.MILLISECOND_US;
    private static final long VOTE_REPLY_DELAY_US = 50 * VirtualClock.MILLISECOND_US;
    private static final long LATE_NOTICE_US = 9 * VirtualClock.SECOND_US;
    private static final int MISSED_INDEX = 3;
    /** The module's first two timer tokens are its own ticks; every other is a request's. */
    private static final long LAST_TICK_TOKEN = 1;

    /** What a relay talks to. */
    record Environment(
            SimulatedEndpoints endpoints,
            SimulatedDiscovery discovery,
            ListPublisher publisher,
            SimulatedReleaseController releaseController) {}

    private final Simulation simulation;
    private final Environment environment;
    private final int number;
    private final RelayEndpointList endpointList;
    private final DiscoveryLink link;
    private final KeepAliveConnections connections = new KeepAliveConnections();
    private final Map<String, SimulatedRequest> requests = new HashMap<>();
    private final List<SimulatedAttempt> attempts = new ArrayList<>();
    private int incarnation;
    private boolean up;
    private DecisionEngine engine;
    /** The list that an ended process left behind on disk. */
    private List<SimulatedDiscovery.Entry> cachedList;

    SimulatedRelay(Simulation simulation, Environment environment, int number) {
        this.simulation = simulation;
        this.environment = environment;
        this.number = number;
        this.endpointList = new RelayEndpointList(simulation, environment.endpoints, environment.discovery, this);
        this.link = new DiscoveryLink(simulation.parameters().discoveryLinkBytesPerS);
    }

    int number() {
        return number;
    }

    int zone() {
        return number % simulation.parameters().zones;
    }

    boolean isUp() {
        return up;
    }

    /** Counts the processes of this relay that have ended. */
    int incarnation() {
        return incarnation;
    }

    // ---- Its process -------------------------------------------------------------------------------------

    /** Ends without notice; a process that knows nothing but the cached list starts after a while. */
    void kill(long restartAfterUs) {
        up = false;
        incarnation++;
        cachedList = environment.discovery.list();
        simulation.records().relayEnded(number);
        link.reset();
        requests.keySet().forEach(simulation.records()::abandoned);
        requests.clear();
        connections.clear();
        attempts.clear();
        simulation.schedule(restartAfterUs, this::start);
    }

    void start() {
        boolean fromCache = simulation.parameters().discoveryLinkBytesPerS > 0 && cachedList != null;
        CpuMeter.Role previous = simulation.cpuMeter().switchTo(CpuMeter.Role.ENDPOINT_LIST);
        engine = new ReleaseGate(
                SimulatedRelaySettings.of(
                        simulation.parameters(), number, incarnation, environment.releaseController.stageCaps()),
                this);
        endpointList.start(engine);
        up = true;
        engine.start(simulation.nowUs());
        endpointList.update(
                DecisionEngine.EndpointUpdateType.CACHED,
                fromCache ? cachedList : environment.discovery.list(),
                environment.discovery.index());
        simulation.cpuMeter().switchTo(previous);
        cachedList = null;
        endpointList.pollSubset();
        environment.releaseController.sendState(this, DecisionEngine.VoteResponse.NOT_ASKED);
        if (fromCache) {
            environment.publisher.publishFullList(this);
        }
    }

    /** Runs the action after a delay, unless this process of the relay has ended by then. */
    void scheduleWhileUp(long delayUs, Runnable action) {
        int scheduledBy = incarnation;
        simulation.schedule(delayUs, () -> {
            if (isSameProcess(scheduledBy)) {
                action.run();
            }
        });
    }

    private boolean isSameProcess(int earlierIncarnation) {
        return up && earlierIncarnation == incarnation;
    }

    // ---- Messages of discovery and of the release controller -----------------------------------------------

    /** Discovery sends a message at a time; it arrives after all that was sent before it. */
    void deliver(SimulatedDiscovery.Message message, long sentUs) {
        PlantedFault fault = number == 0 ? simulation.parameters().plantedFault : PlantedFault.NONE;
        boolean isLate = fault == PlantedFault.LATE_DRAIN_NOTICE && announcesDrain(message);
        long receivedUs = link.deliver(message.bytes(), sentUs + (isLate ? LATE_NOTICE_US : 0));
        message.delivery().expect(number, receivedUs);
        if (fault == PlantedFault.MISSED_CHANGE && message.index() == MISSED_INDEX) {
            return;
        }
        scheduleWhileUp(receivedUs - simulation.nowUs(), () -> receive(message));
    }

    private static boolean announcesDrain(SimulatedDiscovery.Message message) {
        return !message.whole()
                && message.entries().stream().anyMatch(entry -> entry.endpoint().health() == Endpoint.Health.DRAINING);
    }

    private void receive(SimulatedDiscovery.Message message) {
        message.delivery().markReceived(number);
        simulation.records().received(number, message, simulation.nowUs());
        CpuMeter.Role previous = simulation.cpuMeter().switchTo(CpuMeter.Role.ENDPOINT_LIST);
        endpointList.update(
                message.whole() ? DecisionEngine.EndpointUpdateType.FULL : DecisionEngine.EndpointUpdateType.DELTA,
                message.entries(),
                message.index());
        simulation.cpuMeter().switchTo(previous);
    }

    /** The state of the rollout, or the release controller's answer to a vote. */
    void receive(SimulatedReleaseController.State state) {
        engine.releaseStateUpdated(
                simulation.nowUs(),
                state.build(),
                state.stage(),
                state.phase(),
                state.cap(),
                state.ageUs(),
                state.answer());
    }

    // ---- Requests ------------------------------------------------------------------------------------------

    /** A client's request arrives. */
    void accept(SimulatedRequest request, long key, RequestConstraints constraints) {
        requests.put(request.id(), request);
        long nowUs = simulation.nowUs();
        CpuMeter.Role previous = simulation.cpuMeter().switchTo(CpuMeter.Role.REQUESTS);
        RequestHandle handle = engine.acceptRequest(
                nowUs,
                request.id(),
                request.route(),
                0,
                key,
                request.deadlineUs() - nowUs,
                (long) simulation.parameters().meanWorkUs,
                constraints);
        request.setHandle(handle);
        simulation.cpuMeter().switchTo(previous);
        removeIfSettled(request);
    }

    /** An attempt has ended; ignored where it ended before, or was sent by an earlier process of this relay. */
    void attemptEnded(SimulatedAttempt attempt, AttemptResult result) {
        SimulatedRequest request = requests.get(attempt.requestId());
        if (attempt.relayIncarnation() != incarnation || request == null || !attempts.remove(attempt)) {
            return;
        }
        long nowUs = simulation.nowUs();
        if (result == AttemptResult.COMPLETED && !request.isAnswered()) {
            answer(request, true);
        }
        if (result != AttemptResult.TIMED_OUT && result != AttemptResult.CANCELLED) {
            connections.release(attempt.endpointName(), nowUs);
        }
        CpuMeter.Role previous = simulation.cpuMeter().switchTo(CpuMeter.Role.REQUESTS);
        if (result != AttemptResult.NOT_SENT) {
            endpointList.attemptEnded(attempt.endpointName(), isResponse(result));
        }
        request.handle()
                .attemptEnded(
                        nowUs,
                        attempt.number(),
                        result,
                        nowUs - attempt.sentUs(),
                        request.isAnswered(),
                        LoadReport.NONE);
        simulation.cpuMeter().switchTo(previous);
        removeIfSettled(request);
    }

    private static boolean isResponse(AttemptResult result) {
        return result == AttemptResult.COMPLETED
                || result == AttemptResult.ERRORED
                || result == AttemptResult.TURNED_AWAY;
    }

    private void answer(SimulatedRequest request, boolean completed) {
        request.markAnswered();
        simulation.records().responses.add(new FleetRecords.Response(request.id(), simulation.nowUs(), completed));
    }

    private void removeIfSettled(SimulatedRequest request) {
        if (request.isSettled()) {
            requests.remove(request.id());
        }
    }

    // ---- What its decisions ask for --------------------------------------------------------------------------

    @Override
    public void sendAttempt(String id, String endpoint, long timeoutUs) {
        CpuMeter.Role previous = simulation.cpuMeter().switchTo(CpuMeter.Role.SIMULATION);
        long nowUs = simulation.nowUs();
        SimulatedRequest request = requests.get(id);
        SimulatedEndpoint target = environment.endpoints.get(endpoint);
        SimulatedAttempt attempt = new SimulatedAttempt(simulation, this, request, request.nextAttemptNumber(), target);
        attempts.add(attempt);
        FleetRecords records = simulation.records();
        records.attempts.add(new FleetRecords.Attempt(
                id, number, endpoint, target.build(), simulation.parameters().meanWorkUs, nowUs));
        boolean reused = connections.tryTake(endpoint, nowUs);
        records.connectionsOpened += reused ? 0 : 1;
        simulation.schedule(reused ? ON_CONNECTION_US : WITH_HANDSHAKE_US, () -> target.receive(attempt));
        simulation.schedule(request.deadlineUs() - nowUs, () -> attemptEnded(attempt, AttemptResult.TIMED_OUT));
        simulation.cpuMeter().switchTo(previous);
    }

    private void reject(String id) {
        SimulatedRequest request = requests.get(id);
        answer(request, false);
        simulation.schedule(0, () -> removeIfSettled(request));
    }

    @Override
    public void shedRequest(String id, long pauseUs) {
        reject(id);
    }

    @Override
    public void failRequest(String id) {
        reject(id);
    }

    @Override
    public void cancelAttempt(String id, int attemptNo) {
        for (SimulatedAttempt attempt : attempts) {
            if (attempt.requestId().equals(id) && attempt.number() == attemptNo) {
                simulation.schedule(CANCEL_DELAY_US, () -> attemptEnded(attempt, AttemptResult.CANCELLED));
                return;
            }
        }
    }

    @Override
    public void castVote(int build, int stage, Verdict verdict) {
        int voter = incarnation;
        simulation.schedule(VOTE_DELAY_US, () -> {
            DecisionEngine.VoteResponse answer =
                    environment.releaseController.receiveVote(number, build, stage, verdict);
            simulation.schedule(VOTE_REPLY_DELAY_US, () -> {
                if (isSameProcess(voter)) {
                    environment.releaseController.sendState(this, answer);
                }
            });
        });
    }

    @Override
    public void scheduleTimer(long inUs, long token) {
        scheduleWhileUp(inUs, () -> {
            CpuMeter.Role previous = simulation
                    .cpuMeter()
                    .switchTo(token > LAST_TICK_TOKEN ? CpuMeter.Role.REQUESTS : CpuMeter.Role.TICK);
            engine.timerFired(simulation.nowUs(), token);
            simulation.cpuMeter().switchTo(previous);
        });
    }

    @Override
    public void subscribeToEndpoints() {}

    @Override
    public void log(String line) {}
}
