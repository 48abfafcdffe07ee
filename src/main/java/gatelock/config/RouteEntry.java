package gatelock.config;

import java.util.List;

/**
 * One route of a compiled version, with inherited and default values resolved.
 *
 * @param name the route's name, unique within the version
 * @param position position among the version's routes; the first route that matches a request is used
 * @param match conditions under which the route matches a request
 * @param classIndex index of the request class whose policy applies
 * @param pool name of the pool; null for all endpoints
 * @param limits limits, all of which must admit a request
 * @param retryPolicy the policy that the route itself names or inherits; null if its pool's or the default policy
 *     applies
 * @param sessionPolicy policy for WebSocket sessions; null if the route does not accept any
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
