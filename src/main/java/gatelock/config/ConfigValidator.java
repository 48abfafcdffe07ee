package gatelock.config;

import com.fasterxml.jackson.databind.JsonNode;
import gatelock.api.RoutePolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** What a version means, beyond its form: what leads nowhere, never acts, or would let a rule be broken. */
final class ConfigValidator {
    /** So many earlier lines are looked at for one that shadows; beyond that it is not checked, and said. */
    private static final int LOOKED_AT = 2_000;

    private final ResolvedConfig sheet;
    private final DeploymentContext grounds;
    private final List<Diagnostic> findings;
    private final Set<String> used = new HashSet<>();

    private ConfigValidator(ResolvedConfig sheet, DeploymentContext grounds, List<Diagnostic> findings) {
        this.sheet = sheet;
        this.grounds = grounds;
        this.findings = findings;
    }

    /** Adds all findings of meaning to a draft that has the right form. */
    static void check(ResolvedConfig sheet, DeploymentContext grounds, List<Diagnostic> findings) {
        ConfigValidator checks = new ConfigValidator(sheet, grounds, findings);
        checks.defaults();
        checks.pools();
        checks.limits();
        checks.lines();
        checks.shadows();
        checks.removes();
        checks.unused();
    }

    private JsonNode section(String name) {
        return sheet.root().path(name);
    }

    private boolean has(String section, String name) {
        return section(section).has(name);
    }

    /** A name must stand in its section; if so it is in use. */
    private boolean named(String section, String name, String pointer, String code) {
        if (has(section, name)) {
            used.add(section + "/" + name);
            return true;
        }
        findings.add(ConfigDocument.grave(
                code,
                pointer,
                "there is no " + name + " under " + section,
                "add it there, or name one of " + some(section)));
        return false;
    }

    private String some(String section) {
        List<String> names = new ArrayList<>();
        section(section).fieldNames().forEachRemaining(names::add);
        return names.isEmpty()
                ? "none, as it is empty"
                : names.stream().limit(10).collect(Collectors.joining(", "));
    }

    private void defaults() {
        JsonNode defaults = section("defaults");
        if (defaults.has("pool")) {
            named("pools", defaults.get("pool").asText(), "/defaults/pool", "M-POOL");
        }
        if (defaults.has("retries")) {
            named("retries", defaults.get("retries").asText(), "/defaults/retries", "M-RETRIES");
        }
        for (int i = 0; i < defaults.path("limits").size(); i++) {
            named("limits", defaults.get("limits").get(i).asText(), "/defaults/limits/" + i, "M-LIMIT");
        }
    }

    private void pools() {
        section("pools").properties().forEach(e -> {
            String pointer = "/pools/" + ConfigDocument.escaped(e.getKey());
            JsonNode pool = e.getValue();
            selector(pool, "zones", grounds.zones(), pointer);
            selector(pool, "kinds", grounds.kinds(), pointer);
            if (pool.has("retries")) {
                named("retries", pool.get("retries").asText(), pointer + "/retries", "M-RETRIES");
            }
            if (pool.has("fallback")) {
                named("pools", pool.get("fallback").asText(), pointer + "/fallback", "M-FALLBACK");
                List<String> loop = loop(e.getKey());
                if (!loop.isEmpty()) {
                    findings.add(ConfigDocument.grave(
                            "M-FALLBACK-LOOP",
                            pointer + "/fallback",
                            "its fallbacks lead back to it: " + String.join(" > ", loop),
                            "let one of them have no fallback, or another"));
                }
            } else if (pool.has("leastShare")) {
                findings.add(ConfigDocument.warning(
                        "M-LEAST",
                        pointer + "/leastShare",
                        "a least share without a fallback does " + "nothing",
                        "name a fallback, or take it out"));
            }
        });
    }

    private void selector(JsonNode pool, String field, List<String> known, String pointer) {
        if (!pool.has(field)) {
            return;
        }
        int fits = 0;
        for (int i = 0; i < pool.get(field).size(); i++) {
            String name = pool.get(field).get(i).asText();
            if (known.contains(name)) {
                fits++;
            } else {
                findings.add(ConfigDocument.warning(
                        "M-UNKNOWN",
                        pointer + "/" + field + "/" + i,
                        "the deployment has no " + name + " among its " + field,
                        "name one of " + String.join(", ", known)));
            }
        }
        if (fits == 0) {
            findings.add(ConfigDocument.grave(
                    "M-POOL-EMPTY",
                    pointer + "/" + field,
                    "no unit can ever be in this pool",
                    "name one of " + String.join(", ", known)));
        }
    }

    /** The fallbacks from a pool back to itself, or none. */
    private List<String> loop(String from) {
        List<String> way = new ArrayList<>(List.of(from));
        Set<String> seen = new HashSet<>();
        for (String at = fallback(from); at != null && seen.add(at); at = fallback(at)) {
            way.add(at);
            if (at.equals(from)) {
                return way;
            }
        }
        return List.of();
    }

    private String fallback(String pool) {
        return section("pools").path(pool).path("fallback").asText(null);
    }

    private List<String> chain(String pool) {
        Set<String> chain = new LinkedHashSet<>();
        for (String at = pool; at != null && has("pools", at) && chain.add(at); at = fallback(at)) {
            // each adds itself
        }
        return List.copyOf(chain);
    }

    private void limits() {
        section("limits").properties().forEach(e -> {
            String pointer = "/limits/" + ConfigDocument.escaped(e.getKey());
            JsonNode limit = e.getValue();
            for (String field : List.of("ratePerS", "inFlight")) {
                if (limit.has(field) && limit.get(field).asDouble() <= 0) {
                    findings.add(ConfigDocument.grave(
                            "M-ZERO",
                            pointer + "/" + field,
                            "a limit of zero sheds every req",
                            "give it more than 0, or take the routes out that lead there"));
                }
            }
            if (limit.has("burst") && limit.get("burst").asDouble() < 1) {
                findings.add(ConfigDocument.grave(
                        "M-ZERO", pointer + "/burst", "with a burst under 1 no req ever passes", "give it 1 or more"));
            }
            if (limit.has("burst") && !limit.has("ratePerS")) {
                findings.add(ConfigDocument.warning(
                        "M-BURST",
                        pointer + "/burst",
                        "a burst without a rate does nothing",
                        "give it ratePerS, or take it out"));
            }
        });
    }

    private void lines() {
        Set<String> names = new HashSet<>();
        for (ResolvedConfig.Line line : sheet.lines()) {
            String at = line.pointer();
            if (!names.add(line.name())) {
                findings.add(ConfigDocument.grave(
                        "M-NAME-TWICE",
                        at + "/name",
                        "an earlier route is called " + line.name(),
                        "give each route a name of its own"));
            }
            if (line.inherits() != null && line.parent() == null) {
                findings.add(ConfigDocument.grave(
                        "M-PARENT",
                        at + "/inherits",
                        "no route before this one is called " + line.inherits(),
                        "name one that stands before it"));
            }
            if (!line.isAbstract()) {
                leads(line, at);
            }
        }
    }

    /** Where requests of a route go, and whether they may. */
    private void leads(ResolvedConfig.Line line, String at) {
        Integer classNo = line.className() == null ? null : grounds.classes().get(line.className());
        if (classNo == null) {
            findings.add(ConfigDocument.grave(
                    "M-CLASS",
                    at(line, "class"),
                    line.className() == null
                            ? "it leads nowhere: it has no class"
                            : "the deployment has no class " + line.className(),
                    "name one of " + String.join(", ", grounds.classes().keySet())));
        }
        boolean poolStands = line.pool() == null || named("pools", line.pool(), at(line, "pool"), "M-POOL");
        boolean retriesStand =
                line.retries() == null || named("retries", line.retries(), at(line, "retries"), "M-RETRIES");
        for (String limit : line.limits()) {
            if (named("limits", limit, at(line, "limits"), "M-LIMIT") && classNo != null) {
                waits(line, limit, grounds.deadlinesUs().get(classNo));
            }
        }
        if (classNo != null) {
            RoutePolicy terms = grounds.terms().get(classNo);
            method(line, terms);
            if (line.sessions() != null && terms.repeat() != RoutePolicy.Repeat.RETRIABLE) {
                findings.add(ConfigDocument.grave(
                        "M-SESSION",
                        at(line, "sessions"),
                        "sessions are opened by GET, and reqs of class " + line.className() + " come by POST",
                        "give the route a retriable class, or take sessions out"));
            }
            if (poolStands && retriesStand && terms.repeat() == RoutePolicy.Repeat.NON_RETRIABLE) {
                once(line);
            }
            if (poolStands && terms.repeat() == RoutePolicy.Repeat.DEDUPED) {
                groups(line, terms);
            }
        }
    }

    /** Where a route says a field, or a parent does, or the place that a default stands for. */
    private static String at(ResolvedConfig.Line line, String field) {
        ResolvedConfig.Line sayer = line.sayer(field);
        return sayer == null ? line.pointer() : sayer.pointer() + "/" + field;
    }

    private void waits(ResolvedConfig.Line line, String limit, long deadlineUs) {
        double waitMs =
                section("limits").path(limit).path("queue").path("waitMs").asDouble(0);
        if (deadlineUs > 0 && waitMs * 1000 >= deadlineUs) {
            findings.add(ConfigDocument.grave(
                    "M-WAIT",
                    "/limits/" + ConfigDocument.escaped(limit) + "/queue/waitMs",
                    "reqs of route "
                            + line.name() + " would wait for " + (long) waitMs + " ms, and their time is up after "
                            + deadlineUs / 1000,
                    "wait for less, or give that route another limit"));
        }
    }

    /** A class fixes its method: the route of another leads nowhere. */
    private void method(ResolvedConfig.Line line, RoutePolicy terms) {
        String method = terms.repeat() == RoutePolicy.Repeat.RETRIABLE ? "GET" : "POST";
        Set<String> methods = line.match().methods();
        if (!methods.isEmpty() && !methods.contains(method)) {
            findings.add(ConfigDocument.grave(
                    "M-METHOD",
                    at(line, "methods"),
                    "reqs of class " + line.className()
                            + " come by "
                            + method + " only, so no req of this route is ever taken",
                    "name " + method + ", or another class"));
        }
    }

    /**
     * Rule 2, before anything is sent: no way by which a non-retriable request gets to a policy under which a request
     * that may
     * have run is sent again. The module would not do so; a version that asks for it is a mistake of its
     * author's.
     */
    private void once(ResolvedConfig.Line line) {
        if (line.retries() != null) {
            ResolvedConfig.Line sayer = line.sayer("retries");
            retrying(
                    line,
                    line.retries(),
                    sayer.pointer() + "/retries",
                    sayer == line ? "directly" : "by inheritance from route " + sayer.name());
            return;
        }
        List<String> chain = chain(line.pool());
        boolean byDefault = chain.isEmpty();
        for (String pool : chain) {
            String its = section("pools").path(pool).path("retries").asText(null);
            byDefault |= its == null;
            if (its != null) {
                retrying(
                        line,
                        its,
                        "/pools/" + ConfigDocument.escaped(pool) + "/retries",
                        pool.equals(line.pool()) ? "by its pool " + pool : "by the fallback pool " + pool);
            }
        }
        if (byDefault && sheet.byDefault("retries") != null) {
            retrying(line, sheet.byDefault("retries"), "/defaults/retries", "by default");
        }
    }

    private void retrying(ResolvedConfig.Line line, String retries, String pointer, String way) {
        JsonNode node = section("retries").path(retries);
        if (!node.isMissingNode() && ConfigCompiler.retries(retries, node).mayRunTwice()) {
            findings.add(ConfigDocument.grave(
                    "M-ONCE",
                    pointer,
                    "route " + line.name()
                            + " is of the non-retriable class "
                            + line.className() + " and reaches the policy " + retries + " " + way
                            + ", which tries again what may have run",
                    "give the route a policy of its own with tries 1, or with after turned-away and "
                            + "not-connected only"));
        }
    }

    /** A repeat must meet the endpoints that drop it: one zone's or one cell's. */
    private void groups(ResolvedConfig.Line line, RoutePolicy terms) {
        if (terms.group() == RoutePolicy.Group.ALL) {
            return;
        }
        List<String> chain = chain(line.pool());
        Set<String> zones = new LinkedHashSet<>();
        boolean any = chain.isEmpty();
        for (String pool : chain) {
            JsonNode its = section("pools").path(pool).path("zones");
            any |= its.isMissingNode();
            its.forEach(z -> zones.add(z.asText()));
        }
        boolean zoned = terms.group() == RoutePolicy.Group.ZONE && !any && zones.size() == 1
                || grounds.zones().size() <= 1 && terms.group() == RoutePolicy.Group.ZONE;
        boolean single = terms.group() == RoutePolicy.Group.CELL && chain.size() <= 1;
        if (!zoned && !single) {
            findings.add(ConfigDocument.grave(
                    "M-GROUP",
                    at(line, "pool"),
                    "route " + line.name()
                            + " is of the deduped class "
                            + line.className() + ", whose repeats one "
                            + (terms.group() == RoutePolicy.Group.ZONE ? "zone" : "cell")
                            + " remembers, and its pools "
                            + (any && chain.isEmpty() ? "(none is named: all units)" : chain.toString())
                            + " reach more than one",
                    terms.group() == RoutePolicy.Group.ZONE
                            ? "give it pools of one zone, its fallbacks too"
                            : "give its pool no fallback"));
        }
    }

    private void shadows() {
        List<ResolvedConfig.Line> real =
                sheet.lines().stream().filter(l -> !l.isAbstract()).toList();
        List<RouteMatch> matches = real.stream().map(ResolvedConfig.Line::match).toList();
        RouteTable<Integer> table = new RouteTable<>(
                matches, real.stream().map(ResolvedConfig.Line::place).toList());
        for (int i = 0; i < real.size(); i++) {
            int place = i;
            RouteMatch match = matches.get(i);
            int[] looked = new int[1];
            int by = table.firstAlong(
                    match.segments(), (p, m) -> p < place && looked[0]++ < LOOKED_AT && m.covers(match));
            if (by >= 0 && by < place) {
                findings.add(ConfigDocument.grave(
                        "M-SHADOWED",
                        real.get(i).pointer(),
                        "no req ever meets route " + real.get(i).name() + ": all of its go to route "
                                + real.get(by).name() + " before it",
                        "put it before that one, or take it out"));
            } else if (looked[0] >= LOOKED_AT) {
                findings.add(ConfigDocument.warning(
                        "M-UNCHECKED",
                        real.get(i).pointer(),
                        "whether an earlier route shadows " + real.get(i).name()
                                + " was not checked: too many share its path",
                        "part them by path"));
            }
        }
    }

    private void removes() {
        JsonNode removes = section("removes");
        for (int i = 0; i < removes.size(); i++) {
            ResolvedConfig.Line line = sheet.line(removes.get(i).asText());
            if (line != null && !line.isAbstract()) {
                findings.add(ConfigDocument.grave(
                        "M-REMOVES",
                        "/removes/" + i,
                        "route " + line.name() + " is said to be gone and is there",
                        "take it out of removes, or out of routes"));
            }
        }
    }

    private void unused() {
        Map<String, String> sections = new HashMap<>(Map.of("pools", "pool", "limits", "limit", "retries", "policy"));
        for (String section : List.of("pools", "limits", "retries")) {
            for (Iterator<String> names = section(section).fieldNames(); names.hasNext(); ) {
                String name = names.next();
                if (!used.contains(section + "/" + name)) {
                    findings.add(ConfigDocument.warning(
                            "M-UNUSED",
                            "/" + section + "/" + ConfigDocument.escaped(name),
                            "no route uses this " + sections.get(section),
                            "take it out, or name it where it was meant"));
                }
            }
        }
    }
}
