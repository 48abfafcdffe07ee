package gatelock.config;

import com.fasterxml.jackson.databind.JsonNode;
import gatelock.api.AttemptResult;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Compiles the text of a configuration version to a {@link CompiledConfig}, or reports everything that is wrong with
 * it. Stateless; may run on any thread.
 */
public final class ConfigCompiler {
    /** The maximum number of diagnostics to report; further diagnostics are only counted. */
    private static final int MAX_REPORTED_FINDINGS = 200;

    private static final double US_PER_S = 1e6;
    private static final double US_PER_MS = 1000;

    private final DeploymentContext deployment;

    /** Creates a compiler that checks and compiles versions for the given deployment. */
    public ConfigCompiler(DeploymentContext deployment) {
        this.deployment = deployment;
    }

    /**
     * The result of a compilation.
     *
     * @param config the compiled version, or null if a diagnostic is an error
     * @param diagnostics errors and warnings, with their locations
     */
    public record Result(CompiledConfig config, List<Diagnostic> diagnostics) {
        /** Returns whether the version compiled without errors. */
        public boolean isValid() {
            return config != null;
        }
    }

    /** The result for a version on which the compiler itself failed with an exception. */
    public static final Result FAILED = new Result(
            null,
            List.of(Diagnostic.newError(
                    "G-INTERNAL", "", "the checker failed on it", "report it with the text and the log")));

    /**
     * Parses, validates and compiles the text of a version.
     *
     * @param epoch epoch of the version
     * @param number number of the version
     * @param text the version's text in UTF-8
     */
    public Result compile(ConfigVersion.Epoch epoch, long number, byte[] text) {
        BoundedDiagnostics diagnostics = new BoundedDiagnostics(MAX_REPORTED_FINDINGS);
        ConfigDocument document = ConfigDocument.parse(text, diagnostics);
        if (document == null) {
            return new Result(null, List.copyOf(diagnostics));
        }
        CompiledConfig compiled = null;
        SchemaValidator.PLAN.validate(document, diagnostics);
        if (!diagnostics.hasErrors()) {
            ResolvedConfig config = new ResolvedConfig(document);
            ConfigValidator.validate(config, deployment, diagnostics);
            if (!diagnostics.hasErrors()) {
                compiled = compile(new ConfigVersion(epoch, number, ConfigVersion.hash(text)), config);
            }
        }
        return new Result(compiled, document.withLocations(reported(diagnostics)));
    }

    private static List<Diagnostic> reported(BoundedDiagnostics diagnostics) {
        if (diagnostics.omitted() == 0) {
            return diagnostics;
        }
        List<Diagnostic> reported = new ArrayList<>(diagnostics);
        reported.add(Diagnostic.newWarning(
                "G-MORE", "", diagnostics.omitted() + " more findings are not reported", "correct these first"));
        return reported;
    }

    private CompiledConfig compile(ConfigVersion version, ResolvedConfig config) {
        Map<String, LimitPolicy> limits = new LinkedHashMap<>();
        config.section("limits").properties().forEach(e -> limits.put(e.getKey(), limit(e.getKey(), e.getValue())));
        Map<String, RetryPolicy> retryPolicies = new LinkedHashMap<>();
        config.section("retries")
                .properties()
                .forEach(e -> retryPolicies.put(e.getKey(), retryPolicy(e.getKey(), e.getValue())));
        Map<String, Pool> pools = new LinkedHashMap<>();
        Map<String, RetryPolicy> poolRetryPolicies = new HashMap<>();
        config.section("pools").properties().forEach(e -> {
            pools.put(e.getKey(), pool(e.getKey(), e.getValue()));
            String policyName = config.retryPolicyOf(e.getKey());
            if (policyName != null) {
                poolRetryPolicies.put(e.getKey(), retryPolicies.get(policyName));
            }
        });
        String defaultPolicyName = config.defaultValue("retries");
        Set<String> removedRoutes = new HashSet<>();
        config.section("removes").forEach(name -> removedRoutes.add(name.asText()));
        return new CompiledConfig(
                version,
                config.section("by").asText(""),
                config.section("note").asText(""),
                config.section("unmatched").asText("").equals("refuse"),
                routes(config, limits, retryPolicies),
                pools,
                poolRetryPolicies,
                defaultPolicyName == null ? RetryPolicy.UNRESTRICTED : retryPolicies.get(defaultPolicyName),
                limits,
                removedRoutes);
    }

    private List<RouteEntry> routes(
            ResolvedConfig config, Map<String, LimitPolicy> limits, Map<String, RetryPolicy> retryPolicies) {
        List<RouteEntry> entries = new ArrayList<>();
        for (ResolvedConfig.RouteDefinition route : config.routes()) {
            if (!route.isAbstract()) {
                entries.add(new RouteEntry(
                        route.name(),
                        entries.size(),
                        route.match(),
                        deployment.classIndices().get(route.className()),
                        route.pool(),
                        route.limits().stream().map(limits::get).toList(),
                        route.retryPolicy() == null ? null : retryPolicies.get(route.retryPolicy()),
                        route.sessionPolicy()));
            }
        }
        return entries;
    }

    private static LimitPolicy limit(String name, JsonNode node) {
        double ratePerS = node.path("ratePerS").asDouble(Double.POSITIVE_INFINITY);
        String scope = node.path("per").asText("all").toUpperCase(Locale.ROOT).replace('-', '_');
        JsonNode queue = node.path("queue");
        return new LimitPolicy(
                name,
                LimitPolicy.Scope.valueOf(scope),
                ratePerS / US_PER_S,
                node.path("burst").asDouble(Math.max(1, ratePerS)),
                node.path("inFlight").asInt(Integer.MAX_VALUE),
                queue.path("length").asInt(0),
                (long) (queue.path("waitMs").asDouble(0) * US_PER_MS));
    }

    /** Compiles the definition of a retry policy; {@code node} must satisfy the schema. */
    static RetryPolicy retryPolicy(String name, JsonNode node) {
        Set<AttemptResult> retryable = EnumSet.of(AttemptResult.NOT_SENT);
        if (node.has("after")) {
            node.get("after").forEach(word -> retryable.add(attemptResult(word.asText())));
        } else {
            retryable.add(AttemptResult.TURNED_AWAY);
            retryable.add(AttemptResult.NOT_CONNECTED);
        }
        return new RetryPolicy(
                name,
                node.get("tries").asInt(),
                retryable,
                (long) (node.path("tryMs").asDouble(0) * US_PER_MS),
                node.path("budget").asDouble(1));
    }

    /** Returns the attempt result that a value of the field {@code after} names. */
    private static AttemptResult attemptResult(String word) {
        return switch (word) {
            case "turned-away" -> AttemptResult.TURNED_AWAY;
            case "not-connected" -> AttemptResult.NOT_CONNECTED;
            case "errored" -> AttemptResult.ERRORED;
            case "timed-out" -> AttemptResult.TIMED_OUT;
            case "broken-off" -> AttemptResult.BROKEN_OFF;
            case "cancelled" -> AttemptResult.CANCELLED;
            default -> throw new IllegalArgumentException("attempt result not allowed by the schema: " + word);
        };
    }

    private Pool pool(String name, JsonNode node) {
        Map<String, String> labels = new TreeMap<>();
        for (Map.Entry<String, JsonNode> label : node.path("labels").properties()) {
            labels.put(label.getKey(), label.getValue().asText());
        }
        return new Pool(
                name,
                indices(node.path("zones"), deployment.zones()),
                indices(node.path("kinds"), deployment.instanceTypes()),
                labels,
                node.path("fallback").asText(null),
                node.path("leastShare").asDouble(0));
    }

    /** Returns the indices of the names; an unknown name gets the index -1, which no endpoint has. */
    private static Set<Integer> indices(JsonNode names, List<String> known) {
        Set<Integer> indices = new HashSet<>();
        names.forEach(name -> indices.add(known.indexOf(name.asText())));
        return indices;
    }
}
