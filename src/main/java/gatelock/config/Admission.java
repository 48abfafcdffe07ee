package gatelock.config;

import gatelock.api.AttemptResult;
import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.api.RequestConstraints;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Applies the active configuration version to requests: their route, their limits, the endpoints they may reach and the
 * retries they may have. A request is finished under the version that matched it; what limits and retry budgets have
 * counted carries over from version to version. Used by one thread.
 */
public final class Admission {
    /** The status for a path that an endpoint may read as another path. */
    private static final int BAD_REQUEST = 400;
    /** The status for a request without a route, if the version rejects such requests. */
    private static final int NOT_FOUND = 404;

    private final RequestLimiter limiter = new RequestLimiter();
    private final PoolMembership membership = new PoolMembership();
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
    private final ConfigChangeGuard changeGuard;
    private CompiledConfig active;
    private long unmatchedRequests;

    /**
     * Creates an admission without an active version.
     *
     * @param maxDroppedShare of the ready endpoints that routes reach, the share that one version may stop using
     */
    public Admission(double maxDroppedShare) {
        changeGuard = new ConfigChangeGuard(maxDroppedShare);
    }

    /** The route that a request matches, with the version in which it was found. */
    public static final class MatchedRoute {
        private final CompiledConfig config;
        private final RouteEntry route;

        private MatchedRoute(CompiledConfig config, RouteEntry route) {
            this.config = config;
            this.route = route;
        }

        /** Returns the index of the request class whose policy applies. */
        public int classIndex() {
            return route.classIndex();
        }

        /** Returns the name of the route. */
        public String routeName() {
            return route.name();
        }

        /** Returns the terms of WebSocket sessions on the route, or null if it has none. */
        public SessionPolicy sessionPolicy() {
            return route.sessionPolicy();
        }
    }

    /** A request under the version that matched it: its place in the limits, and the constraints on its attempts. */
    public final class RoutedRequest implements RequestConstraints {
        private final MatchedRoute matched;
        /** The pool that serves the request, chosen when it came; null: all endpoints. */
        private final String pool;

        private final RetryPolicy retryPolicy;
        private final RetryBudget retryBudget;
        /** Set once, by {@link Admission#admit}. */
        private RequestLimiter.Decision decision;

        private RoutedRequest(long nowUs, MatchedRoute matched) {
            this.matched = matched;
            String configuredPool = matched.route.pool();
            pool = configuredPool == null ? null : membership.servingPool(nowUs, configuredPool);
            retryPolicy = matched.config.retryPolicy(matched.route, pool);
            retryBudget = retryBudgets.computeIfAbsent(retryPolicy.name(), name -> new RetryBudget());
            retryBudget.recordRequest(nowUs);
        }

        /** Whether the request was shed at once; {@link #retryAfterUs} says when it may come back. */
        public boolean isShed() {
            return decision.outcome() == RequestLimiter.Outcome.SHED;
        }

        /** Returns after how long a request that was shed may come back, in microseconds; otherwise 0. */
        public long retryAfterUs() {
            return decision.retryAfterUs();
        }

        /** Whether the request waits in the queue of a limit. */
        public boolean isQueued() {
            return decision.ticket() != null && decision.ticket().isQueued();
        }

        /** Returns the name of the route. */
        public String routeName() {
            return matched.route.name();
        }

        /** Returns the version that matched the request. */
        public ConfigVersion version() {
            return matched.config.version();
        }

        /** Frees the request's part of its limits, as it is answered or its client left. */
        public void release(long nowUs) {
            if (decision.ticket() != null) {
                decision.ticket().release(nowUs);
            }
        }

        /**
         * Whether the endpoint belongs to the pool that was chosen when the request came. That pool stays, although it
         * may by now have given way to its fallback, or be missing in the active version.
         */
        @Override
        public boolean allowsEndpoint(String endpoint) {
            if (pool == null) {
                return true;
            }
            return matched.config == active
                    ? membership.contains(pool, endpoint)
                    : membership.matches(matched.config.pools().get(pool), endpoint);
        }

        @Override
        public int maxAttempts() {
            return retryPolicy.maxAttempts();
        }

        @Override
        public long attemptTimeoutUs() {
            return retryPolicy.attemptTimeoutUs();
        }

        @Override
        public boolean acquireRetry(long nowUs, AttemptResult last) {
            return retryPolicy.retryableResults().contains(last)
                    && retryBudget.tryAcquire(nowUs, retryPolicy.budgetRatio());
        }
    }

    /** Returns the active version, or null before there was one. */
    public CompiledConfig activeConfig() {
        return active;
    }

    /** Returns the route that a request matches in the active version, or null if there is none. */
    public MatchedRoute matchRoute(RequestAttributes request) {
        RouteEntry route = active == null ? null : active.findRoute(request);
        return route == null ? null : new MatchedRoute(active, route);
    }

    /**
     * Returns the status with which a request is rejected whatever its class, or 0: 400 for a path that an endpoint may
     * read as another one, 404 for a request that matches no route if the version rejects such. Needs an active version.
     *
     * @param request the request
     * @param matched what {@link #matchRoute} returned for it
     */
    public int rejectionStatus(RequestAttributes request, MatchedRoute matched) {
        if (matched == null) {
            unmatchedRequests++;
        }
        if (RouteMatch.isAmbiguousPath(request.path())) {
            return BAD_REQUEST;
        }
        return matched == null && active.rejectsUnmatched() ? NOT_FOUND : 0;
    }

    /**
     * Submits a complete request to its limits: it is admitted, waits or is shed at once. Another version may have
     * become active since it was matched; it goes on under the one by which it was matched.
     *
     * @param nowUs the current time
     * @param matched the request's route
     * @param tenant index of its tenant
     * @param deadlineUs its deadline
     * @param request is notified of the outcome if the request waits
     */
    public RoutedRequest admit(long nowUs, MatchedRoute matched, int tenant, long deadlineUs, QueuedRequest request) {
        changeGuard.recordRequest(nowUs, matched.route.name());
        RoutedRequest routed = new RoutedRequest(nowUs, matched);
        routed.decision =
                limiter.admit(nowUs, currentLimits(matched), matched.route.name(), tenant, deadlineUs, request);
        return routed;
    }

    /** A limit applies with the active version's figures, also to a request that an earlier version matched. */
    private List<LimitPolicy> currentLimits(MatchedRoute matched) {
        if (matched.config == active) {
            return matched.route.limits();
        }
        List<LimitPolicy> limits = new ArrayList<>();
        for (LimitPolicy matchedLimit : matched.route.limits()) {
            LimitPolicy current = active.limits().get(matchedLimit.name());
            boolean sameScope = current != null && current.scope() == matchedLimit.scope();
            limits.add(sameScope ? current : matchedLimit);
        }
        return limits;
    }

    /** Admits and sheds requests that wait for their limits; to be called at {@link #nextDueUs}. */
    public void processQueues(long nowUs) {
        limiter.processQueues(nowUs);
    }

    /** Returns when {@link #processQueues} is to be called next, or {@code Long.MAX_VALUE} if nothing waits. */
    public long nextDueUs(long nowUs) {
        return limiter.nextDueUs(nowUs);
    }

    /**
     * Applies the endpoint list or a change of it to the pools.
     *
     * @param nowUs the current time
     * @param form whether {@code entries} is the list or a change
     * @param entries endpoints
     * @param labels labels of the endpoints that have any, by endpoint name
     */
    public void updateEndpoints(
            long nowUs,
            DecisionEngine.EndpointUpdateType form,
            List<Endpoint> entries,
            Map<String, Map<String, String>> labels) {
        membership.updateEndpoints(nowUs, form, entries, labels);
    }

    /** Returns errors for what makes a version that is correct by itself a danger beside the active one. */
    public List<Diagnostic> checkAgainstActive(long nowUs, CompiledConfig next) {
        return active == null ? List.of() : changeGuard.check(nowUs, active, next, membership);
    }

    /** Makes a version active. */
    public void activate(long nowUs, CompiledConfig next) {
        active = next;
        membership.activate(nowUs, next);
        limiter.applyPolicies(nowUs, next.limits());
        changeGuard.activate(next);
        // Requests of earlier versions keep their reference to a budget that is dropped here.
        retryBudgets.keySet().retainAll(next.retryPolicyNames());
    }

    /** Returns figures for the operator's status: what waits, what is in flight by limit, and which pools serve. */
    public Map<String, Object> state(long nowUs) {
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("waiting", limiter.queuedCount());
        state.put("counts", limiter.bucketCount());
        state.put("unmatched", unmatchedRequests);
        if (active != null) {
            Map<String, Object> inFlight = new TreeMap<>();
            active.limits().keySet().forEach(name -> inFlight.put(name, limiter.inFlight(name)));
            state.put("inFlight", inFlight);
            Map<String, Object> pools = new TreeMap<>();
            active.pools().keySet().forEach(name -> pools.put(name, poolState(nowUs, name)));
            state.put("pools", pools);
        }
        return state;
    }

    private Map<String, Object> poolState(long nowUs, String pool) {
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("ready", membership.readyCount(pool));
        state.put("served by", membership.servingPool(nowUs, pool));
        return state;
    }
}
