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

/**
 * Tests limits under fixed and random sequences of requests, releases and versions. Guards against a fresh burst or a
 * lost count of requests in flight when a version changes a limit, against a tenant that starves others in a queue, and
 * against a queued request that is notified twice or waits too long.
 */
final class RequestLimiterTest {
    private static final long SECOND = 1_000_000;

    private static LimitPolicy limit(
            String name,
            LimitPolicy.Scope scope,
            double ratePerS,
            double burst,
            int maxInFlight,
            int maxQueueLength,
            long maxWaitUs) {
        return new LimitPolicy(name, scope, ratePerS / 1e6, burst, maxInFlight, maxQueueLength, maxWaitUs);
    }

    private static LimitPolicy rate(double ratePerS, double burst) {
        return limit("l", LimitPolicy.Scope.ALL, ratePerS, burst, Integer.MAX_VALUE, 0, 0);
    }

    /** A request that counts how often it was admitted and shed. */
    private static final class Request implements QueuedRequest {
        private final long submittedUs;
        private final RequestLimiter.Decision decision;
        private int admitted;
        private int shed;

        Request(RequestLimiter limiter, long nowUs, int tenant, LimitPolicy... limits) {
            this.submittedUs = nowUs;
            decision = limiter.admit(nowUs, List.of(limits), "r", tenant, nowUs + 60 * SECOND, this);
            admitted = decision.outcome() == RequestLimiter.Outcome.ADMITTED ? 1 : 0;
            shed = decision.outcome() == RequestLimiter.Outcome.SHED ? 1 : 0;
        }

        @Override
        public void onAdmitted(long nowUs) {
            admitted++;
        }

        @Override
        public void onShed(long nowUs, long retryAfterUs) {
            shed++;
            assertThat(retryAfterUs).isPositive();
        }

        private boolean isQueued() {
            return admitted + shed == 0;
        }

        private void release(long nowUs) {
            if (decision.ticket() != null) {
                decision.ticket().release(nowUs);
            }
        }
    }

    /** Submits a number of requests and returns how many of them were admitted immediately. */
    private static int countAdmitted(RequestLimiter limiter, long nowUs, int requests, LimitPolicy limit) {
        int admitted = 0;
        for (int i = 0; i < requests; i++) {
            admitted += new Request(limiter, nowUs, 0, limit).admitted;
        }
        return admitted;
    }

    @Test
    void grantsNoFreshBurstWhenRateChanges() {
        RequestLimiter limiter = new RequestLimiter();
        limiter.applyPolicies(1, Map.of("l", rate(10, 20)));
        assertThat(countAdmitted(limiter, 1, 30, rate(10, 20))).isEqualTo(20);
        LimitPolicy higherRate = rate(100, 200);
        limiter.applyPolicies(2, Map.of("l", higherRate));
        assertThat(countAdmitted(limiter, 2, 30, higherRate)).isZero();
        assertThat(countAdmitted(limiter, 2 + SECOND / 10, 30, higherRate)).isEqualTo(10);
        LimitPolicy byTenant = limit("l", LimitPolicy.Scope.TENANT, 100, 200, Integer.MAX_VALUE, 0, 0);
        limiter.applyPolicies(SECOND, Map.of("l", byTenant));
        assertThat(countAdmitted(limiter, SECOND, 30, byTenant))
                .as("the buckets of the new scope start without a burst")
                .isEqualTo(1);
        LimitPolicy unlimitedRate =
                limit("l", LimitPolicy.Scope.TENANT, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 1_000, 0, 0);
        limiter.applyPolicies(SECOND, Map.of("l", unlimitedRate));
        assertThat(countAdmitted(limiter, SECOND, 30, unlimitedRate)).isEqualTo(30);
        limiter.applyPolicies(SECOND, Map.of("l", byTenant));
        assertThat(countAdmitted(limiter, SECOND, 30, byTenant))
                .as("a rate after no rate starts without a burst")
                .isEqualTo(1);
    }

    @Test
    void keepsInFlightCountWhenLimitChanges() {
        RequestLimiter limiter = new RequestLimiter();
        LimitPolicy five = limit("l", LimitPolicy.Scope.ALL, Double.POSITIVE_INFINITY, 1, 5, 0, 0);
        limiter.applyPolicies(1, Map.of("l", five));
        List<Request> unreleased = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            unreleased.add(new Request(limiter, 1, 0, five));
        }
        LimitPolicy three = limit("l", LimitPolicy.Scope.ALL, Double.POSITIVE_INFINITY, 1, 3, 1, SECOND);
        limiter.applyPolicies(2, Map.of("l", three));
        Request queued = new Request(limiter, 2, 0, three);
        assertThat(queued.isQueued()).isTrue();
        unreleased.get(0).release(3);
        unreleased.get(1).release(3);
        assertThat(queued.isQueued()).as("three are still in flight").isTrue();
        unreleased.get(2).release(4);
        assertThat(queued.admitted).isEqualTo(1);
    }

    @Test
    void shedsLastRequestsOfBusiestTenantWhenQueueIsShortened() {
        RequestLimiter limiter = new RequestLimiter();
        LimitPolicy four = limit("l", LimitPolicy.Scope.ALL, 0.001, 1, Integer.MAX_VALUE, 4, SECOND);
        limiter.applyPolicies(1, Map.of("l", four));
        new Request(limiter, 1, 0, four);
        Request a1 = new Request(limiter, 1, 1, four);
        Request a2 = new Request(limiter, 1, 1, four);
        Request a3 = new Request(limiter, 1, 1, four);
        Request b1 = new Request(limiter, 1, 2, four);
        LimitPolicy two = limit("l", LimitPolicy.Scope.ALL, 0.001, 1, Integer.MAX_VALUE, 2, SECOND);
        limiter.applyPolicies(2, Map.of("l", two));
        assertThat(List.of(a1.shed, a2.shed, a3.shed, b1.shed)).containsExactly(0, 1, 1, 0);
        assertThat(limiter.queuedCount()).isEqualTo(2);
    }

    @Test
    void admitsTenantWithFewRequestsDespiteBusyTenant() {
        RequestLimiter limiter = new RequestLimiter();
        LimitPolicy limit = limit("l", LimitPolicy.Scope.ALL, 10, 1, Integer.MAX_VALUE, 10, 10 * SECOND);
        limiter.applyPolicies(1, Map.of("l", limit));
        List<Request> requestsOfBusyTenant = new ArrayList<>();
        List<Request> requestsOfQuietTenant = new ArrayList<>();
        for (long us = 1; us < 10 * SECOND; us += 10_000) {
            requestsOfBusyTenant.add(new Request(limiter, us, 1, limit));
            if (us % 250_000 < 10_000) {
                requestsOfQuietTenant.add(new Request(limiter, us, 2, limit));
            }
            limiter.processQueues(us);
        }
        assertThat(requestsOfQuietTenant.stream().filter(r -> r.admitted == 1).count())
                .isGreaterThan(requestsOfQuietTenant.size() * 9 / 10);
        assertThat(requestsOfBusyTenant.stream().filter(r -> r.admitted == 1).count())
                .isBetween(50L, 65L);
    }

    @Test
    void admitsQueuedRequestWhenItsOtherLimitIsReleased() {
        RequestLimiter limiter = new RequestLimiter();
        LimitPolicy a = limit("a", LimitPolicy.Scope.ALL, Double.POSITIVE_INFINITY, 1, 1, 5, 5 * SECOND);
        LimitPolicy b = limit("b", LimitPolicy.Scope.ALL, Double.POSITIVE_INFINITY, 1, 1, 0, 0);
        Request onA = new Request(limiter, 1, 0, a);
        Request onB = new Request(limiter, 1, 0, b);
        Request both = new Request(limiter, 1, 0, a, b);
        assertThat(both.isQueued()).isTrue();
        onA.release(2);
        assertThat(both.isQueued()).as("b is full").isTrue();
        onB.release(3);
        assertThat(both.admitted).isEqualTo(1);
    }

    @Property(tries = 300, seed = "17")
    void keepsBoundsAndNotifiesEachRequestAtMostOnce(@ForAll long seed) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        RequestLimiter limiter = new RequestLimiter();
        LimitPolicy[] policies = new LimitPolicy[3];
        List<Request> all = new ArrayList<>();
        List<Request> unreleased = new ArrayList<>();
        long nowUs = 1;
        long versionSinceUs = 1;
        double admittedBefore = 0;
        for (int i = 0; i < 400; i++) {
            if (i % 100 == 0) {
                LimitPolicy.Scope[] scopes = LimitPolicy.Scope.values();
                Map<String, LimitPolicy> next = new HashMap<>();
                for (int j = 0; j < policies.length; j++) {
                    policies[j] = limit(
                            "l" + j,
                            j == 0 ? LimitPolicy.Scope.ALL : scopes[random.nextInt(4)],
                            1 + random.nextInt(50),
                            1 + random.nextInt(5),
                            1 + random.nextInt(6),
                            random.nextInt(4),
                            1 + random.nextInt(500_000));
                    next.put(policies[j].name(), policies[j]);
                }
                limiter.applyPolicies(nowUs, next);
                versionSinceUs = nowUs;
                admittedBefore = all.stream().mapToInt(r -> r.admitted).sum();
            }
            long nextUs = nowUs + 1 + random.nextInt(60_000);
            // Call processQueues whenever it is due, as a timer would.
            for (long us = limiter.nextDueUs(nowUs); us <= nextUs; us = limiter.nextDueUs(us)) {
                nowUs = Math.max(nowUs + 1, us);
                limiter.processQueues(nowUs);
            }
            nowUs = Math.max(nowUs, nextUs);
            if (random.nextInt(3) == 0 && !unreleased.isEmpty()) {
                unreleased.remove(random.nextInt(unreleased.size())).release(nowUs);
            } else {
                Request request = new Request(limiter, nowUs, random.nextInt(3), policies);
                all.add(request);
                if (request.shed == 0) {
                    unreleased.add(request);
                }
            }
            unreleased.removeIf(r -> r.shed > 0);
            assertThat(all).allMatch(r -> r.admitted + r.shed <= 1);
            long inFlight = unreleased.stream().filter(r -> r.admitted == 1).count();
            int maxInFlight = policies[0].maxInFlight();
            assertThat(limiter.inFlight("l0")).isEqualTo((int) inFlight);
            if (i % 100 > 50) {
                assertThat(inFlight).isLessThanOrEqualTo(Math.max(maxInFlight, 6));
            }
            double admittedSince = all.stream().mapToInt(r -> r.admitted).sum() - admittedBefore;
            assertThat(admittedSince)
                    .isLessThanOrEqualTo(
                            policies[0].burst() + 1e-6 + (nowUs - versionSinceUs) * policies[0].ratePerUs());
            long currentUs = nowUs;
            assertThat(unreleased.stream().filter(Request::isQueued))
                    .allMatch(r -> currentUs - r.submittedUs <= 500_001);
        }
        for (Request r : List.copyOf(unreleased)) {
            r.release(nowUs);
        }
        limiter.processQueues(nowUs + 60 * SECOND);
        assertThat(limiter.queuedCount()).isZero();
        assertThat(limiter.inFlight("l0")).as("all requests were released").isZero();
    }
}
