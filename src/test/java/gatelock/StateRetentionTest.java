package gatelock;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.AttemptResult;
import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.api.LoadReport;
import gatelock.api.RelaySettings;
import gatelock.api.RequestHandle;
import gatelock.api.RolloutPolicy;
import gatelock.api.RoutePolicy;
import gatelock.decision.ReleaseGate;
import gatelock.standin.NoOpActions;
import gatelock.state.EndpointAddresses;
import gatelock.state.IdleConnections;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against memory leaks: endpoints, builds, addresses, keys and requests that come and go over a long time must
 * not leave entries behind in collections.
 */
final class StateRetentionTest {
    private final List<String> sentTo = new ArrayList<>();

    @Test
    void decisionEngineDropsStateOfDepartedEndpointsAndBuilds() throws Exception {
        RolloutPolicy rollout = new RolloutPolicy(
                RolloutPolicy.PromotionMode.COUNT,
                1_000_000,
                6_000_000,
                2_000_000,
                new double[] {0.2, 1},
                0,
                false,
                true,
                2,
                1,
                10,
                false);
        DecisionEngine engine = new ReleaseGate(
                new RelaySettings(
                        7,
                        1,
                        0,
                        List.of(new RoutePolicy(
                                RoutePolicy.RetrySafety.RETRIABLE, RoutePolicy.DedupScope.ALL, 0, 250_000, 1)),
                        List.of(),
                        1,
                        3,
                        true,
                        true,
                        1_000_000,
                        false,
                        0.5,
                        3_000_000,
                        2.5,
                        1_000_000,
                        0,
                        0,
                        rollout),
                new SendRecorder());
        long nowUs = 1_000_000;
        engine.start(nowUs);
        for (int build = 1; build <= 200; build++) {
            List<Endpoint> endpoints = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                endpoints.add(new Endpoint(
                        "u" + build + "-" + i / 3 + i, build - 1 + i / 3, 0, 0, 0, Endpoint.Health.READY, 0));
            }
            engine.endpointsUpdated(nowUs, DecisionEngine.EndpointUpdateType.FULL, endpoints);
            engine.releaseStateUpdated(
                    nowUs, build, 1, DecisionEngine.ReleasePhase.RELEASED, 1, 0, DecisionEngine.VoteResponse.NOT_ASKED);
            for (int i = 0; i < 20; i++) {
                sentTo.clear();
                RequestHandle request =
                        engine.acceptRequest(nowUs, build + "/" + i, 0, 0, build * 100L + i, 500_000, 1_000);
                nowUs += 20_000;
                for (int attempt = 0; attempt < sentTo.size(); attempt++) {
                    request.attemptEnded(nowUs, attempt, AttemptResult.COMPLETED, 20_000, true, LoadReport.NONE);
                }
                assertThat(request.isSettled()).isTrue();
                engine.timerFired(nowUs, 0);
            }
        }
        assertBounded(engine, 100);
    }

    @Test
    void addressesAndIdleConnectionsStayBounded() throws Exception {
        EndpointAddresses addresses = new EndpointAddresses();
        IdleConnections<Object> idle = new IdleConnections<>(50, connection -> {});
        for (int i = 0; i < 1000; i++) {
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1 + i);
            addresses.put(address, new Endpoint("a" + i, 1, 0, 0, 0, Endpoint.Health.READY, 0));
            addresses.put(
                    address,
                    new Endpoint("a" + i, 1, 0, 0, 0, i % 2 == 0 ? Endpoint.Health.GONE : Endpoint.Health.DRAINING, 0));
            idle.put(i, address, "connection" + i);
        }
        addresses.keepOnly(Set.of("a1"));
        assertBounded(addresses, 1);
        assertBounded(idle, 50);
    }

    /**
     * Checks the size of every collection that is reachable from an object through instance fields of the project's
     * classes.
     */
    private static void assertBounded(Object holder, int maxSize) throws Exception {
        Set<Object> seen = Collections.newSetFromMap(new IdentityHashMap<>());
        ArrayDeque<Object> toVisit = new ArrayDeque<>(List.of(holder));
        while (!toVisit.isEmpty()) {
            Object object = toVisit.poll();
            if (!object.getClass().getName().startsWith("gatelock.") || !seen.add(object)) {
                continue;
            }
            for (Field field : object.getClass().getDeclaredFields()) {
                if (!Modifier.isStatic(field.getModifiers())) {
                    field.setAccessible(true);
                    Collection<?> elements = elements(field.get(object));
                    assertThat(elements.size()).as(field.toString()).isLessThanOrEqualTo(maxSize);
                    elements.stream().filter(Objects::nonNull).forEach(toVisit::add);
                }
            }
        }
    }

    /** Returns the elements of a collection, the values of a map, or for any other object the object itself. */
    private static Collection<?> elements(Object value) {
        if (value instanceof Map<?, ?> map) {
            return map.values();
        }
        return value instanceof Collection<?> collection ? collection : Collections.singletonList(value);
    }

    /** Records the endpoints that attempts are sent to. */
    private final class SendRecorder implements NoOpActions {
        @Override
        public void sendAttempt(String id, String endpoint, long timeoutUs) {
            sentTo.add(endpoint);
        }
    }
}
