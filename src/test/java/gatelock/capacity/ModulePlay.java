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

/** The module alone, with so many endpoints: requests that all complete after 5 ms, 860 a second of its own time. */
final class ModulePlay implements NoOpActions {
    static final int UNITS_OF_A_SERVICE = 28;
    private static final long REQ_EVERY_US = 1_163;
    private static final int BATCH = 16;
    private static final int IN_FLIGHT = 4;
    private static final long LEFT_US = 1_000_000;
    private static final long BEAT_US = 250_000;
    private static final long COST_US = 5_000;
    /** More than a few, so that a verdict is weighed as in a fleet. */
    private static final int RELAYS = 100;

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private record Out(RequestHandle handle, long sentUs) {}

    private final DecisionEngine gate;
    private final List<Set<String>> services = new ArrayList<>();
    private final SplittableRandom chance = new SplittableRandom(17);
    private final ArrayDeque<Out> out = new ArrayDeque<>();
    private long nowUs = 1_000_000_000_000L;
    private long beatToken = -1;
    private long ids;
    private long sent;

    ModulePlay(int endpoints) {
        gate = gate(this, List.of());
        gate.start(nowUs);
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            if (i % UNITS_OF_A_SERVICE == 0) {
                services.add(new HashSet<>());
            }
            String name = LongListDiscovery.name(i);
            services.get(services.size() - 1).add(name);
            list.add(new Endpoint(name, 1, i % 3, 0, i % 10, Endpoint.Health.READY, 0));
        }
        gate.listed(nowUs, DecisionEngine.ListForm.FULL, list);
        gate.news(nowUs, 1, 0, DecisionEngine.Phase.RELEASED, 1, 60_000_000, DecisionEngine.VoteAnswer.NOT_ASKED);
    }

    /** Decisions on the terms of examples/relay.json. */
    static DecisionEngine gate(DecisionActions out, List<RelaySettings.Tenant> tenants) {
        RolloutPolicy rollout = new RolloutPolicy(
                RolloutPolicy.Gatekeeping.COUNT,
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
        return new ReleaseGate(
                new RelaySettings(
                        17,
                        RELAYS,
                        0,
                        List.of(
                                new RoutePolicy(RoutePolicy.Repeat.RETRIABLE, RoutePolicy.Group.ALL, 0, 250_000, 1),
                                new RoutePolicy(
                                        RoutePolicy.Repeat.DEDUPED, RoutePolicy.Group.ALL, 5_000_000, 400_000, 3),
                                new RoutePolicy(
                                        RoutePolicy.Repeat.NON_RETRIABLE, RoutePolicy.Group.ALL, 0, 500_000, 3)),
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
                        rollout),
                out);
    }

    /** Requests, up to so many or a second of processor time; microseconds for one. Beats between don't count. */
    double requestUs(boolean scoped, int most) {
        long usedNs = 0;
        long requests = 0;
        long sentBefore = sent;
        long beatAtUs = nowUs + BEAT_US;
        while (requests < most && usedNs < 1_000_000_000) {
            long fromNs = THREADS.getCurrentThreadCpuTime();
            for (int i = 0; i < BATCH; i++) {
                nowUs += REQ_EVERY_US;
                request(scoped);
            }
            requests += BATCH;
            usedNs += THREADS.getCurrentThreadCpuTime() - fromNs;
            if (nowUs >= beatAtUs) {
                beat();
                beatAtUs += BEAT_US;
            }
        }
        if (sent - sentBefore < requests * 0.99) {
            throw new IllegalStateException("of " + requests + " reqs only " + (sent - sentBefore) + " were sent");
        }
        return usedNs / 1e3 / requests;
    }

    private void request(boolean scoped) {
        Set<String> service = services.get(chance.nextInt(services.size()));
        EndpointRestriction within = service::contains;
        RequestConstraints bounds = scoped ? within : RequestConstraints.NONE;
        long before = sent;
        RequestHandle handle = gate.take(nowUs, "r" + ids++, 0, 0, DecisionEngine.NO_KEY, LEFT_US, COST_US, bounds);
        if (sent > before) {
            out.add(new Out(handle, nowUs));
        }
        if (out.size() > IN_FLIGHT) {
            Out first = out.poll();
            first.handle.ended(nowUs, 0, AttemptResult.COMPLETED, nowUs - first.sentUs, true, LoadReport.NONE);
        }
    }

    private void beat() {
        gate.due(nowUs, beatToken);
    }

    /** So many beats, a quarter of a second apart; microseconds for one. */
    double beatUs(int beats) {
        long fromNs = THREADS.getCurrentThreadCpuTime();
        for (int i = 0; i < beats; i++) {
            nowUs += BEAT_US;
            beat();
        }
        return (THREADS.getCurrentThreadCpuTime() - fromNs) / 1e3 / beats;
    }

    @Override
    public void send(String id, String endpoint, long timeoutUs) {
        sent++;
    }

    /** The first timer is the beat's; a request's is due only after its end, when it does nothing. */
    @Override
    public void timer(long inUs, long token) {
        beatToken = beatToken < 0 ? token : beatToken;
    }
}
