package gatelock.decision;

import gatelock.api.RoutePolicy;
import java.util.List;

/**
 * This relay's measurements of the cost and latency of requests. Cost is announced, in microseconds on a standard core;
 * slowness is latency divided by announced cost. Slowness by instance type and by route is measured at endpoints not
 * running the canary.
 */
final class LatencyEstimates {
    /** Represents all instance types together. */
    static final int ALL_INSTANCE_TYPES = -1;

    /** The time constant with which measurements of an endpoint's slowness decay. */
    static final double SLOWNESS_TIME_CONSTANT_US = 4.0 * DecisionClock.SECOND_US;

    /** The number of values that the common mean weighs as much as when a mean of few values is shrunk towards it. */
    static final double PRIOR_WEIGHT = 4;

    private static final double COST_TIME_CONSTANT_US = 20.0 * DecisionClock.SECOND_US;
    private static final double ROUTE_TIME_CONSTANT_US = 6.0 * DecisionClock.SECOND_US;

    /** The slowness that is assumed before anything was measured. */
    private static final double DEFAULT_SLOWNESS = 1.5;

    private static final double DEFAULT_COST_US = DecisionClock.SECOND_US / 5.0;

    /**
     * The cost of a route's request that is assumed before any was measured is its latency objective divided by this.
     */
    private static final double DEFAULT_COST_DIVISOR = 8.0;

    /** A route counts as slow if its slowness is above this multiple of the fastest route's. */
    private static final double SLOW_ROUTE_FACTOR = 2.5;

    private final List<RoutePolicy> routes;
    private final DecisionClock clock;
    private final DecayingSum[] routeCosts;
    private final DecayingSum allCosts = new DecayingSum(COST_TIME_CONSTANT_US);
    private final DecayingSum[] routeSlowness;
    private final DecayingMeanByInstanceType slownessByInstanceType =
            new DecayingMeanByInstanceType(SLOWNESS_TIME_CONSTANT_US);

    /** Creates estimates without measurements. */
    LatencyEstimates(List<RoutePolicy> routes, DecisionClock clock) {
        this.routes = routes;
        this.clock = clock;
        this.routeCosts = DecayingSum.arrayOf(routes.size(), COST_TIME_CONSTANT_US);
        this.routeSlowness = DecayingSum.arrayOf(routes.size(), ROUTE_TIME_CONSTANT_US);
    }

    /** Records the cost of a completed request. */
    void recordCost(int route, long costUs) {
        routeCosts[route].add(clock.nowUs(), (double) costUs);
        allCosts.add(clock.nowUs(), (double) costUs);
    }

    /** Records the slowness of an answer from an endpoint of this instance type. */
    void recordSlowness(int instanceType, double slowness) {
        slownessByInstanceType.add(clock.nowUs(), instanceType, slowness);
    }

    /** Records the slowness of an attempt on this route. */
    void recordRouteSlowness(int route, double slowness) {
        routeSlowness[route].add(clock.nowUs(), slowness);
    }

    /** Returns the estimated cost of a request of this route that announced none. */
    long costUs(int route) {
        double fallbackUs = routes.get(route).latencyObjectiveUs() / DEFAULT_COST_DIVISOR;
        return Math.max(1, (long) routeCosts[route].mean(clock.nowUs(), fallbackUs));
    }

    /** Returns the mean cost of a request of any route. */
    double meanCostUs() {
        return allCosts.mean(clock.nowUs(), DEFAULT_COST_US);
    }

    /**
     * Returns the mean slowness of one instance type, shrunk towards the overall mean, or the overall mean for {@link
     * #ALL_INSTANCE_TYPES}.
     */
    double slownessOfInstanceType(int instanceType) {
        return slownessByInstanceType.mean(clock.nowUs(), instanceType, DEFAULT_SLOWNESS);
    }

    /** Returns the mean latency of a request of this route, in microseconds. */
    double expectedLatencyUs(int route) {
        return slownessOfRoute(route) * routeCosts[route].mean(clock.nowUs(), meanCostUs());
    }

    /**
     * Returns the slowness of this route as a multiple of the fastest route's, on any endpoint; 1 unless the route
     * counts as slow.
     */
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
     * Whether a route is late at every endpoint: its expected latency is above its objective while another route is
     * much faster. Guards against one route whose requests wait at every endpoint, for whatever reason. Such a route
     * may have few requests in flight, as each takes capacity from other routes. Can do harm if late answers are still
     * useful on this route.
     */
    boolean isLateEverywhere(int route) {
        return expectedLatencyUs(route) > routes.get(route).latencyObjectiveUs() && routeFactor(route) > 1;
    }

    /** Returns the lowest expected latency of all routes, each as a share of its route's objective. */
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
