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
 * Makes a {@link CompiledConfig} of a text, or says all that is wrong with it. May run on any thread; keeps nothing.
 */
public final class ConfigCompiler {
    /** Of more findings the first are told, and how many there are. */
    private static final int MOST_FINDINGS = 200;

    private final DeploymentContext grounds;

    public ConfigCompiler(DeploymentContext grounds) {
        this.grounds = grounds;
    }

    /** @param plan null where a finding is grave */
    public record Compiled(CompiledConfig plan, List<Diagnostic> findings) {
        public boolean good() {
            return plan != null;
        }
    }

    /** Stands for a version on which the program itself failed. */
    public static final Compiled FAILED = new Compiled(
            null,
            List.of(new Diagnostic(
                    "G-INTERNAL", true, "", 0, 0, "the checker failed on it", "report it with the text and the log")));

    /** Reads, checks and compiles a text that claims to be that version. */
    public Compiled compile(ConfigVersion.Epoch epoch, long number, byte[] text) {
        List<Diagnostic> findings = new ArrayList<>();
        ConfigDocument draft = ConfigDocument.read(text, findings);
        if (draft != null) {
            SchemaValidator.PLAN.check(draft, findings);
        }
        CompiledConfig plan = null;
        if (draft != null && findings.stream().noneMatch(Diagnostic::grave)) {
            ResolvedConfig sheet = new ResolvedConfig(draft);
            ConfigValidator.check(sheet, grounds, findings);
            if (findings.stream().noneMatch(Diagnostic::grave)) {
                plan = plan(new ConfigVersion(epoch, number, ConfigVersion.hash(text)), sheet);
            }
        }
        List<Diagnostic> told = fewer(findings);
        return new Compiled(plan, draft == null ? told : draft.placed(told));
    }

    private static List<Diagnostic> fewer(List<Diagnostic> findings) {
        if (findings.size() <= MOST_FINDINGS) {
            return List.copyOf(findings);
        }
        List<Diagnostic> first = new ArrayList<>(findings.subList(0, MOST_FINDINGS));
        first.add(new Diagnostic(
                "G-MORE",
                false,
                "",
                0,
                0,
                findings.size() - MOST_FINDINGS + " more findings are not told",
                "mend these first"));
        return first;
    }

    private CompiledConfig plan(ConfigVersion stamp, ResolvedConfig sheet) {
        JsonNode root = sheet.root();
        Map<String, LimitPolicy> limits = new LinkedHashMap<>();
        root.path("limits").properties().forEach(e -> limits.put(e.getKey(), limit(e.getKey(), e.getValue())));
        Map<String, RetryPolicy> retries = new LinkedHashMap<>();
        root.path("retries").properties().forEach(e -> retries.put(e.getKey(), retries(e.getKey(), e.getValue())));
        Map<String, Pool> pools = new LinkedHashMap<>();
        Map<String, RetryPolicy> poolRetries = new HashMap<>();
        root.path("pools").properties().forEach(e -> {
            pools.put(e.getKey(), pool(e.getKey(), e.getValue()));
            if (e.getValue().has("retries")) {
                poolRetries.put(
                        e.getKey(), retries.get(e.getValue().get("retries").asText()));
            }
        });
        List<RouteEntry> entries = new ArrayList<>();
        for (ResolvedConfig.Line line : sheet.lines()) {
            if (!line.isAbstract()) {
                List<LimitPolicy> its = line.limits().stream().map(limits::get).toList();
                entries.add(new RouteEntry(
                        line.name(),
                        entries.size(),
                        line.match(),
                        grounds.classes().get(line.className()),
                        line.pool(),
                        its,
                        line.retries() == null ? null : retries.get(line.retries()),
                        line.sessions()));
            }
        }
        String byDefault = sheet.byDefault("retries");
        Set<String> removes = new HashSet<>();
        root.path("removes").forEach(n -> removes.add(n.asText()));
        return new CompiledConfig(
                stamp,
                root.path("by").asText(""),
                root.path("note").asText(""),
                root.path("unmatched").asText("").equals("refuse"),
                entries,
                pools,
                poolRetries,
                byDefault == null ? RetryPolicy.FREE : retries.get(byDefault),
                limits,
                removes);
    }

    private static LimitPolicy limit(String name, JsonNode node) {
        double perS = node.path("ratePerS").asDouble(Double.POSITIVE_INFINITY);
        JsonNode queue = node.path("queue");
        return new LimitPolicy(
                name,
                LimitPolicy.Per.valueOf(
                        node.path("per").asText("all").toUpperCase(Locale.ROOT).replace('-', '_')),
                perS / 1e6,
                node.path("burst").asDouble(Math.max(1, perS)),
                node.path("inFlight").asInt(Integer.MAX_VALUE),
                queue.path("length").asInt(0),
                (long) (queue.path("waitMs").asDouble(0) * 1000));
    }

    /** The endings that a version names. */
    private static AttemptResult ending(String word) {
        return switch (word) {
            case "turned-away" -> AttemptResult.TURNED_AWAY;
            case "not-connected" -> AttemptResult.NOT_CONNECTED;
            case "errored" -> AttemptResult.ERRORED;
            case "timed-out" -> AttemptResult.TIMED_OUT;
            case "broken-off" -> AttemptResult.BROKEN_OFF;
            case "cancelled" -> AttemptResult.CANCELLED;
            default -> throw new IllegalArgumentException("the schema knows no ending " + word);
        };
    }

    static RetryPolicy retries(String name, JsonNode node) {
        Set<AttemptResult> after = EnumSet.of(AttemptResult.NOT_SENT);
        if (node.has("after")) {
            node.get("after").forEach(w -> after.add(ending(w.asText())));
        } else {
            after.add(AttemptResult.TURNED_AWAY);
            after.add(AttemptResult.NOT_CONNECTED);
        }
        return new RetryPolicy(
                name,
                node.get("tries").asInt(),
                after,
                (long) (node.path("tryMs").asDouble(0) * 1000),
                node.path("budget").asDouble(1));
    }

    private Pool pool(String name, JsonNode node) {
        Map<String, String> labels = new TreeMap<>();
        node.path("labels")
                .properties()
                .forEach(e -> labels.put(e.getKey(), e.getValue().asText()));
        return new Pool(
                name,
                places(node.path("zones"), grounds.zones()),
                places(node.path("kinds"), grounds.kinds()),
                labels,
                node.path("fallback").asText(null),
                node.path("leastShare").asDouble(0));
    }

    /** What a list names, by place; a name that the deployment has not is of no endpoint. */
    private static Set<Integer> places(JsonNode names, List<String> known) {
        Set<Integer> places = new HashSet<>();
        names.forEach(n -> places.add(known.indexOf(n.asText())));
        return places;
    }
}
