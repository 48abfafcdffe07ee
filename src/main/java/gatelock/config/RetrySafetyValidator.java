package gatelock.config;

import com.fasterxml.jackson.databind.JsonNode;
import gatelock.api.RoutePolicy;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Guards rule 2 (a non-retriable request is never executed twice) and the deduplication of repeats before anything is
 * sent. The decision engine would not break the rule in any case; a version that asks for it is a mistake of its author.
 * Could do harm only by rejecting a version that names such a policy on a way that no request takes.
 */
final class RetrySafetyValidator {
    private final ValidationContext context;
    private final ResolvedConfig config;

    RetrySafetyValidator(ValidationContext context) {
        this.context = context;
        this.config = context.config();
    }

    /**
     * Follows every way by which requests of a non-retriable route come under a retry policy: the route itself, the
     * routes from which it inherits, its pool, each fallback pool, the default.
     */
    void validateNonRetriable(ResolvedConfig.RouteDefinition route) {
        if (route.retryPolicy() != null) {
            ResolvedConfig.RouteDefinition declaring = route.declaringRoute("retries");
            String way = declaring == route ? "directly" : "by inheritance from route " + declaring.name();
            requireSafePolicy(route, route.retryPolicy(), declaring.pointer() + "/retries", way);
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
            String way = pool.equals(route.pool()) ? "by its pool " + pool : "by the fallback pool " + pool;
            requireSafePolicy(route, policy, pointer, way);
        }
        String defaultPolicy = config.defaultValue("retries");
        if (reachesDefault && defaultPolicy != null) {
            requireSafePolicy(route, defaultPolicy, "/defaults/retries", "by default");
        }
    }

    private void requireSafePolicy(
            ResolvedConfig.RouteDefinition route, String policyName, String pointer, String way) {
        JsonNode definition = config.definition("retries", policyName);
        if (definition.isMissingNode()
                || !ConfigCompiler.retryPolicy(policyName, definition).mayExecuteTwice()) {
            return;
        }
        context.error(
                "M-ONCE",
                pointer,
                "route " + route.name() + " is of the non-retriable class " + route.className()
                        + " and reaches the policy " + policyName + " " + way
                        + ", which retries requests that may have been executed",
                "give the route a policy of its own with tries 1, or with after turned-away and not-connected only");
    }

    /**
     * Repeats of a deduped class must reach the endpoints that recognize them, which are those of one zone or of one
     * cell.
     */
    void validateDeduplicationGroup(ResolvedConfig.RouteDefinition route, RoutePolicy policy) {
        List<String> chain = config.fallbackChain(route.pool());
        boolean withinGroup =
                switch (policy.dedupScope()) {
                    case ALL -> true;
                    case ZONE -> context.deployment().zones().size() <= 1 || isWithinOneZone(chain);
                    case CELL -> chain.size() <= 1;
                };
        if (withinGroup) {
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
