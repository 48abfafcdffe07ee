package gatelock.session;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Guards against sessions that are closed twice, not closed at all or closed too late. Events of a session may arrive
 * in any order, and drains, rollbacks and shutdowns close many sessions at a time.
 */
final class SessionTest {
    private static final long SECOND_US = 1_000_000;
    private static final List<CloseReason> REASONS = List.of(CloseReason.values());

    /** Records the closes and disconnects of both sides and fails on any that violates {@link SessionTransport}. */
    private static final class RecordingTransport implements SessionTransport {
        private final Map<SessionSide, Integer> closeCodes = new EnumMap<>(SessionSide.class);
        private final Set<SessionSide> disconnected = new HashSet<>();
        private final Set<SessionSide> connectionLost = new HashSet<>();
        private String clientReason;

        @Override
        public void close(SessionSide side, int code, String reason) {
            assertThat(CloseCodes.isSendable(code))
                    .as("close code %d may be sent", code)
                    .isTrue();
            assertThat(closeCodes.put(side, code))
                    .as("earlier close frame to %s", side)
                    .isNull();
            assertThat(disconnected).doesNotContain(side);
            assertThat(connectionLost).as("sides whose connection was lost").doesNotContain(side);
            assertThat(reason.length()).isLessThanOrEqualTo(123);
            this.clientReason = side == SessionSide.CLIENT ? reason : this.clientReason;
        }

        @Override
        public void disconnect(SessionSide side) {
            assertThat(closeCodes)
                    .as("sides that were sent a close frame before the disconnect")
                    .containsKey(side);
            assertThat(disconnected.add(side)).isTrue();
        }
    }

    @Property(tries = 2_000, seed = "18")
    void sendsExactlyOneCloseToEachConnectedSideInAnyEventOrder(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        RecordingTransport transport = new RecordingTransport();
        WebSocketSession session = new WebSocketSession(0, "u", 0, transport);
        long nowUs = 1;
        for (int i = 0; i < 12; i++) {
            nowUs += random.nextLong(400_000);
            SessionSide side = random.nextBoolean() ? SessionSide.CLIENT : SessionSide.ENDPOINT;
            boolean connected = !transport.connectionLost.contains(side) && !transport.disconnected.contains(side);
            switch (random.nextInt(4)) {
                case 0 -> session.end(nowUs, REASONS.get(random.nextInt(REASONS.size())), random.nextInt(2) * 100L);
                case 1 -> {
                    if (connected) {
                        session.closeReceived(nowUs, side, random.nextInt(5_100), "x");
                    }
                }
                case 2 -> {
                    if (connected) {
                        transport.connectionLost.add(side);
                        session.connectionLost(nowUs, side);
                    }
                }
                default -> session.disconnectOverdue(nowUs);
            }
            boolean ended = session.closeReason() != null;
            assertThat(session.isOpen()).isEqualTo(!ended);
            for (SessionSide s : SessionSide.values()) {
                assertThat(transport.closeCodes.containsKey(s))
                        .isEqualTo(ended
                                && (transport.closeCodes.containsKey(s) || !transport.connectionLost.contains(s)));
            }
        }
        session.end(nowUs, CloseReason.IDLE_TIMEOUT, 0);
        assertThat(session.disconnectOverdue(nowUs + 2 * SECOND_US)).isTrue();
    }

    private static Endpoint endpoint(String name, int build, Endpoint.Health health) {
        return new Endpoint(name, build, 0, 0, 0, health, 0);
    }

    @Test
    void pacesDrainByCapacityOfRemainingEndpointsUntilDeadline() {
        SessionRegistry sessions = new SessionRegistry(10_000, 20, 10 * SECOND_US, new SplittableRandom(1));
        sessions.updateEndpoints(
                1,
                DecisionEngine.EndpointUpdateType.FULL,
                List.of(
                        endpoint("a", 1, Endpoint.Health.READY),
                        endpoint("b", 1, Endpoint.Health.READY),
                        endpoint("c", 1, Endpoint.Health.READY)));
        List<RecordingTransport> transports = new ArrayList<>();
        for (int i = 0; i < 600; i++) {
            RecordingTransport transport = new RecordingTransport();
            transports.add(transport);
            sessions.register(2, "a", 0, transport);
        }
        sessions.updateEndpoints(
                SECOND_US,
                DecisionEngine.EndpointUpdateType.DELTA,
                List.of(endpoint("a", 1, Endpoint.Health.DRAINING)));
        long closedBefore = 0;
        for (long nowUs = SECOND_US; nowUs < 12 * SECOND_US; nowUs += 100_000) {
            sessions.closeDue(nowUs);
            long closed = transports.stream()
                    .filter(p -> p.closeCodes.containsKey(SessionSide.CLIENT))
                    .count();
            if (nowUs < 11 * SECOND_US) {
                assertThat(closed - closedBefore)
                        .as("sessions closed at %d us", nowUs)
                        .isLessThanOrEqualTo(5);
            }
            closedBefore = closed;
        }
        // Two endpoints open 20 sessions a second each, 400 in 10 s; the remaining sessions are closed at the deadline.
        assertThat(closedBefore).isEqualTo(600);
        assertThat(transports)
                .allMatch(p ->
                        p.closeCodes.get(SessionSide.CLIENT) == 1012 && p.clientReason.matches(".* after [0-9]+ ms"));
        sessions.closeDue(14 * SECOND_US);
        assertThat(sessions.size()).isZero();
        assertThat(sessions.drainingCount()).isZero();
    }

    @Test
    void closesOnlySessionsOfRolledBackBuildImmediately() {
        SessionRegistry sessions = new SessionRegistry(10, 20, 10 * SECOND_US, new SplittableRandom(1));
        sessions.updateEndpoints(
                1,
                DecisionEngine.EndpointUpdateType.FULL,
                List.of(endpoint("a", 1, Endpoint.Health.READY), endpoint("b", 2, Endpoint.Health.READY)));
        sessions.updateRelease(1, 2, DecisionEngine.ReleasePhase.TRIAL);
        RecordingTransport onOldBuild = new RecordingTransport();
        RecordingTransport onCanary = new RecordingTransport();
        sessions.register(2, "a", 0, onOldBuild);
        sessions.register(2, "b", 0, onCanary);
        sessions.updateRelease(3, 2, DecisionEngine.ReleasePhase.REVERTING);
        assertThat(onCanary.closeCodes).containsEntry(SessionSide.CLIENT, 1012);
        assertThat(onOldBuild.closeCodes).isEmpty();
        RecordingTransport openedAfterRollback = new RecordingTransport();
        sessions.register(4, "b", 0, openedAfterRollback);
        assertThat(openedAfterRollback.closeCodes)
                .as("session registered after the rollback began")
                .containsEntry(SessionSide.CLIENT, 1012);
    }

    @Test
    void closesAllSessionsByShutdownDeadline() {
        SessionRegistry sessions = new SessionRegistry(10_000, 20, 10 * SECOND_US, new SplittableRandom(1));
        sessions.updateEndpoints(
                1, DecisionEngine.EndpointUpdateType.FULL, List.of(endpoint("a", 1, Endpoint.Health.READY)));
        List<RecordingTransport> transports = new ArrayList<>();
        for (int i = 0; i < 2_000; i++) {
            RecordingTransport transport = new RecordingTransport();
            transports.add(transport);
            sessions.register(2, "a", 0, transport);
        }
        sessions.drainAll(3 * SECOND_US);
        assertThat(sessions.hasCapacity()).isFalse();
        for (long nowUs = SECOND_US; nowUs <= 3 * SECOND_US; nowUs += 50_000) {
            sessions.closeDue(nowUs);
        }
        assertThat(transports).allMatch(p -> p.closeCodes.get(SessionSide.CLIENT) == 1012);
    }

    /** Guards against a relay that runs until it is killed, with sessions that are never closed (review/10). */
    @Test
    void closesSessionThatWasBeingOpenedWhenShutdownBegan() {
        SessionRegistry sessions = new SessionRegistry(10, 20, 10 * SECOND_US, new SplittableRandom(1));
        sessions.updateEndpoints(
                1, DecisionEngine.EndpointUpdateType.FULL, List.of(endpoint("a", 1, Endpoint.Health.READY)));
        sessions.drainAll(3 * SECOND_US);
        RecordingTransport beforeDeadline = new RecordingTransport();
        sessions.register(2 * SECOND_US, "a", 0, beforeDeadline);
        sessions.closeDue(3 * SECOND_US);
        assertThat(beforeDeadline.closeCodes).containsEntry(SessionSide.CLIENT, 1012);
        RecordingTransport afterDeadline = new RecordingTransport();
        sessions.register(3 * SECOND_US + 100_000, "a", 0, afterDeadline);
        sessions.closeDue(3 * SECOND_US + 200_000);
        assertThat(afterDeadline.closeCodes).containsEntry(SessionSide.CLIENT, 1012);
    }

    /** Guards against the same fault where the endpoint began to drain first and has more time than the relay. */
    @Test
    void closesSessionsOfDrainingEndpointByShutdownDeadline() {
        SessionRegistry sessions = new SessionRegistry(1_000, 0.1, 60 * SECOND_US, new SplittableRandom(1));
        sessions.updateEndpoints(
                1, DecisionEngine.EndpointUpdateType.FULL, List.of(endpoint("a", 1, Endpoint.Health.READY)));
        List<RecordingTransport> transports = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            transports.add(new RecordingTransport());
            sessions.register(2, "a", 0, transports.get(i));
        }
        sessions.updateEndpoints(
                SECOND_US,
                DecisionEngine.EndpointUpdateType.DELTA,
                List.of(endpoint("a", 1, Endpoint.Health.DRAINING)));
        sessions.drainAll(3 * SECOND_US);
        for (long nowUs = SECOND_US; nowUs <= 3 * SECOND_US; nowUs += 50_000) {
            sessions.closeDue(nowUs);
        }
        assertThat(transports).allMatch(p -> p.closeCodes.containsKey(SessionSide.CLIENT));
    }
}
