package gatelock.config;

import gatelock.api.RoutePolicy;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** A small sample deployment, and configuration versions for it. */
public final class SampleConfigs {
    /** A deployment with a class of each retry safety, two tenants, two zones and two kinds of endpoints. */
    public static final DeploymentContext DEPLOYMENT = new DeploymentContext(
            Map.of("read", 0, "post", 1, "claim", 2),
            List.of(
                    new RoutePolicy(RoutePolicy.RetrySafety.RETRIABLE, RoutePolicy.DedupScope.ALL, 0, 250_000, 1),
                    new RoutePolicy(
                            RoutePolicy.RetrySafety.DEDUPED, RoutePolicy.DedupScope.ZONE, 5_000_000, 400_000, 3),
                    new RoutePolicy(RoutePolicy.RetrySafety.NON_RETRIABLE, RoutePolicy.DedupScope.ALL, 0, 500_000, 3)),
            List.of(1_000_000L, 2_000_000L, 3_000_000L),
            Map.of("acme", 0, "bee", 1),
            List.of("east", "west"),
            List.of("small", "large"));

    private SampleConfigs() {}

    /** Returns, in UTF-8, a version with {@code routes} routes, each with a pool and a limit per tenant. */
    public static byte[] version(int routes) {
        StringBuilder text = new StringBuilder("{\"format\": 1, \"pools\": {");
        int pools = Math.min(200, routes);
        for (int i = 0; i < pools; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("\"p")
                    .append(i)
                    .append("\": {\"zones\": [\"east\"], \"leastShare\": 0.5, ")
                    .append("\"fallback\": \"all\"}");
        }
        text.append(
                ", \"all\": {}}, \"limits\": {\"l\": {\"per\": \"tenant\", \"ratePerS\": 100}}, " + "\"routes\": [");
        for (int i = 0; i < routes; i++) {
            text.append(i == 0 ? "" : ",\n")
                    .append("{\"name\": \"r")
                    .append(i)
                    .append("\", \"path\": \"/s")
                    .append(i / 100)
                    .append("/t")
                    .append(i % 100)
                    .append("\", \"class\": \"read\", \"pool\": \"p")
                    .append(i % pools)
                    .append("\", \"limits\": [\"l\"]}");
        }
        return text.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Compiles a version whose text uses single quotes in place of double quotes. */
    static ConfigCompiler.Result compile(String text) {
        return new ConfigCompiler(DEPLOYMENT)
                .compile(ConfigVersion.Epoch.NONE, 1, text.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    /** Compiles a version whose text uses single quotes in place of double quotes, and fails if it has errors. */
    static CompiledConfig compileValid(String text) {
        ConfigCompiler.Result compiled = compile(text);
        if (!compiled.isValid()) {
            throw new AssertionError(compiled.diagnostics());
        }
        return compiled.config();
    }
}
