package gatelock.api;

import java.util.List;

/**
 * What a relay knows of its deployment when it starts.
 *
 * @param seed the seed of all of the relay's random draws
 * @param relays the number of relays in the deployment
 * @param number this relay's index among them, from 0; -1 if it is not known
 * @param routes the policies of the routes, by index
 * @param tenants the tenants, by index
 * @param overShareValue the factor by which a request is worth less while its tenant is above its quota
 * @param attemptLimit how many attempts a request may have, including the first
 * @param mayCancel whether an attempt can be cancelled after it was sent
 * @param pausesHeard whether clients heed a Retry-After on a shed request
 * @param longestPauseUs the longest Retry-After that clients heed, in microseconds
 * @param mustAskForList whether the relay has to subscribe to the endpoint list to receive updates
 * @param coldFrom the share of its capacity that an endpoint has just after its start
 * @param warmWithinUs the time in which its capacity rises to the whole, in microseconds
 * @param coldMultiple the multiple of its capacity at which an endpoint that is warming up fails
 * @param coldWindowUs the window over which that load is measured, in microseconds
 * @param openingPrice the cost of a new connection to an endpoint, as a share of the weight of a request
 * @param keptUs how long a connection is kept idle, in microseconds
 * @param rollout how builds are released
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

    /**
     * A tenant.
     *
     * @param quotaPerS the requests per second, over all relays, that are within its quota
     */
    public record Tenant(double quotaPerS) {}
}
