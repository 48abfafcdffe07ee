package gatelock.config;

import java.util.List;

/**
 * One route of a compiled version, with everything that it states, inherits or gets by default.
 *
 * @param position among the version's routes; of two that match a request, the earlier one is used
 * @param classIndex index of the request class whose policy applies
 * @param pool name of the pool; null: all endpoints
 * @param limits limits that a request must pass, all of them
 * @param retryPolicy the policy that the route itself names or inherits; null where its pool's or the default applies
 * @param sessionPolicy terms of WebSocket sessions; null: the route has none
 */
record RouteEntry(
        String name,
        int position,
        RouteMatch match,
        int classIndex,
        String pool,
        List<LimitPolicy> limits,
        RetryPolicy retryPolicy,
        SessionPolicy sessionPolicy) {}
