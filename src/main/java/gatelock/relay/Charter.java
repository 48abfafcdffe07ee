package gatelock.relay;

import java.util.List;

/** What a relay is told of its deployment when it starts. */
public record Charter(long seed, int relays, List<Route> routes, List<Tenant> tenants,
                      double overShareValue, int tryLimit, boolean mayCancel, boolean pausesHeard,
                      long longestPauseUs, boolean mustAskForList, double coldFrom, long warmWithinUs,
                      double coldMultiple, long coldWindowUs, Rollout rollout) {

    /** A tenant and the reqs a second, over all relays, within its share. */
    public record Tenant(double quotaPerS) {
    }
}
