package gatelock.decision;

import gatelock.api.RoutePolicy;
import java.util.List;

/**
 * What this relay has measured of the requests' work and times. Work is announced, as microseconds on a standard core;
 * slowness is time divided by announced work. Slowness by machine kind and by route is that of endpoints not canary.
 */
final class LatencyEstimates {
    /** Stands for all machine kinds together. */
    static final int ALL_INSTANCE_TYPES = -1;

    /** Measures of an endpoint's slowness fade over this time. */
    static final double SLOWNESS_TIME_CONSTANT_US = 4.0 * DecisionClock.SECOND_US;

    /** A mean of few values is shrunk towards a common one, which weighs as much as this many values. */
    static final double PRIOR_WEIGHT = 4;

    private static final double COST_TIME_CONSTANT_US = 20.0 * DecisionClock.SECOND_US;
    private static final double ROUTE_TIME_CONSTANT_US = 6.0 * DecisionClock.SECOND_US;

    /** Assumed while nothing was measured. */
    private static final double DEFAULT_SLOWNESS = 1.5;

    private static final double DEFAULT_COST_US = DecisionClock.SECOND_US / 5.0;

    /** Assumed work of a route's request, as a part of its latency objective. */
    private static final double DEFAULT_COST_DIVISOR = 8.0;

    /** A route is exceptional if it needs this many times the slowness of the quickest one. */
    private static final double SLOW_ROUTE_FACTOR = 2.5;

    private final List<RoutePolicy> routes;
    private final DecisionClock clock;
    private final DecayingSum[] routeCosts;
    private final DecayingSum allCosts = new DecayingSum(COST_TIME_CONSTANT_US);
    private final DecayingSum[] routeSlowness;
    private final DecayingMeanByInstanceType slownessByInstanceType =
            new DecayingMeanByInstanceType(SLOWNESS_TIME_CONSTANT_US);

    LatencyEstimates(List<RoutePolicy> routes, DecisionClock clock) {
        this.routes = routes;
        this.clock = clock;
        this.routeCosts = DecayingSum.arrayOf(routes.size(), COST_TIME_CONSTANT_US);
        this.routeSlowness = DecayingSum.arrayOf(routes.size(), ROUTE_TIME_CONSTANT_US);
    }

    void recordCost(int route, long costUs) {
        routeCosts[route].add(clock.nowUs(), (double) costUs);
        allCosts.add(clock.nowUs(), (double) costUs);
    }

    void recordSlowness(int instanceType, double slowness) {
        slownessByInstanceType.add(clock.nowUs(), instanceType, slowness);
    }

    void recordRouteSlowness(int route, double slowness) {
        routeSlowness[route].add(clock.nowUs(), slowness);
    }

    /** The work of a request of this route that announced none. */
    long costUs(int route) {
        double fallbackUs = routes.get(route).latencyObjectiveUs() / DEFAULT_COST_DIVISOR;
        return Math.max(1, (long) routeCosts[route].mean(clock.nowUs(), fallbackUs));
    }

    /** The mean work of a request of any route. */
    double meanCostUs() {
        return allCosts.mean(clock.nowUs(), DEFAULT_COST_US);
    }

    /** The mean slowness of one machine kind, shrunk towards that of all, or of {@link #ALL_INSTANCE_TYPES}. */
    double slownessOfInstanceType(int instanceType) {
        return slownessByInstanceType.mean(clock.nowUs(), instanceType, DEFAULT_SLOWNESS);
    }

    /** The time that a request of this route takes on average, in microseconds. */
    double expectedLatencyUs(int route) {
        return slownessOfRoute(route) * routeCosts[route].mean(clock.nowUs(), meanCostUs());
    }

    /** How many times the slowness of the quickest route this one has on any endpoint; 1 unless exceptional. */
    double routeFactor(int route) {
        double slowness = slownessOfRoute(route);
        double quickest = Double.POSITIVE_INFINITY;
        for (int other = 0; other < routeSlowness.length; other++) {
            quickest = Math.min(quickest, slownessOfRoute(other));
        }
        double factor = slowness / quickest;
        return factor > SLOW_ROUTE_FACTOR ? factor : 1;
    }

    /**
     * Whether a route is late at every endpoint. Guards against one route that waits at every endpoint, whatever for: its
     * requests end too late, those of another route in time. It gets few places, as each holds one that others need.
     * Could harm where a route's requests are still of worth when late.
     */
    boolean isLateEverywhere(int route) {
        return expectedLatencyUs(route) > routes.get(route).latencyObjectiveUs() && routeFactor(route) > 1;
    }

    /** The expected latency of the route that is best off, as a share of its objective. */
    double bestShareOfObjective() {
        double best = Double.POSITIVE_INFINITY;
        for (int route = 0; route < routeSlowness.length; route++) {
            best = Math.min(best, expectedLatencyUs(route) / routes.get(route).latencyObjectiveUs());
        }
        return best;
    }

    private double slownessOfRoute(int route) {
        return routeSlowness[route].shrunkMean(clock.nowUs(), slownessOfInstanceType(ALL_INSTANCE_TYPES), PRIOR_WEIGHT);
    }
}
