package gatelock.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Validates the semantics of a document that satisfies the schema: references to undefined names, parts that never take
 * effect, and settings that would break a guarantee. Each concern has its own class; diagnostics are reported in the
 * order in which these classes run.
 */
final class ConfigValidator {
    /** The sections whose unused definitions are reported, each with the term for one definition. */
    private static final List<Map.Entry<String, String>> SECTIONS =
            List.of(Map.entry("pools", "pool"), Map.entry("limits", "limit"), Map.entry("retries", "policy"));

    private ConfigValidator() {}

    /** Validates a document and adds all diagnostics to {@code diagnostics}. */
    static void validate(ResolvedConfig config, DeploymentContext deployment, List<Diagnostic> diagnostics) {
        ValidationContext context = new ValidationContext(config, deployment, diagnostics);
        validateDefaults(context);
        new PoolValidator(context).validate();
        new LimitValidator(context).validateDefinitions();
        new RouteValidator(context).validate();
        new ShadowedRouteValidator(context).validate();
        validateRemovedRoutes(context);
        validateUsage(context);
    }

    private static void validateDefaults(ValidationContext context) {
        JsonNode defaults = context.config().section("defaults");
        if (defaults.has("pool")) {
            context.requireDefined("pools", defaults.get("pool").asText(), "/defaults/pool", "M-POOL");
        }
        if (defaults.has("retries")) {
            context.requireDefined("retries", defaults.get("retries").asText(), "/defaults/retries", "M-RETRIES");
        }
        JsonNode limits = defaults.path("limits");
        for (int i = 0; i < limits.size(); i++) {
            context.requireDefined("limits", limits.get(i).asText(), "/defaults/limits/" + i, "M-LIMIT");
        }
    }

    private static void validateRemovedRoutes(ValidationContext context) {
        JsonNode removes = context.config().section("removes");
        for (int i = 0; i < removes.size(); i++) {
            ResolvedConfig.RouteDefinition route =
                    context.config().route(removes.get(i).asText());
            if (route != null && !route.isAbstract()) {
                context.error(
                        "M-REMOVES",
                        "/removes/" + i,
                        "route " + route.name() + " is listed as removed, and is defined",
                        "take it out of removes, or out of routes");
            }
        }
    }

    private static void validateUsage(ValidationContext context) {
        for (Map.Entry<String, String> section : SECTIONS) {
            Iterator<String> names = context.config().section(section.getKey()).fieldNames();
            while (names.hasNext()) {
                String name = names.next();
                if (!context.isUsed(section.getKey(), name)) {
                    context.warning(
                            "M-UNUSED",
                            "/" + section.getKey() + "/" + ConfigDocument.escapePointerToken(name),
                            "no route uses this " + section.getValue(),
                            "take it out, or name it where it was meant");
                }
            }
        }
    }
}
