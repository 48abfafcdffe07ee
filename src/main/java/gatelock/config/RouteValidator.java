package gatelock.config;

import gatelock.api.RoutePolicy;
import java.util.HashSet;
import java.util.Set;

/** Validates each route: its name, its parent, its references, and whether its settings suit its request class. */
final class RouteValidator {
    private final ValidationContext context;
    private final LimitValidator limits;
    private final RetrySafetyValidator retrySafety;

    /** Creates a validator that adds its diagnostics to the context. */
    RouteValidator(ValidationContext context) {
        this.context = context;
        this.limits = new LimitValidator(context);
        this.retrySafety = new RetrySafetyValidator(context);
    }

    /** Adds diagnostics about all routes. */
    void validate() {
        Set<String> names = new HashSet<>();
        for (ResolvedConfig.RouteDefinition route : context.config().routes()) {
            if (!names.add(route.name())) {
                context.error(
                        "M-NAME-TWICE",
                        route.pointer() + "/name",
                        "an earlier route is called " + route.name(),
                        "give each route a name of its own");
            }
            if (route.parentName() != null && route.parent() == null) {
                context.error(
                        "M-PARENT",
                        route.pointer() + "/inherits",
                        "no route before this one is called " + route.parentName(),
                        "name one that stands before it");
            }
            if (!route.isAbstract()) {
                validateReferences(route);
            }
        }
    }

    private void validateReferences(ResolvedConfig.RouteDefinition route) {
        Integer classIndex = requireClass(route);
        boolean poolDefined = route.pool() == null
                || context.requireDefined("pools", route.pool(), route.pointerOf("pool"), "M-POOL");
        boolean retryPolicyDefined = route.retryPolicy() == null
                || context.requireDefined("retries", route.retryPolicy(), route.pointerOf("retries"), "M-RETRIES");
        for (String limit : route.limits()) {
            boolean defined = context.requireDefined("limits", limit, route.pointerOf("limits"), "M-LIMIT");
            if (defined && classIndex != null) {
                limits.validateQueueWait(
                        route, limit, context.deployment().deadlinesUs().get(classIndex));
            }
        }
        if (classIndex == null) {
            return;
        }
        RoutePolicy policy = context.deployment().routePolicies().get(classIndex);
        validateMethods(route, policy);
        validateSessions(route, policy);
        if (poolDefined && retryPolicyDefined && policy.retrySafety() == RoutePolicy.RetrySafety.NON_RETRIABLE) {
            retrySafety.validateNonRetriable(route);
        }
        if (poolDefined && policy.retrySafety() == RoutePolicy.RetrySafety.DEDUPED) {
            retrySafety.validateDeduplicationGroup(route, policy);
        }
    }

    /** Returns the index of the route's class; if the deployment does not have it, adds an error and returns null. */
    private Integer requireClass(ResolvedConfig.RouteDefinition route) {
        String className = route.className();
        Integer classIndex =
                className == null ? null : context.deployment().classIndices().get(className);
        if (classIndex == null) {
            context.error(
                    "M-CLASS",
                    route.pointerOf("class"),
                    className == null ? "it has no class" : "the deployment has no class " + className,
                    "name one of "
                            + String.join(
                                    ", ", context.deployment().classIndices().keySet()));
        }
        return classIndex;
    }

    /** Adds an error if the route excludes the only method that requests of its class use, so that it never matches. */
    private void validateMethods(ResolvedConfig.RouteDefinition route, RoutePolicy policy) {
        String method = policy.retrySafety() == RoutePolicy.RetrySafety.RETRIABLE ? "GET" : "POST";
        Set<String> methods = route.match().methods();
        if (!methods.isEmpty() && !methods.contains(method)) {
            context.error(
                    "M-METHOD",
                    route.pointerOf("methods"),
                    "requests of class " + route.className() + " come by " + method
                            + " only, so no request of this route is ever accepted",
                    "name " + method + ", or another class");
        }
    }

    private void validateSessions(ResolvedConfig.RouteDefinition route, RoutePolicy policy) {
        if (route.sessionPolicy() != null && policy.retrySafety() != RoutePolicy.RetrySafety.RETRIABLE) {
            context.error(
                    "M-SESSION",
                    route.pointerOf("sessions"),
                    "sessions are opened by GET, and requests of class " + route.className() + " come by POST",
                    "give the route a retriable class, or take sessions out");
        }
    }
}
