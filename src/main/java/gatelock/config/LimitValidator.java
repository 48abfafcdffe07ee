package gatelock.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;

/**
 * Validates the definitions of limits, and compares the maximum queue wait with the deadlines of routes that use them.
 */
final class LimitValidator {
    private static final long US_PER_MS = 1000;

    private final ValidationContext context;

    /** Creates a validator that adds its diagnostics to the context. */
    LimitValidator(ValidationContext context) {
        this.context = context;
    }

    /** Adds diagnostics about the definitions of all limits. */
    void validateDefinitions() {
        for (Map.Entry<String, JsonNode> limit :
                context.config().section("limits").properties()) {
            validateDefinition(pointer(limit.getKey()), limit.getValue());
        }
    }

    private void validateDefinition(String pointer, JsonNode limit) {
        for (String field : List.of("ratePerS", "inFlight")) {
            if (limit.has(field) && limit.get(field).asDouble() <= 0) {
                context.error(
                        "M-ZERO",
                        pointer + "/" + field,
                        "a limit of zero sheds every request",
                        "set it above 0, or remove the routes that use the limit");
            }
        }
        if (limit.has("burst") && limit.get("burst").asDouble() < 1) {
            context.error(
                    "M-ZERO",
                    pointer + "/burst",
                    "with a burst below 1 no request is ever admitted",
                    "set it to 1 or more");
        }
        if (limit.has("burst") && !limit.has("ratePerS")) {
            context.warning(
                    "M-BURST",
                    pointer + "/burst",
                    "a burst without a rate does nothing",
                    "give it ratePerS, or take it out");
        }
    }

    /**
     * Adds an error if requests of the route could wait in the limit's queue until their deadline.
     *
     * @param deadlineUs the deadline of the route's requests in microseconds; 0 if they have none
     */
    void validateQueueWait(ResolvedConfig.RouteDefinition route, String limit, long deadlineUs) {
        JsonNode queue = context.config().definition("limits", limit).path("queue");
        double waitMs = queue.path("waitMs").asDouble(0);
        if (deadlineUs > 0 && waitMs * US_PER_MS >= deadlineUs) {
            context.error(
                    "M-WAIT",
                    pointer(limit) + "/queue/waitMs",
                    "requests of route " + route.name() + " would wait for up to " + (long) waitMs
                            + " ms, and their deadline is " + deadlineUs / US_PER_MS + " ms",
                    "set a shorter wait, or give that route another limit");
        }
    }

    private static String pointer(String limit) {
        return "/limits/" + ConfigDocument.escapePointerToken(limit);
    }
}
