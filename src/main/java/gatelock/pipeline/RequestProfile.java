package gatelock.pipeline;

/**
 * What the decision engine learns of a request, apart from its id and its deadline.
 *
 * @param route the index of its route
 * @param tenant the index of its tenant, or the number of tenants if it is not known
 * @param key the subject of the request, or {@link gatelock.api.DecisionEngine#NO_KEY}
 * @param costUs the announced cost as processing time on a standard core, in microseconds; 0 if none was announced
 */
public record RequestProfile(int route, int tenant, long key, long costUs) {}
