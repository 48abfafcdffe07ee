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

/** A relay: the production decision engine of its process, with simulated requests, connections and messages. */
final class SimulatedRelay implements DecisionActions {
    private static final long REUSED_CONNECTION_DELAY_US = VirtualClock.MILLISECOND_US;
    private static final long NEW_CONNECTION_DELAY_US = 3 * VirtualClock.MILLISECOND_US;
    private static final long CANCEL_DELAY_US = VirtualClock.MILLISECOND_US;
    private static final long VOTE_DELAY_US = 100 * VirtualClock.MILLISECOND_US;
    private static final long VOTE_REPLY_DELAY_US = 50 * VirtualClock.MILLISECOND_US;
    private static final long INJECTED_NOTICE_DELAY_US = 9 * VirtualClock.SECOND_US;
    private static final int MISSED_CHANGE_INDEX = 3;
    /** The engine uses its first two timer tokens for its periodic ticks and all others for requests. */
    private static final long LAST_TICK_TOKEN = 1;

    /** The parts of the fleet that a relay communicates with. */
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
    /** The endpoint list that the previous process stored on disk; null while a process runs. */
    private List<SimulatedDiscovery.Entry> cachedList;

    SimulatedRelay(Simulation simulation, Environment environment, int number) {
        this.simulation = simulation;
        this.environment = environment;
        this.number = number;
        this.endpointList = new RelayEndpointList(simulation, environment.endpoints, environment.discovery, this);
        this.link = new DiscoveryLink(simulation.parameters().discoveryLinkBytesPerS);
    }

    /** Returns the number of this relay among all relays, from 0. */
    int number() {
        return number;
    }

    /** Returns the zone of this relay. */
    int zone() {
        return number % simulation.parameters().zones;
    }

    /** Returns whether a process of this relay is running. */
    boolean isUp() {
        return up;
    }

    /** Returns the number of processes of this relay that have ended. */
    int incarnation() {
        return incarnation;
    }

    // ---- Process -----------------------------------------------------------------------------------------

    /** Ends the process without a drain and later starts a new one, which has no state but the cached endpoint list. */
    void crash(long restartAfterUs) {
        up = false;
        incarnation++;
        cachedList = environment.discovery.list();
        simulation.records().recordRelayStopped(number);
        link.reset();
        requests.keySet().forEach(simulation.records()::markAbandoned);
        requests.clear();
        connections.clear();
        attempts.clear();
        simulation.schedule(restartAfterUs, this::start);
    }

    /**
     * Starts a process. It begins with the cached endpoint list if there is one and the link's bandwidth is limited,
     * and with the current list otherwise.
     */
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
        endpointList.refreshSubsetPeriodically();
        environment.releaseController.sendState(this, DecisionEngine.VoteResponse.NOT_ASKED);
        if (fromCache) {
            environment.publisher.publishFullList(this);
        }
    }

    /** Runs the action after a delay, unless the current process of this relay has ended by then. */
    void scheduleWhileUp(long delayUs, Runnable action) {
        int schedulingIncarnation = incarnation;
        simulation.schedule(delayUs, () -> {
            if (isSameProcess(schedulingIncarnation)) {
                action.run();
            }
        });
    }

    private boolean isSameProcess(int earlierIncarnation) {
        return up && earlierIncarnation == incarnation;
    }

    // ---- Messages from discovery and from the release controller --------------------------------------------

    /**
     * Transfers a message that discovery sends at {@code sentUs}; messages arrive in the order in which they were sent.
     */
    void deliver(SimulatedDiscovery.Message message, long sentUs) {
        InjectedFault fault = number == 0 ? simulation.parameters().injectedFault : InjectedFault.NONE;
        boolean isLate = fault == InjectedFault.LATE_DRAIN_NOTICE && announcesDrain(message);
        long receivedUs = link.deliver(message.bytes(), sentUs + (isLate ? INJECTED_NOTICE_DELAY_US : 0));
        message.delivery().expect(number, receivedUs);
        if (fault == InjectedFault.MISSED_CHANGE && message.index() == MISSED_CHANGE_INDEX) {
            return;
        }
        scheduleWhileUp(receivedUs - simulation.nowUs(), () -> receive(message));
    }

    private static boolean announcesDrain(SimulatedDiscovery.Message message) {
        return !message.full()
                && message.entries().stream().anyMatch(entry -> entry.endpoint().health() == Endpoint.Health.DRAINING);
    }

    private void receive(SimulatedDiscovery.Message message) {
        message.delivery().markReceived(number);
        simulation.records().recordReceived(number, message, simulation.nowUs());
        CpuMeter.Role previous = simulation.cpuMeter().switchTo(CpuMeter.Role.ENDPOINT_LIST);
        endpointList.update(
                message.full() ? DecisionEngine.EndpointUpdateType.FULL : DecisionEngine.EndpointUpdateType.DELTA,
                message.entries(),
                message.index());
        simulation.cpuMeter().switchTo(previous);
    }

    /** Handles the state of the rollout or the response to a vote from the release controller. */
    void receive(SimulatedReleaseController.State state) {
        engine.releaseStateUpdated(
                simulation.nowUs(),
                state.build(),
                state.stage(),
                state.phase(),
                state.cap(),
                state.ageUs(),
                state.voteResponse());
    }

    // ---- Requests ------------------------------------------------------------------------------------------

    /** Accepts a request from a client. */
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

    /**
     * Handles the end of an attempt; ignored if it has ended already or was sent by an earlier process of this relay.
     */
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

    // ---- Actions requested by the decision engine ------------------------------------------------------------

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
        simulation.schedule(
                reused ? REUSED_CONNECTION_DELAY_US : NEW_CONNECTION_DELAY_US, () -> target.receive(attempt));
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
        int votingIncarnation = incarnation;
        simulation.schedule(VOTE_DELAY_US, () -> {
            DecisionEngine.VoteResponse voteResponse =
                    environment.releaseController.receiveVote(number, build, stage, verdict);
            simulation.schedule(VOTE_REPLY_DELAY_US, () -> {
                if (isSameProcess(votingIncarnation)) {
                    environment.releaseController.sendState(this, voteResponse);
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
