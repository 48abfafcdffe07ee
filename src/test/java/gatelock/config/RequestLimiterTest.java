package gatelock.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Limits under random requests, ends and versions, against what they may never let happen. */
final class RequestLimiterTest {
    private static final long SECOND = 1_000_000;

    private static LimitPolicy limit(
            String name, LimitPolicy.Per per, double perS, double burst, int inFlight, int length, long waitUs) {
        return new LimitPolicy(name, per, perS / 1e6, burst, inFlight, length, waitUs);
    }

    private static LimitPolicy rate(double perS, double burst) {
        return limit("l", LimitPolicy.Per.ALL, perS, burst, Integer.MAX_VALUE, 0, 0);
    }

    /** One request and all that it is told. */
    private static final class Request implements QueuedRequest {
        private final int tenant;
        private final long askedUs;
        private RequestLimiter.Told told;
        private int passed;
        private int shed;
        private long toldUs;

        Request(RequestLimiter limits, long nowUs, int tenant, LimitPolicy... its) {
            this.tenant = tenant;
            this.askedUs = nowUs;
            told = limits.ask(nowUs, List.of(its), "r", tenant, nowUs + 60 * SECOND, this);
            passed = told.answer() == RequestLimiter.Answer.PASSES ? 1 : 0;
            shed = told.answer() == RequestLimiter.Answer.SHED ? 1 : 0;
        }

        @Override
        public void passes(long nowUs) {
            passed++;
            toldUs = nowUs;
        }

        @Override
        public void shed(long nowUs, long pauseUs) {
            shed++;
            toldUs = nowUs;
            assertThat(pauseUs).isPositive();
        }

        private boolean waits() {
            return passed + shed == 0;
        }

        private void over(long nowUs) {
            if (told.ticket() != null) {
                told.ticket().over(nowUs);
            }
        }
    }

    private static int passes(RequestLimiter limits, long nowUs, int requests, LimitPolicy limit) {
        int passed = 0;
        for (int i = 0; i < requests; i++) {
            passed += new Request(limits, nowUs, 0, limit).passed;
        }
        return passed;
    }

    @Test
    void aChangedRateHandsOutNoFreshBurst() {
        RequestLimiter limits = new RequestLimiter();
        limits.follow(1, Map.of("l", rate(10, 20)));
        assertThat(passes(limits, 1, 30, rate(10, 20))).isEqualTo(20);
        LimitPolicy more = rate(100, 200);
        limits.follow(2, Map.of("l", more));
        assertThat(passes(limits, 2, 30, more)).isZero();
        assertThat(passes(limits, 2 + SECOND / 10, 30, more)).isEqualTo(10);
        LimitPolicy byTenant = limit("l", LimitPolicy.Per.TENANT, 100, 200, Integer.MAX_VALUE, 0, 0);
        limits.follow(SECOND, Map.of("l", byTenant));
        assertThat(passes(limits, SECOND, 30, byTenant))
                .as("counted for something else now")
                .isEqualTo(1);
        LimitPolicy free =
                limit("l", LimitPolicy.Per.TENANT, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 1_000, 0, 0);
        limits.follow(SECOND, Map.of("l", free));
        assertThat(passes(limits, SECOND, 30, free)).isEqualTo(30);
        limits.follow(SECOND, Map.of("l", byTenant));
        assertThat(passes(limits, SECOND, 30, byTenant)).as("no rate before").isEqualTo(1);
    }

    @Test
    void whatIsInFlightStaysCountedWhenTheLimitChanges() {
        RequestLimiter limits = new RequestLimiter();
        LimitPolicy five = limit("l", LimitPolicy.Per.ALL, Double.POSITIVE_INFINITY, 1, 5, 0, 0);
        limits.follow(1, Map.of("l", five));
        List<Request> out = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            out.add(new Request(limits, 1, 0, five));
        }
        LimitPolicy three = limit("l", LimitPolicy.Per.ALL, Double.POSITIVE_INFINITY, 1, 3, 1, SECOND);
        limits.follow(2, Map.of("l", three));
        Request waits = new Request(limits, 2, 0, three);
        assertThat(waits.waits()).isTrue();
        out.get(0).over(3);
        out.get(1).over(3);
        assertThat(waits.waits()).as("three are still out").isTrue();
        out.get(2).over(4);
        assertThat(waits.passed).isEqualTo(1);
    }

    @Test
    void aQueueThatGetsShorterWhileFullShedsTheLastOfTheLongest() {
        RequestLimiter limits = new RequestLimiter();
        LimitPolicy four = limit("l", LimitPolicy.Per.ALL, 0.001, 1, Integer.MAX_VALUE, 4, SECOND);
        limits.follow(1, Map.of("l", four));
        new Request(limits, 1, 0, four);
        Request a1 = new Request(limits, 1, 1, four);
        Request a2 = new Request(limits, 1, 1, four);
        Request a3 = new Request(limits, 1, 1, four);
        Request b1 = new Request(limits, 1, 2, four);
        LimitPolicy two = limit("l", LimitPolicy.Per.ALL, 0.001, 1, Integer.MAX_VALUE, 2, SECOND);
        limits.follow(2, Map.of("l", two));
        assertThat(List.of(a1.shed, a2.shed, a3.shed, b1.shed)).containsExactly(0, 1, 1, 0);
        assertThat(limits.waiting()).isEqualTo(2);
    }

    @Test
    void aTenantThatAsksMuchTakesNoPlaceFromOneThatAsksLittle() {
        RequestLimiter limits = new RequestLimiter();
        LimitPolicy limit = limit("l", LimitPolicy.Per.ALL, 10, 1, Integer.MAX_VALUE, 10, 10 * SECOND);
        limits.follow(1, Map.of("l", limit));
        List<Request> much = new ArrayList<>();
        List<Request> little = new ArrayList<>();
        for (long us = 1; us < 10 * SECOND; us += 10_000) {
            much.add(new Request(limits, us, 1, limit));
            if (us % 250_000 < 10_000) {
                little.add(new Request(limits, us, 2, limit));
            }
            limits.due(us);
        }
        assertThat(little.stream().filter(r -> r.passed == 1).count()).isGreaterThan(little.size() * 9 / 10);
        assertThat(much.stream().filter(r -> r.passed == 1).count()).isBetween(50L, 65L);
    }

    @Test
    void oneThatWaitsForTwoLimitsPassesWhenTheOtherOneIsFree() {
        RequestLimiter limits = new RequestLimiter();
        LimitPolicy a = limit("a", LimitPolicy.Per.ALL, Double.POSITIVE_INFINITY, 1, 1, 5, 5 * SECOND);
        LimitPolicy b = limit("b", LimitPolicy.Per.ALL, Double.POSITIVE_INFINITY, 1, 1, 0, 0);
        Request onA = new Request(limits, 1, 0, a);
        Request onB = new Request(limits, 1, 0, b);
        Request both = new Request(limits, 1, 0, a, b);
        assertThat(both.waits()).isTrue();
        onA.over(2);
        assertThat(both.waits()).as("b is full").isTrue();
        onB.over(3);
        assertThat(both.passed).isEqualTo(1);
    }

    @Property(tries = 300, seed = "17")
    void boundsHoldAndEachRequestIsToldOnce(@ForAll long seed) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        RequestLimiter limits = new RequestLimiter();
        LimitPolicy[] its = new LimitPolicy[3];
        List<Request> all = new ArrayList<>();
        List<Request> out = new ArrayList<>();
        long nowUs = 1;
        long fromUs = 1;
        double passed = 0;
        for (int i = 0; i < 400; i++) {
            if (i % 100 == 0) {
                LimitPolicy.Per[] pers = LimitPolicy.Per.values();
                Map<String, LimitPolicy> next = new HashMap<>();
                for (int j = 0; j < its.length; j++) {
                    its[j] = limit(
                            "l" + j,
                            j == 0 ? LimitPolicy.Per.ALL : pers[random.nextInt(4)],
                            1 + random.nextInt(50),
                            1 + random.nextInt(5),
                            1 + random.nextInt(6),
                            random.nextInt(4),
                            1 + random.nextInt(500_000));
                    next.put(its[j].name(), its[j]);
                }
                limits.follow(nowUs, next);
                fromUs = nowUs;
                passed = all.stream().mapToInt(r -> r.passed).sum();
            }
            long nextUs = nowUs + 1 + random.nextInt(60_000);
            // Called when it says, as a timer would.
            for (long us = limits.nextUs(nowUs); us <= nextUs; us = limits.nextUs(us)) {
                nowUs = Math.max(nowUs + 1, us);
                limits.due(nowUs);
            }
            nowUs = Math.max(nowUs, nextUs);
            if (random.nextInt(3) == 0 && !out.isEmpty()) {
                out.remove(random.nextInt(out.size())).over(nowUs);
            } else {
                Request request = new Request(limits, nowUs, random.nextInt(3), its);
                all.add(request);
                if (request.shed == 0) {
                    out.add(request);
                }
            }
            out.removeIf(r -> r.shed > 0);
            assertThat(all).allMatch(r -> r.passed + r.shed <= 1);
            long inFlight = out.stream().filter(r -> r.passed == 1).count();
            int most = its[0].inFlight();
            assertThat(limits.inFlight("l0")).isEqualTo((int) inFlight);
            if (i % 100 > 50) {
                assertThat(inFlight).isLessThanOrEqualTo(Math.max(most, 6));
            }
            double newly = all.stream().mapToInt(r -> r.passed).sum() - passed;
            assertThat(newly).isLessThanOrEqualTo(its[0].burst() + 1e-6 + (nowUs - fromUs) * its[0].perUs());
            long late = nowUs;
            assertThat(out.stream().filter(Request::waits)).allMatch(r -> late - r.askedUs <= 500_001);
        }
        for (Request r : List.copyOf(out)) {
            r.over(nowUs);
        }
        limits.due(nowUs + 60 * SECOND);
        assertThat(limits.waiting()).isZero();
        assertThat(limits.inFlight("l0")).isEqualTo((int)
                all.stream().filter(r -> r.toldUs > nowUs(out) && r.passed == 1).count());
    }

    private static long nowUs(List<Request> out) {
        return out.stream().mapToLong(r -> Math.max(r.toldUs, r.askedUs)).max().orElse(0) + 3600 * SECOND;
    }
}
