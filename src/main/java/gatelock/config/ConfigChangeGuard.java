package gatelock.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks a version that is correct by itself against the active one. Guards against a version made from an outdated or
 * truncated copy, which is the most likely fault of a configuration that is well formed. Should hold whatever was lost;
 * harms an operator who means it, who lists the routes under {@code removes} or changes the pools in several steps.
 */
final class ConfigChangeGuard {
    /** How long the requests of a route are remembered. */
    private static final double TRAFFIC_TIME_CONSTANT_US = 60e6;
    /** The decayed count from which a route has traffic: about one request in the last minute. */
    private static final double MIN_TRAFFIC = 0.3;

    private final double maxDroppedShare;
    /** By route; bounded by the routes of the active version and those that were matched under the one before it. */
    private final Map<String, DecayingCounter> trafficByRoute = new HashMap<>();

    /** Creates a guard; {@code maxDroppedShare} of the reached ready endpoints is what one version may stop using. */
    ConfigChangeGuard(double maxDroppedShare) {
        this.maxDroppedShare = maxDroppedShare;
    }

    void recordRequest(long nowUs, String route) {
        trafficByRoute
                .computeIfAbsent(route, name -> new DecayingCounter(TRAFFIC_TIME_CONSTANT_US))
                .increment(nowUs);
    }

    /** Forgets the traffic of routes that the newly active version does not have. */
    void activate(CompiledConfig config) {
        trafficByRoute.keySet().removeIf(name -> !config.routesByName().containsKey(name));
    }

    /** Returns an error for each danger of replacing the active version by the next one. */
    List<Diagnostic> check(long nowUs, CompiledConfig active, CompiledConfig next, PoolMembership membership) {
        List<Diagnostic> findings = new ArrayList<>();
        // Sorted, so that findings come in a fixed order.
        new TreeMap<>(trafficByRoute).forEach((route, traffic) -> {
            if (isDropped(route, active, next) && traffic.read(nowUs) >= MIN_TRAFFIC) {
                findings.add(Diagnostic.newError(
                        "B-TRAFFIC",
                        "/routes",
                        "route " + route + " is gone, and had requests in the last minute",
                        "name it under removes, or put it back"));
            }
        });
        PoolMembership.ReachComparison reach = membership.compareReach(active, next);
        if (reach.dropped() > maxDroppedShare * reach.reached()) {
            findings.add(Diagnostic.newError(
                    "B-UNITS",
                    "/pools",
                    reach.dropped() + " of " + reach.reached()
                            + " endpoints that routes reach would get no requests any more",
                    "do it in steps of less than " + Math.round(maxDroppedShare * 100) + "%, or correct the pools"));
        }
        return findings;
    }

    private static boolean isDropped(String route, CompiledConfig active, CompiledConfig next) {
        return active.routesByName().containsKey(route)
                && !next.routesByName().containsKey(route)
                && !next.removedRoutes().contains(route);
    }
}
