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
 * Applies the active configuration version to requests: it determines a request's route, its limits, the endpoints it
 * may be sent to and the retries it may have. A request completes under the version that matched it. The counts of
 * limits and retry budgets carry over from one version to the next. Not thread-safe: all calls come from one thread.
 */
public final class Admission {
    /** The HTTP status for a path that an endpoint may interpret as a different path. */
    private static final int BAD_REQUEST = 400;
    /** The HTTP status for a request that matches no route, if the active version rejects such requests. */
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
     * @param maxDroppedShare the largest share of the reachable ready endpoints that one new version may make
     *     unreachable
     */
    public Admission(double maxDroppedShare) {
        changeGuard = new ConfigChangeGuard(maxDroppedShare);
    }

    /** The route that a request matches, together with the configuration version that defines it. */
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

        /** Returns the policy for WebSocket sessions on the route, or null if the route does not accept any. */
        public SessionPolicy sessionPolicy() {
            return route.sessionPolicy();
        }
    }

    /** A request bound to the version that matched it: its hold on the limits, and the constraints on its attempts. */
    public final class RoutedRequest implements RequestConstraints {
        private final MatchedRoute matchedRoute;
        /**
         * The pool that serves the request, chosen on arrival among the pools of the version that matched it; null if
         * all endpoints may serve it.
         */
        private final Pool pool;

        private final RetryPolicy retryPolicy;
        private final RetryBudget retryBudget;
        /** The outcome of admission, set once by {@link Admission#admit}. */
        private RequestLimiter.Decision decision;

        private RoutedRequest(long nowUs, MatchedRoute matchedRoute) {
            this.matchedRoute = matchedRoute;
            String configuredPool = matchedRoute.route.pool();
            pool = configuredPool == null ? null : membership.servingPool(nowUs, matchedRoute.config, configuredPool);
            retryPolicy = matchedRoute.config.retryPolicy(matchedRoute.route, pool == null ? null : pool.name());
            retryBudget = retryBudgets.computeIfAbsent(retryPolicy.name(), name -> new RetryBudget());
            retryBudget.recordRequest(nowUs);
        }

        /**
         * Returns whether the request was shed immediately; {@link #retryAfterUs} then tells when it may be retried.
         */
        public boolean isShed() {
            return decision.outcome() == RequestLimiter.Outcome.SHED;
        }

        /** Returns after how many microseconds a request that was shed may be retried, or 0 if it was not shed. */
        public long retryAfterUs() {
            return decision.retryAfterUs();
        }

        /** Returns whether the request is waiting in the queue of a limit. */
        public boolean isQueued() {
            return decision.ticket() != null && decision.ticket().isQueued();
        }

        /** Returns the name of the route. */
        public String routeName() {
            return matchedRoute.route.name();
        }

        /** Returns the version that matched the request. */
        public ConfigVersion version() {
            return matchedRoute.config.version();
        }

        /** Releases the request's hold on its limits, once it is answered or its client has disconnected. */
        public void release(long nowUs) {
            if (decision.ticket() != null) {
                decision.ticket().release(nowUs);
            }
        }

        /**
         * Returns whether the endpoint belongs to the pool that was chosen when the request arrived. The request keeps
         * that pool even if the pool's fallback has since taken over, or the active version no longer defines the pool.
         */
        @Override
        public boolean allowsEndpoint(String endpoint) {
            if (pool == null) {
                return true;
            }
            return matchedRoute.config == active
                    ? membership.contains(pool.name(), endpoint)
                    : membership.matches(pool, endpoint);
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

    /** Returns the active version, or null if none has been activated yet. */
    public CompiledConfig activeConfig() {
        return active;
    }

    /** Returns the route of the active version that matches a request, or null if there is none. */
    public MatchedRoute matchRoute(RequestAttributes request) {
        RouteEntry route = active == null ? null : active.findRoute(request);
        return route == null ? null : new MatchedRoute(active, route);
    }

    /**
     * Returns the HTTP status with which a request is rejected regardless of its class, or 0 if it is not rejected: 400
     * for a path that an endpoint may interpret as a different path, and 404 for a request that matches no route if the
     * version rejects such requests. Must only be called when there is an active version.
     *
     * @param request the request
     * @param matchedRoute what {@link #matchRoute} returned for it
     */
    public int rejectionStatus(RequestAttributes request, MatchedRoute matchedRoute) {
        if (matchedRoute == null) {
            unmatchedRequests++;
        }
        if (RouteMatch.isAmbiguousPath(request.path())) {
            return BAD_REQUEST;
        }
        return matchedRoute == null && active.rejectsUnmatched() ? NOT_FOUND : 0;
    }

    /**
     * Submits a completely received request to its limits: it is admitted, queued or shed immediately. If another
     * version has become active since the request was matched, the request continues under the version that matched it.
     *
     * @param nowUs the current time
     * @param matchedRoute the request's route
     * @param tenant index of the request's tenant
     * @param deadlineUs the request's deadline
     * @param request receives the outcome if the request is queued
     */
    public RoutedRequest admit(
            long nowUs, MatchedRoute matchedRoute, int tenant, long deadlineUs, QueuedRequest request) {
        changeGuard.recordRequest(nowUs, matchedRoute.route.name());
        RoutedRequest routed = new RoutedRequest(nowUs, matchedRoute);
        routed.decision = limiter.admit(
                nowUs, currentLimits(matchedRoute), matchedRoute.route.name(), tenant, deadlineUs, request);
        return routed;
    }

    /**
     * Returns the limits of a matched route with the values of the active version, which also apply to a request that
     * an earlier version matched. A limit that the active version does not have, or has with another scope, keeps its
     * values.
     */
    private List<LimitPolicy> currentLimits(MatchedRoute matchedRoute) {
        if (matchedRoute.config == active) {
            return matchedRoute.route.limits();
        }
        List<LimitPolicy> limits = new ArrayList<>();
        for (LimitPolicy matchedLimit : matchedRoute.route.limits()) {
            LimitPolicy current = active.limits().get(matchedLimit.name());
            boolean sameScope = current != null && current.scope() == matchedLimit.scope();
            limits.add(sameScope ? current : matchedLimit);
        }
        return limits;
    }

    /** Admits queued requests that now have capacity and sheds expired ones; must be called at {@link #nextDueUs}. */
    public void processQueues(long nowUs) {
        limiter.processQueues(nowUs);
    }

    /** Returns when {@link #processQueues} must be called next, or {@code Long.MAX_VALUE} if no request is queued. */
    public long nextDueUs(long nowUs) {
        return limiter.nextDueUs(nowUs);
    }

    /**
     * Applies a complete endpoint list, or a change to the current list, to the pools.
     *
     * @param nowUs the current time
     * @param updateType whether {@code endpoints} is a complete list or a change
     * @param endpoints the listed or changed endpoints
     * @param labels the labels of each endpoint that has labels, by endpoint name
     */
    public void updateEndpoints(
            long nowUs,
            DecisionEngine.EndpointUpdateType updateType,
            List<Endpoint> endpoints,
            Map<String, Map<String, String>> labels) {
        membership.updateEndpoints(nowUs, updateType, endpoints, labels);
    }

    /** Returns an error for each reason why replacing the active version with a valid one would be dangerous. */
    public List<Diagnostic> checkAgainstActive(long nowUs, CompiledConfig next) {
        return active == null ? List.of() : changeGuard.check(nowUs, active, next, membership);
    }

    /** Makes a version the active one. */
    public void activate(long nowUs, CompiledConfig next) {
        active = next;
        membership.activate(nowUs, next);
        limiter.applyPolicies(nowUs, next.limits());
        changeGuard.activate(next);
        // Requests matched by earlier versions still hold references to the budgets removed here.
        retryBudgets.keySet().retainAll(next.retryPolicyNames());
    }

    /**
     * Returns the values for the operator's status document: the numbers of queued requests, limit buckets and
     * unmatched requests, the requests in flight by limit, and for each pool its ready endpoints and the pool that
     * serves for it.
     */
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
        state.put("served by", membership.servingPool(nowUs, active, pool).name());
        return state;
    }
}
