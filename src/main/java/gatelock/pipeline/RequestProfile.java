package gatelock.pipeline;

/**
 * The properties of a request that the decision engine uses, apart from its id and its deadline.
 *
 * @param route the index of its route
 * @param tenant the index of its tenant, or the number of tenants if the tenant is unknown
 * @param key the sticky key of the request, or {@link gatelock.api.DecisionEngine#NO_KEY}
 * @param costUs the announced cost as processing time on a standard core, in microseconds; 0 if no valid cost was
 *     announced
 */
public record RequestProfile(int route, int tenant, long key, long costUs) {}
