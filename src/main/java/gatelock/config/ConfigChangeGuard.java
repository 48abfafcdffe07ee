package gatelock.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Compares a valid version with the active one and rejects changes that drop routes with traffic or too many endpoints.
 * Guards against a version made from an outdated or truncated copy, which is the most likely fault of a well-formed
 * configuration; the check works whichever part was lost. It also rejects such a change when an operator intends it;
 * the operator must then list the routes under {@code removes}, or change the pools in several steps.
 */
final class ConfigChangeGuard {
    /** The time constant with which the request count of a route decays. */
    private static final double TRAFFIC_TIME_CONSTANT_US = 60e6;
    /** A route has traffic if its decayed request count is at least this; about one request in the last minute. */
    private static final double MIN_TRAFFIC = 0.3;

    private final double maxDroppedShare;
    /**
     * Decaying request counts by route name. Its size is bounded by the routes of the active version and of the version
     * before it, whose requests may be recorded after the change.
     */
    private final Map<String, DecayingCounter> trafficByRoute = new HashMap<>();

    /**
     * Creates a guard.
     *
     * @param maxDroppedShare the largest share of the reachable ready endpoints that one new version may make
     *     unreachable
     */
    ConfigChangeGuard(double maxDroppedShare) {
        this.maxDroppedShare = maxDroppedShare;
    }

    /** Counts a request of a route. */
    void recordRequest(long nowUs, String route) {
        trafficByRoute
                .computeIfAbsent(route, name -> new DecayingCounter(TRAFFIC_TIME_CONSTANT_US))
                .increment(nowUs);
    }

    /** Discards the request counts of routes that the newly active version does not define. */
    void activate(CompiledConfig config) {
        trafficByRoute.keySet().removeIf(name -> !config.routesByName().containsKey(name));
    }

    /** Returns an error for each reason why replacing the active version with the next one would be dangerous. */
    List<Diagnostic> check(long nowUs, CompiledConfig active, CompiledConfig next, PoolMembership membership) {
        List<Diagnostic> diagnostics = new ArrayList<>();
        // Sorted by route name, so that the diagnostics have a fixed order.
        new TreeMap<>(trafficByRoute).forEach((route, traffic) -> {
            if (isDropped(route, active, next) && traffic.read(nowUs) >= MIN_TRAFFIC) {
                diagnostics.add(Diagnostic.newError(
                        "B-TRAFFIC",
                        "/routes",
                        "route " + route + " is gone, and had requests in the last minute",
                        "name it under removes, or put it back"));
            }
        });
        PoolMembership.ReachComparison reach = membership.compareReach(active, next);
        if (reach.dropped() > maxDroppedShare * reach.reached()) {
            diagnostics.add(Diagnostic.newError(
                    "B-UNITS",
                    "/pools",
                    reach.dropped() + " of " + reach.reached()
                            + " endpoints that routes reach would get no requests any more",
                    "do it in steps of less than " + Math.round(maxDroppedShare * 100) + "%, or correct the pools"));
        }
        return diagnostics;
    }

    private static boolean isDropped(String route, CompiledConfig active, CompiledConfig next) {
        return active.routesByName().containsKey(route)
                && !next.routesByName().containsKey(route)
                && !next.removedRoutes().contains(route);
    }
}
