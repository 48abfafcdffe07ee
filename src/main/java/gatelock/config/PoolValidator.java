package gatelock.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Validates the definitions of pools: their selection criteria, retry policies and fallbacks. */
final class PoolValidator {
    private final ValidationContext context;

    /** Creates a validator that adds its diagnostics to the context. */
    PoolValidator(ValidationContext context) {
        this.context = context;
    }

    /** Adds diagnostics about the definitions of all pools. */
    void validate() {
        for (Map.Entry<String, JsonNode> pool :
                context.config().section("pools").properties()) {
            validate(pool.getKey(), pool.getValue());
        }
    }

    private void validate(String name, JsonNode pool) {
        String pointer = "/pools/" + ConfigDocument.escapePointerToken(name);
        validateSelection(pool, "zones", context.deployment().zones(), pointer);
        validateSelection(pool, "kinds", context.deployment().instanceTypes(), pointer);
        if (pool.has("retries")) {
            context.requireDefined("retries", pool.get("retries").asText(), pointer + "/retries", "M-RETRIES");
        }
        if (pool.has("fallback")) {
            validateFallback(name, pool, pointer + "/fallback");
        } else if (pool.has("leastShare")) {
            context.warning(
                    "M-LEAST",
                    pointer + "/leastShare",
                    "a least share without a fallback does nothing",
                    "name a fallback, or take it out");
        }
    }

    private void validateFallback(String name, JsonNode pool, String pointer) {
        context.requireDefined("pools", pool.get("fallback").asText(), pointer, "M-FALLBACK");
        List<String> cycle = findCycle(name);
        if (!cycle.isEmpty()) {
            context.error(
                    "M-FALLBACK-LOOP",
                    pointer,
                    "its fallbacks lead back to it: " + String.join(" > ", cycle),
                    "let one of them have no fallback, or another");
        }
    }

    private void validateSelection(JsonNode pool, String field, List<String> known, String pointer) {
        if (!pool.has(field)) {
            return;
        }
        int knownNames = 0;
        for (int i = 0; i < pool.get(field).size(); i++) {
            String name = pool.get(field).get(i).asText();
            if (known.contains(name)) {
                knownNames++;
            } else {
                context.warning(
                        "M-UNKNOWN",
                        pointer + "/" + field + "/" + i,
                        "the deployment has no " + name + " among its " + field,
                        "name one of " + String.join(", ", known));
            }
        }
        if (knownNames == 0) {
            context.error(
                    "M-POOL-EMPTY",
                    pointer + "/" + field,
                    "no endpoint can ever be in this pool",
                    "name one of " + String.join(", ", known));
        }
    }

    /**
     * Returns the cycle of fallbacks from a pool back to itself, with the pool first and last; empty if there is none.
     */
    private List<String> findCycle(String pool) {
        List<String> path = new ArrayList<>(List.of(pool));
        Set<String> visited = new HashSet<>();
        String current = context.config().fallbackOf(pool);
        while (current != null && visited.add(current)) {
            path.add(current);
            if (current.equals(pool)) {
                return path;
            }
            current = context.config().fallbackOf(current);
        }
        return List.of();
    }
}
