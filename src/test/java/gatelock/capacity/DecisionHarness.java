package gatelock.capacity;

import gatelock.api.AttemptResult;
import gatelock.api.DecisionActions;
import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.api.LoadReport;
import gatelock.api.RelaySettings;
import gatelock.api.RequestConstraints;
import gatelock.api.RequestHandle;
import gatelock.api.RolloutPolicy;
import gatelock.api.RoutePolicy;
import gatelock.decision.ReleaseGate;
import gatelock.standin.EndpointRestriction;
import gatelock.standin.LongListDiscovery;
import gatelock.standin.NoOpActions;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Drives the decision engine alone, with a given number of endpoints, at 860 requests per second of virtual time. The
 * oldest request completes as soon as more than 4 requests are in flight.
 */
final class DecisionHarness implements NoOpActions {
    /** Endpoints of a service: the mean of the capacity target. */
    static final int ENDPOINTS_PER_SERVICE = 28;

    private static final long REQUEST_INTERVAL_US = 1_163;
    /** Requests that are sent between two readings of the processor time. */
    private static final int BATCH_SIZE = 16;

    private static final int MAX_IN_FLIGHT = 4;
    private static final long TIMEOUT_US = 1_000_000;
    private static final long TICK_US = 250_000;
    private static final long EXPECTED_WORK_US = 5_000;
    /** Number of relays in the settings; large enough that verdicts are weighed as in a fleet. */
    private static final int RELAY_COUNT = 100;

    private static final List<RoutePolicy> ROUTES = List.of(
            new RoutePolicy(RoutePolicy.RetrySafety.RETRIABLE, RoutePolicy.DedupScope.ALL, 0, 250_000, 1),
            new RoutePolicy(RoutePolicy.RetrySafety.DEDUPED, RoutePolicy.DedupScope.ALL, 5_000_000, 400_000, 3),
            new RoutePolicy(RoutePolicy.RetrySafety.NON_RETRIABLE, RoutePolicy.DedupScope.ALL, 0, 500_000, 3));

    private static final ThreadMXBean THREAD_MX_BEAN = ManagementFactory.getThreadMXBean();

    private record InFlight(RequestHandle handle, long sentUs) {}

    private final DecisionEngine engine;
    private final List<Set<String>> endpointsByService = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(17);
    private final ArrayDeque<InFlight> inFlight = new ArrayDeque<>();
    private long nowUs = 1_000_000_000_000L;
    private long tickToken = -1;
    private long nextId;
    private long sent;

    /** Starts an engine with the given number of ready endpoints, all of a released build. */
    DecisionHarness(int endpoints) {
        engine = newEngine(this, List.of());
        engine.start(nowUs);
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            if (i % ENDPOINTS_PER_SERVICE == 0) {
                endpointsByService.add(new HashSet<>());
            }
            String name = LongListDiscovery.name(i);
            endpointsByService.get(endpointsByService.size() - 1).add(name);
            list.add(new Endpoint(name, 1, i % 3, 0, i % 10, Endpoint.Health.READY, 0));
        }
        engine.endpointsUpdated(nowUs, DecisionEngine.EndpointUpdateType.FULL, list);
        engine.releaseStateUpdated(
                nowUs,
                1,
                0,
                DecisionEngine.ReleasePhase.RELEASED,
                1,
                60_000_000,
                DecisionEngine.VoteResponse.NOT_ASKED);
    }

    /** Creates an engine with the settings of examples/relay.json. */
    static DecisionEngine newEngine(DecisionActions actions, List<RelaySettings.Tenant> tenants) {
        RelaySettings settings = new RelaySettings(
                17,
                RELAY_COUNT,
                0,
                ROUTES,
                tenants,
                0.5,
                3,
                true,
                true,
                2_000_000,
                false,
                0.4,
                3_000_000,
                2.5,
                1_000_000,
                0,
                22_500_000,
                rollout());
        return new ReleaseGate(settings, actions);
    }

    private static RolloutPolicy rollout() {
        return new RolloutPolicy(
                RolloutPolicy.PromotionMode.COUNT,
                1_000_000,
                6_000_000,
                2_000_000,
                new double[] {0.2, 0.6, 1},
                0,
                false,
                false,
                2,
                1,
                10,
                false);
    }

    /**
     * Sends requests until their number reaches a maximum or they have used one second of processor time. Timer ticks
     * between the requests are not included in the processor time.
     *
     * @param restricted whether each request may go only to the endpoints of one service
     * @return processor time of one request in microseconds
     */
    double requestUs(boolean restricted, int maxRequests) {
        long cpuNs = 0;
        long requests = 0;
        long sentBefore = sent;
        long nextTickUs = nowUs + TICK_US;
        while (requests < maxRequests && cpuNs < 1_000_000_000) {
            long startedNs = THREAD_MX_BEAN.getCurrentThreadCpuTime();
            for (int i = 0; i < BATCH_SIZE; i++) {
                nowUs += REQUEST_INTERVAL_US;
                sendRequest(restricted);
            }
            requests += BATCH_SIZE;
            cpuNs += THREAD_MX_BEAN.getCurrentThreadCpuTime() - startedNs;
            if (nowUs >= nextTickUs) {
                tick();
                nextTickUs += TICK_US;
            }
        }
        if (sent - sentBefore < requests * 0.99) {
            throw new IllegalStateException(
                    "expected to send " + requests + " requests, but only " + (sent - sentBefore) + " were sent");
        }
        return cpuNs / 1e3 / requests;
    }

    private void sendRequest(boolean restricted) {
        Set<String> service = endpointsByService.get(random.nextInt(endpointsByService.size()));
        EndpointRestriction onlyService = service::contains;
        RequestConstraints constraints = restricted ? onlyService : RequestConstraints.NONE;
        long sentBefore = sent;
        RequestHandle handle = engine.acceptRequest(
                nowUs, "r" + nextId++, 0, 0, DecisionEngine.NO_KEY, TIMEOUT_US, EXPECTED_WORK_US, constraints);
        if (sent > sentBefore) {
            inFlight.add(new InFlight(handle, nowUs));
        }
        if (inFlight.size() > MAX_IN_FLIGHT) {
            InFlight first = inFlight.poll();
            first.handle.attemptEnded(nowUs, 0, AttemptResult.COMPLETED, nowUs - first.sentUs, true, LoadReport.NONE);
        }
    }

    private void tick() {
        engine.timerFired(nowUs, tickToken);
    }

    /** Runs a number of timer ticks and returns the processor time of one in microseconds. */
    double tickUs(int ticks) {
        long startedNs = THREAD_MX_BEAN.getCurrentThreadCpuTime();
        for (int i = 0; i < ticks; i++) {
            nowUs += TICK_US;
            tick();
        }
        return (THREAD_MX_BEAN.getCurrentThreadCpuTime() - startedNs) / 1e3 / ticks;
    }

    @Override
    public void sendAttempt(String id, String endpoint, long timeoutUs) {
        sent++;
    }

    /**
     * Records the token of the first timer, which is the engine's tick. Timers of requests are ignored: they would fire
     * only after the request has ended, and would then have no effect.
     */
    @Override
    public void scheduleTimer(long inUs, long token) {
        tickToken = tickToken < 0 ? token : tickToken;
    }
}
