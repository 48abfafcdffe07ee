package gatelock.api;

import java.util.List;

/**
 * The deployment's settings as a relay knows them when it starts.
 *
 * @param seed the seed of the relay's random generator
 * @param relayCount the number of relays in the deployment
 * @param relayIndex this relay's index among them, from 0; -1 if it is not known
 * @param routes the policies of the routes, by index
 * @param tenants the tenants, by index
 * @param overQuotaFactor the factor that lowers the value of a request while its tenant exceeds its quota
 * @param maxAttempts how many attempts a request may have, including the first
 * @param cancellationSupported whether an attempt can be cancelled after it was sent
 * @param retryAfterHonored whether clients honor a Retry-After on a shed request
 * @param maxRetryAfterUs the longest Retry-After that clients honor, in microseconds
 * @param mustSubscribeToEndpoints whether the relay has to subscribe to the endpoint list to receive updates
 * @param slowStartCapacityShare the share of its capacity that an endpoint has just after its start
 * @param slowStartUs the time in which an endpoint reaches its full capacity, in microseconds
 * @param slowStartOverloadFactor the multiple of its capacity at which an endpoint that is warming up fails
 * @param slowStartOverloadWindowUs the window over which that load is measured, in microseconds
 * @param connectionCost the cost of a new connection to an endpoint, as a share of the weight of a request
 * @param idleConnectionUs how long a connection is kept idle, in microseconds
 * @param rollout how builds are released
 */
public record RelaySettings(
        long seed,
        int relayCount,
        int relayIndex,
        List<RoutePolicy> routes,
        List<Tenant> tenants,
        double overQuotaFactor,
        int maxAttempts,
        boolean cancellationSupported,
        boolean retryAfterHonored,
        long maxRetryAfterUs,
        boolean mustSubscribeToEndpoints,
        double slowStartCapacityShare,
        long slowStartUs,
        double slowStartOverloadFactor,
        long slowStartOverloadWindowUs,
        double connectionCost,
        long idleConnectionUs,
        RolloutPolicy rollout) {

    /**
     * A tenant.
     *
     * @param quotaPerS the requests per second, over all relays, that are within its quota
     */
    public record Tenant(double quotaPerS) {}
}
