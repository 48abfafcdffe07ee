package gatelock.config;

import com.fasterxml.jackson.databind.JsonNode;
import gatelock.api.RoutePolicy;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Rejects versions whose retry policies contradict rule 2 (a non-retriable request is never executed twice), or whose
 * pools would defeat the deduplication of repeats. The decision engine enforces rule 2 in any case; a version that asks
 * for such retries is a mistake of its author. The check may also reject a version in which no request ever comes under
 * the offending policy.
 */
final class RetrySafetyValidator {
    private final ValidationContext context;
    private final ResolvedConfig config;

    /** Creates a validator that adds its diagnostics to the context. */
    RetrySafetyValidator(ValidationContext context) {
        this.context = context;
        this.config = context.config();
    }

    /**
     * Checks every retry policy that can apply to requests of a non-retriable route: the policy set by the route
     * itself, by a route it inherits from, by its pool, by a fallback pool, or by default.
     */
    void validateNonRetriable(ResolvedConfig.RouteDefinition route) {
        if (route.retryPolicy() != null) {
            ResolvedConfig.RouteDefinition declaring = route.declaringRoute("retries");
            String origin = declaring == route ? "directly" : "by inheritance from route " + declaring.name();
            requireSafePolicy(route, route.retryPolicy(), declaring.pointer() + "/retries", origin);
            return;
        }
        List<String> chain = config.fallbackChain(route.pool());
        boolean reachesDefault = chain.isEmpty();
        for (String pool : chain) {
            String policy = config.retryPolicyOf(pool);
            if (policy == null) {
                reachesDefault = true;
                continue;
            }
            String pointer = "/pools/" + ConfigDocument.escapePointerToken(pool) + "/retries";
            String origin = pool.equals(route.pool()) ? "by its pool " + pool : "by the fallback pool " + pool;
            requireSafePolicy(route, policy, pointer, origin);
        }
        String defaultPolicy = config.defaultValue("retries");
        if (reachesDefault && defaultPolicy != null) {
            requireSafePolicy(route, defaultPolicy, "/defaults/retries", "by default");
        }
    }

    private void requireSafePolicy(
            ResolvedConfig.RouteDefinition route, String policyName, String pointer, String origin) {
        JsonNode definition = config.definition("retries", policyName);
        if (definition.isMissingNode()
                || !ConfigCompiler.retryPolicy(policyName, definition).mayExecuteTwice()) {
            return;
        }
        context.error(
                "M-ONCE",
                pointer,
                "route " + route.name() + " is of the non-retriable class " + route.className()
                        + " and reaches the policy " + policyName + " " + origin
                        + ", which retries requests that may have been executed",
                "give the route a policy of its own with tries 1, or with after turned-away and not-connected only");
    }

    /**
     * Checks that repeats of a deduped class stay among the endpoints that recognize them; depending on the class,
     * these are all endpoints, those of one zone or those of one cell.
     */
    void validateDeduplicationGroup(ResolvedConfig.RouteDefinition route, RoutePolicy policy) {
        List<String> chain = config.fallbackChain(route.pool());
        boolean withinDedupScope =
                switch (policy.dedupScope()) {
                    case ALL -> true;
                    case ZONE -> context.deployment().zones().size() <= 1 || isWithinOneZone(chain);
                    case CELL -> chain.size() <= 1;
                };
        if (withinDedupScope) {
            return;
        }
        boolean byZone = policy.dedupScope() == RoutePolicy.DedupScope.ZONE;
        context.error(
                "M-GROUP",
                route.pointerOf("pool"),
                "route " + route.name() + " is of the deduped class " + route.className() + ", whose repeats one "
                        + (byZone ? "zone" : "cell") + " recognizes, and its pools "
                        + (chain.isEmpty() ? "(none is named: all endpoints)" : chain.toString())
                        + " reach more than one",
                byZone ? "give it pools of one zone, its fallbacks too" : "give its pool no fallback");
    }

    private boolean isWithinOneZone(List<String> pools) {
        Set<String> zones = new LinkedHashSet<>();
        for (String pool : pools) {
            JsonNode poolZones = config.definition("pools", pool).path("zones");
            if (poolZones.isMissingNode()) {
                return false;
            }
            poolZones.forEach(zone -> zones.add(zone.asText()));
        }
        return zones.size() == 1;
    }
}
