package gatelock.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Compares two versions by their effect on requests, not by their text: reordering or reformatting the text without
 * changing its meaning is not a difference. The command {@code gatelock diff} prints the result.
 */
public final class ConfigDiff {
    private static final int MAX_DIFFERENCES = 1_000;
    /** The maximum number of routes along the path of one route that are compared with it for a change of order. */
    private static final int MAX_ROUTES_ALONG_PATH = 50;
    /** Replaces a wildcard for a header value or for the first part of a host in an example request. */
    private static final String EXAMPLE_VALUE = "x";

    private final CompiledConfig before;
    private final CompiledConfig after;
    private final DeploymentContext deployment;
    private final List<String> differences = new ArrayList<>();

    private ConfigDiff(CompiledConfig before, CompiledConfig after, DeploymentContext deployment) {
        this.before = before;
        this.after = after;
        this.deployment = deployment;
    }

    /**
     * Returns a line for each difference, at most 1000; the list is empty if both versions treat all requests alike.
     */
    public static List<String> compare(CompiledConfig before, CompiledConfig after, DeploymentContext deployment) {
        ConfigDiff diff = new ConfigDiff(before, after, deployment);
        diff.compareUnmatched();
        diff.compareRoutes();
        diff.compareOrder();
        diff.comparePools();
        List<String> differences = diff.differences;
        return differences.size() <= MAX_DIFFERENCES ? differences : differences.subList(0, MAX_DIFFERENCES);
    }

    private void compareUnmatched() {
        if (before.rejectsUnmatched() != after.rejectsUnmatched()) {
            differences.add("requests that match no route: "
                    + (after.rejectsUnmatched()
                            ? "answered with 404, previously routed by class"
                            : "routed by class, previously answered with 404"));
        }
    }

    private void compareRoutes() {
        Set<String> names = new TreeSet<>(before.routesByName().keySet());
        names.addAll(after.routesByName().keySet());
        for (String name : names) {
            RouteEntry previous = before.routesByName().get(name);
            RouteEntry current = after.routesByName().get(name);
            if (previous == null) {
                differences.add("route " + name + " is new: " + describe(current.match()) + " to class "
                        + deployment.className(current.classIndex()) + ", pool " + poolName(current)
                        + describeRouteIn(before, current));
            } else if (current == null) {
                differences.add(
                        "route " + name + " is gone: " + describe(previous.match()) + describeRouteIn(after, previous));
            } else {
                compareRoute(previous, current);
            }
        }
    }

    /**
     * For a route that only one version has, describes which route of the other version matches its requests,
     * determined by one example request.
     */
    private static String describeRouteIn(CompiledConfig otherVersion, RouteEntry route) {
        RouteEntry other = otherVersion.findRoute(exampleRequest(route.match()));
        return other == null ? "" : "; in the other version its requests match " + other.name();
    }

    private void compareRoute(RouteEntry previous, RouteEntry current) {
        String name = current.name();
        addIfChanged(name, "matches", describe(previous.match()), describe(current.match()));
        addIfChanged(
                name, "class", deployment.className(previous.classIndex()), deployment.className(current.classIndex()));
        addIfChanged(name, "pool", poolName(previous), poolName(current));
        addIfChanged(name, "limits", describe(previous.limits()), describe(current.limits()));
        addIfChanged(
                name,
                "tries",
                RouteExplainer.describe(before.retryPolicy(previous, previous.pool())),
                RouteExplainer.describe(after.retryPolicy(current, current.pool())));
    }

    private void addIfChanged(String route, String property, Object previous, Object current) {
        if (!Objects.equals(previous, current)) {
            differences.add("route " + route + ": " + property + " " + current + ", was " + previous);
        }
    }

    /** Finds pairs of unchanged routes whose order changed, using an example request that both routes match. */
    private void compareOrder() {
        Set<String> changes = new TreeSet<>();
        for (RouteEntry route : after.routesByName().values()) {
            if (isMatchUnchanged(route)) {
                for (RouteEntry other : after.routesAlongPath(route.match().segments(), MAX_ROUTES_ALONG_PATH)) {
                    addIfOrderChanged(route, other, changes);
                }
            }
        }
        differences.addAll(changes);
    }

    private void addIfOrderChanged(RouteEntry route, RouteEntry other, Set<String> changes) {
        RequestAttributes request = exampleRequest(route.match(), other.match());
        if (request == null) {
            return;
        }
        RouteEntry previous = before.findRoute(request);
        RouteEntry current = after.findRoute(request);
        boolean changed = previous != null && current != null && !current.name().equals(previous.name());
        if (changed && isMatchUnchanged(current) && isMatchUnchanged(previous)) {
            changes.add("requests that match both " + route.name() + " and " + other.name() + " go to route "
                    + current.name() + ", went to " + previous.name());
        }
    }

    /** Returns whether both versions define the route with the same match conditions. */
    private boolean isMatchUnchanged(RouteEntry route) {
        RouteEntry previous = before.routesByName().get(route.name());
        RouteEntry current = after.routesByName().get(route.name());
        return previous != null && current != null && previous.match().equals(current.match());
    }

    private void comparePools() {
        Set<String> names = new TreeSet<>(before.pools().keySet());
        names.retainAll(after.pools().keySet());
        for (String name : names) {
            Pool previous = before.pools().get(name);
            Pool current = after.pools().get(name);
            if (!previous.equals(current)) {
                differences.add("pool " + name + ": " + describe(current) + ", was " + describe(previous));
            }
        }
    }

    /** Returns a request that satisfies all conditions of a match. */
    private static RequestAttributes exampleRequest(RouteMatch match) {
        Map<String, String> required = match.headers();
        return new RequestAttributes(
                match.methods().isEmpty() ? "GET" : match.methods().iterator().next(),
                exampleHost(match.host()),
                "/" + String.join("/", match.segments()),
                name -> "*".equals(required.get(name)) ? EXAMPLE_VALUE : required.get(name));
    }

    private static String exampleHost(String pattern) {
        if (pattern.equals("*")) {
            return null;
        }
        return pattern.startsWith("*.") ? EXAMPLE_VALUE + pattern.substring(1) : pattern;
    }

    /**
     * Returns a request that satisfies both matches, or null if there is none. The path of {@code other} must be a
     * prefix of the path of {@code match}.
     */
    private static RequestAttributes exampleRequest(RouteMatch match, RouteMatch other) {
        Set<String> methods = new TreeSet<>(match.methods().isEmpty() ? other.methods() : match.methods());
        if (!match.methods().isEmpty() && !other.methods().isEmpty()) {
            methods.retainAll(other.methods());
        }
        Map<String, String> headers = new TreeMap<>(other.headers());
        headers.putAll(match.headers());
        RouteMatch both = new RouteMatch(narrowerHost(match.host(), other.host()), match.segments(), methods, headers);
        RequestAttributes request = exampleRequest(both);
        return match.matchesIgnoringPath(request) && other.matchesIgnoringPath(request) ? request : null;
    }

    private static String narrowerHost(String host, String other) {
        boolean otherIsNarrower = host.equals("*") || (other.length() > host.length() && !other.equals("*"));
        return otherIsNarrower ? other : host;
    }

    private static String poolName(RouteEntry route) {
        return route.pool() == null ? "all units" : route.pool();
    }

    private static List<String> describe(List<LimitPolicy> limits) {
        return limits.stream().map(RouteExplainer::describe).toList();
    }

    private static String describe(RouteMatch match) {
        String methods = match.methods().isEmpty() ? "any method" : String.join("|", new TreeSet<>(match.methods()));
        String headers = match.headers().isEmpty() ? "" : " " + match.headers();
        return methods + " " + match.host() + " /" + String.join("/", match.segments()) + headers;
    }

    private String describe(Pool pool) {
        return "zones " + names(pool.zones(), deployment.zones())
                + ", kinds " + names(pool.instanceTypes(), deployment.instanceTypes())
                + ", labels " + (pool.labels().isEmpty() ? "any" : pool.labels())
                + (pool.fallback() == null ? "" : ", fallback " + pool.fallback() + " under " + pool.minReadyShare());
    }

    /** Returns the names for a pool's indices; negative indices, which stand for unknown names, are left out. */
    private static String names(Set<Integer> indices, List<String> names) {
        if (indices.isEmpty()) {
            return "any";
        }
        List<String> known = new ArrayList<>();
        for (int index : new TreeSet<>(indices)) {
            if (index >= 0) {
                known.add(names.get(index));
            }
        }
        return known.toString();
    }
}
