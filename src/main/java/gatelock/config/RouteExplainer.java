package gatelock.config;

import gatelock.api.AttemptResult;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Explains how a version handles a request, for the command {@code gatelock explain}. */
public final class RouteExplainer {
    private static final double US_PER_S = 1e6;
    private static final long US_PER_MS = 1000;
    /** Whole numbers below this bound are represented exactly by a double and are printed without a fraction. */
    private static final double MAX_WHOLE_NUMBER = 1e15;

    private static final String ALL_ENDPOINTS = "all units";

    private RouteExplainer() {}

    /**
     * Explains how a request is handled. The keys and texts are the output of the command and must not change.
     *
     * @return in this order {@code route}, {@code class}, {@code pools}, {@code limits} (a list) and {@code tries} (an
     *     object by pool), or only {@code answer} if no route matches the request
     */
    public static Map<String, Object> explain(
            CompiledConfig config, DeploymentContext deployment, RequestAttributes request) {
        Map<String, Object> explanation = new LinkedHashMap<>();
        RouteEntry route = RouteMatch.isAmbiguousPath(request.path()) ? null : config.findRoute(request);
        if (route == null) {
            explanation.put("answer", answerWithoutRoute(config, request));
            return explanation;
        }
        List<String> pools = config.fallbackChain(route.pool());
        explanation.put("route", route.name());
        explanation.put("class", deployment.className(route.classIndex()));
        explanation.put("pools", pools.isEmpty() ? ALL_ENDPOINTS : String.join(", then ", pools));
        List<String> limits = new ArrayList<>();
        route.limits().forEach(limit -> limits.add(describe(limit)));
        explanation.put("limits", limits);
        Map<String, String> retryPolicies = new LinkedHashMap<>();
        if (pools.isEmpty()) {
            retryPolicies.put(ALL_ENDPOINTS, describe(config.retryPolicy(route, null)));
        }
        pools.forEach(pool -> retryPolicies.put(pool, describe(config.retryPolicy(route, pool))));
        explanation.put("tries", retryPolicies);
        return explanation;
    }

    private static String answerWithoutRoute(CompiledConfig config, RequestAttributes request) {
        if (RouteMatch.isAmbiguousPath(request.path())) {
            return "400: the path is ambiguous, a unit may interpret it differently";
        }
        return config.rejectsUnmatched()
                ? "404: no route matches the request"
                : "no route matches the request: it is routed by its first path segment, to all units, without limits";
    }

    /** Returns a human-readable description of a limit. */
    static String describe(LimitPolicy limit) {
        StringBuilder text = new StringBuilder(limit.name())
                .append(": per ")
                .append(limit.scope().name().toLowerCase(Locale.ROOT).replace('_', ' '));
        if (limit.hasRate()) {
            text.append(", ").append(formatNumber(limit.ratePerUs() * US_PER_S)).append(" reqs a second, ");
            text.append(formatNumber(limit.burst())).append(" at once");
        }
        if (limit.maxInFlight() < Integer.MAX_VALUE) {
            text.append(", ").append(limit.maxInFlight()).append(" in flight");
        }
        if (limit.maxQueueLength() > 0) {
            text.append(", ").append(limit.maxQueueLength()).append(" may wait for ");
            text.append(limit.maxWaitUs() / US_PER_MS).append(" ms");
        } else {
            text.append(", none waits");
        }
        return text.toString();
    }

    /** Returns a human-readable description of a retry policy. */
    static String describe(RetryPolicy policy) {
        if (policy.equals(RetryPolicy.UNRESTRICTED)) {
            return "no retry policy, the decision engine decides";
        }
        StringBuilder text = new StringBuilder(policy.name() + ": " + policy.maxAttempts() + " attempts");
        if (policy.maxAttempts() != 1) {
            text.append(", retries after ").append(resultWords(policy));
            text.append(" up to ").append(formatNumber(policy.budgetRatio())).append(" of reqs");
        }
        if (policy.attemptTimeoutUs() > 0) {
            text.append(", each attempt up to ")
                    .append(policy.attemptTimeoutUs() / US_PER_MS)
                    .append(" ms");
        }
        return text.toString();
    }

    /** Returns the retryable results as a version's text names them, without {@code NOT_SENT}, which always applies. */
    private static List<String> resultWords(RetryPolicy policy) {
        List<String> words = new ArrayList<>();
        for (AttemptResult result : policy.retryableResults()) {
            if (result != AttemptResult.NOT_SENT) {
                words.add(result.name().toLowerCase(Locale.ROOT).replace('_', '-'));
            }
        }
        words.sort(null);
        return words;
    }

    private static String formatNumber(double value) {
        boolean whole = value == Math.rint(value) && Math.abs(value) < MAX_WHOLE_NUMBER;
        return whole ? Long.toString((long) value) : Double.toString(value);
    }
}
