package gatelock.api;

import java.util.List;

/**
 * What a relay is told of its deployment when it starts; {@code number}: its own among all, -1: not told;
 * {@code openingPrice}: of a new connection to an endpoint, as a share of a request's worth; {@code keptUs}: how long
 * one is kept without a request.
 */
public record RelaySettings(
        long seed,
        int relays,
        int number,
        List<RoutePolicy> routes,
        List<Tenant> tenants,
        double overShareValue,
        int attemptLimit,
        boolean mayCancel,
        boolean pausesHeard,
        long longestPauseUs,
        boolean mustAskForList,
        double coldFrom,
        long warmWithinUs,
        double coldMultiple,
        long coldWindowUs,
        double openingPrice,
        long keptUs,
        RolloutPolicy rollout) {

    /** A tenant and the requests a second, over all relays, within its share. */
    public record Tenant(double quotaPerS) {}
}
