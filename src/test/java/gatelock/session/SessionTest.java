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

/** Sessions under events in any order. */
final class SessionTest {
    private static final long SECOND = 1_000_000;
    private static final List<CloseReason> REASONS = List.of(CloseReason.values());

    /** Both peers as they see it. */
    private static final class Peers implements SessionTransport {
        private final Map<SessionSide, Integer> closes = new EnumMap<>(SessionSide.class);
        private final Set<SessionSide> cut = new HashSet<>();
        private final Set<SessionSide> lost = new HashSet<>();
        private String reason;

        @Override
        public void close(SessionSide side, int code, String reason) {
            assertThat(CloseCodes.sendable(code)).as("%d", code).isTrue();
            assertThat(closes.put(side, code)).as("a second close to %s", side).isNull();
            assertThat(cut).doesNotContain(side);
            assertThat(lost).as("nobody is there").doesNotContain(side);
            assertThat(reason.length()).isLessThanOrEqualTo(123);
            this.reason = side == SessionSide.CLIENT ? reason : this.reason;
        }

        @Override
        public void disconnect(SessionSide side) {
            assertThat(closes).as("cut without a word").containsKey(side);
            assertThat(cut.add(side)).isTrue();
        }
    }

    @Property(tries = 2_000, seed = "18")
    void eachSideThatHearsGetsJustOneCloseWhateverTheOrder(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Peers peers = new Peers();
        WebSocketSession session = new WebSocketSession(0, "u", 0, peers);
        long nowUs = 1;
        for (int i = 0; i < 12; i++) {
            nowUs += random.nextLong(400_000);
            SessionSide side = random.nextBoolean() ? SessionSide.CLIENT : SessionSide.ENDPOINT;
            boolean there = !peers.lost.contains(side) && !peers.cut.contains(side);
            switch (random.nextInt(4)) {
                case 0 -> session.end(nowUs, REASONS.get(random.nextInt(REASONS.size())), random.nextInt(2) * 100L);
                case 1 -> {
                    if (there) {
                        session.closeReceived(nowUs, side, random.nextInt(5_100), "x");
                    }
                }
                case 2 -> {
                    if (there) {
                        peers.lost.add(side);
                        session.connectionLost(nowUs, side);
                    }
                }
                default -> session.disconnectOverdue(nowUs);
            }
            boolean ended = session.closeReason() != null;
            assertThat(session.isOpen()).isEqualTo(!ended);
            for (SessionSide s : SessionSide.values()) {
                assertThat(peers.closes.containsKey(s))
                        .isEqualTo(ended && (peers.closes.containsKey(s) || !peers.lost.contains(s)));
            }
        }
        session.end(nowUs, CloseReason.IDLE_TIMEOUT, 0);
        assertThat(session.disconnectOverdue(nowUs + 2 * SECOND)).isTrue();
    }

    private static Endpoint endpoint(String name, int build, Endpoint.Health health) {
        return new Endpoint(name, build, 0, 0, 0, health, 0);
    }

    @Test
    void aDrainIsPacedByWhatTheOthersBearAndEndsInTime() {
        SessionRegistry sessions = new SessionRegistry(10_000, 20, 10 * SECOND, new SplittableRandom(1));
        sessions.updateEndpoints(
                1,
                DecisionEngine.EndpointUpdateType.FULL,
                List.of(
                        endpoint("a", 1, Endpoint.Health.READY),
                        endpoint("b", 1, Endpoint.Health.READY),
                        endpoint("c", 1, Endpoint.Health.READY)));
        List<Peers> at = new ArrayList<>();
        for (int i = 0; i < 600; i++) {
            Peers peers = new Peers();
            at.add(peers);
            sessions.register(2, "a", 0, peers);
        }
        sessions.updateEndpoints(
                SECOND, DecisionEngine.EndpointUpdateType.DELTA, List.of(endpoint("a", 1, Endpoint.Health.DRAINING)));
        long closedBefore = 0;
        for (long us = SECOND; us < 12 * SECOND; us += 100_000) {
            sessions.closeDue(us);
            long closed = at.stream()
                    .filter(p -> p.closes.containsKey(SessionSide.CLIENT))
                    .count();
            if (us < 11 * SECOND) {
                assertThat(closed - closedBefore).as("at %d", us).isLessThanOrEqualTo(5);
            }
            closedBefore = closed;
        }
        // Two endpoints at 20 a second bear 400 in 10 s; what is left then goes all the same.
        assertThat(closedBefore).isEqualTo(600);
        assertThat(at)
                .allMatch(p -> p.closes.get(SessionSide.CLIENT) == 1012 && p.reason.matches(".* after [0-9]+ ms"));
        sessions.closeDue(14 * SECOND);
        assertThat(sessions.size()).isZero();
        assertThat(sessions.drainingCount()).isZero();
    }

    @Test
    void aBuildThatGoesBackTakesItsSessionsAlongAtOnceAndNoOthers() {
        SessionRegistry sessions = new SessionRegistry(10, 20, 10 * SECOND, new SplittableRandom(1));
        sessions.updateEndpoints(
                1,
                DecisionEngine.EndpointUpdateType.FULL,
                List.of(endpoint("a", 1, Endpoint.Health.READY), endpoint("b", 2, Endpoint.Health.READY)));
        sessions.updateRelease(1, 2, DecisionEngine.ReleasePhase.TRIAL);
        Peers old = new Peers();
        Peers canary = new Peers();
        sessions.register(2, "a", 0, old);
        sessions.register(2, "b", 0, canary);
        sessions.updateRelease(3, 2, DecisionEngine.ReleasePhase.REVERTING);
        assertThat(canary.closes).containsEntry(SessionSide.CLIENT, 1012);
        assertThat(old.closes).isEmpty();
        Peers late = new Peers();
        sessions.register(4, "b", 0, late);
        assertThat(late.closes).as("its opening crossed the news").containsEntry(SessionSide.CLIENT, 1012);
    }

    @Test
    void aRelayThatLeavesClosesAllByItsTime() {
        SessionRegistry sessions = new SessionRegistry(10_000, 20, 10 * SECOND, new SplittableRandom(1));
        sessions.updateEndpoints(
                1, DecisionEngine.EndpointUpdateType.FULL, List.of(endpoint("a", 1, Endpoint.Health.READY)));
        List<Peers> at = new ArrayList<>();
        for (int i = 0; i < 2_000; i++) {
            Peers peers = new Peers();
            at.add(peers);
            sessions.register(2, "a", 0, peers);
        }
        sessions.drainAll(SECOND, 3 * SECOND);
        assertThat(sessions.hasCapacity()).isFalse();
        for (long us = SECOND; us <= 3 * SECOND; us += 50_000) {
            sessions.closeDue(us);
        }
        assertThat(at).allMatch(p -> p.closes.get(SessionSide.CLIENT) == 1012);
    }
}
