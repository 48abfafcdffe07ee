package gatelock.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;

/**
 * Two plans compared by what they mean for requests, not by their text: where the meaning is the same there is
 * nothing
 * to say, however the text was moved about.
 */
public final class ConfigDiff {
    private static final int MOST = 1_000;
    private static final int MOST_ALONG = 50;

    private final CompiledConfig before;
    private final CompiledConfig after;
    private final DeploymentContext grounds;
    private final List<String> lines = new ArrayList<>();

    private ConfigDiff(CompiledConfig before, CompiledConfig after, DeploymentContext grounds) {
        this.before = before;
        this.after = after;
        this.grounds = grounds;
    }

    /** A line for each thing that changes for some requests; none where the two mean the same. */
    public static List<String> of(CompiledConfig before, CompiledConfig after, DeploymentContext grounds) {
        ConfigDiff diff = new ConfigDiff(before, after, grounds);
        diff.unmatched();
        diff.routes();
        diff.order();
        diff.pools();
        return diff.lines.size() <= MOST ? diff.lines : diff.lines.subList(0, MOST);
    }

    private void unmatched() {
        if (before.refusesUnmatched() != after.refusesUnmatched()) {
            lines.add("reqs that no route is for: "
                    + (after.refusesUnmatched()
                            ? "answered 404, went by their class before"
                            : "go by their class, were answered 404 before"));
        }
    }

    private void routes() {
        TreeSet<String> names = new TreeSet<>(before.entries().keySet());
        names.addAll(after.entries().keySet());
        for (String name : names) {
            RouteEntry was = before.entries().get(name);
            RouteEntry is = after.entries().get(name);
            if (was == null) {
                lines.add("route " + name + " is new: " + words(is.match()) + " to class "
                        + grounds.className(is.classNo()) + ", pool "
                        + pool(is) + landsNow(is, before));
            } else if (is == null) {
                lines.add("route " + name + " is gone: " + words(was.match()) + landsNow(was, after));
            } else {
                changed(name, was, is);
            }
        }
    }

    /** Where the requests that an entry is for go in the other version, as far as one request tells. */
    private static String landsNow(RouteEntry e, CompiledConfig other) {
        RouteEntry there = other.entry(example(e.match()));
        return there == null ? "" : "; in the other version they meet " + there.name();
    }

    private static RequestAttributes example(RouteMatch m) {
        String host = m.host().equals("*")
                ? null
                : m.host().startsWith("*.") ? "x" + m.host().substring(1) : m.host();
        return new RequestAttributes(
                m.methods().isEmpty() ? "GET" : m.methods().iterator().next(),
                host,
                "/" + String.join("/", m.segments()),
                n -> "*".equals(m.headers().get(n)) ? "x" : m.headers().get(n));
    }

    private void changed(String name, RouteEntry was, RouteEntry is) {
        say(name, "is for", words(was.match()), words(is.match()));
        say(name, "class", grounds.className(was.classNo()), grounds.className(is.classNo()));
        say(name, "pool", pool(was), pool(is));
        say(
                name,
                "limits",
                was.limits().stream().map(RouteExplainer::words).toList(),
                is.limits().stream().map(RouteExplainer::words).toList());
        say(
                name,
                "tries",
                RouteExplainer.words(before.retries(was, was.pool())),
                RouteExplainer.words(after.retries(is, is.pool())));
    }

    private void say(String route, String what, Object was, Object is) {
        if (!Objects.equals(was, is)) {
            lines.add("route " + route + ": " + what + " " + is + ", was " + was);
        }
    }

    /** Entries that stay but change places, told by one request for which both of a pair are. */
    private void order() {
        TreeSet<String> said = new TreeSet<>();
        for (RouteEntry is : after.entries().values()) {
            RouteEntry was = before.entries().get(is.name());
            if (was == null || !was.match().equals(is.match())) {
                continue;
            }
            for (RouteEntry other : after.along(is.match().segments(), MOST_ALONG)) {
                RequestAttributes both = example(is.match(), other.match());
                RouteEntry meets = both == null ? null : after.entry(both);
                RouteEntry met = both == null ? null : before.entry(both);
                if (meets != null && met != null && !meets.name().equals(met.name()) && same(meets) && same(met)) {
                    said.add("reqs for both " + is.name() + " and " + other.name() + " meet route "
                            + meets.name() + ", met "
                            + met.name());
                }
            }
        }
        lines.addAll(said);
    }

    /** Whether an entry is for the same requests in both versions. */
    private boolean same(RouteEntry e) {
        RouteEntry was = before.entries().get(e.name());
        RouteEntry is = after.entries().get(e.name());
        return was != null && is != null && was.match().equals(is.match());
    }

    /**
     * A request for which both are, or null where there is none; the second one's path leads to the first one's.
     */
    private static RequestAttributes example(RouteMatch one, RouteMatch other) {
        TreeSet<String> methods = new TreeSet<>(one.methods().isEmpty() ? other.methods() : one.methods());
        if (!one.methods().isEmpty() && !other.methods().isEmpty()) {
            methods.retainAll(other.methods());
        }
        Map<String, String> headers = new java.util.TreeMap<>(other.headers());
        headers.putAll(one.headers());
        RouteMatch narrow = one.host().equals("*")
                        || other.host().length() > one.host().length()
                                && !other.host().equals("*")
                ? other
                : one;
        RouteMatch both = new RouteMatch(narrow.host(), one.segments(), methods, headers);
        RequestAttributes asked = example(both);
        return one.fitsBeside(asked) && other.fitsBeside(asked) ? asked : null;
    }

    private void pools() {
        TreeSet<String> names = new TreeSet<>(before.pools().keySet());
        names.retainAll(after.pools().keySet());
        for (String name : names) {
            Pool was = before.pools().get(name);
            Pool is = after.pools().get(name);
            if (!was.equals(is)) {
                lines.add("pool " + name + ": " + words(is) + ", was " + words(was));
            }
        }
    }

    private static String pool(RouteEntry e) {
        return e.pool() == null ? "all units" : e.pool();
    }

    private static String words(RouteMatch m) {
        return (m.methods().isEmpty() ? "any method" : String.join("|", new TreeSet<>(m.methods()))) + " "
                + m.host() + " /"
                + String.join("/", m.segments()) + (m.headers().isEmpty() ? "" : " " + m.headers());
    }

    private String words(Pool p) {
        return "zones " + names(p.zones(), grounds.zones()) + ", kinds " + names(p.kinds(), grounds.kinds())
                + ", labels "
                + (p.labels().isEmpty() ? "any" : p.labels())
                + (p.fallback() == null ? "" : ", fallback " + p.fallback() + " under " + p.leastShare());
    }

    private static String names(java.util.Set<Integer> places, List<String> names) {
        return places.isEmpty()
                ? "any"
                : new TreeSet<>(places)
                        .stream().filter(i -> i >= 0).map(names::get).toList().toString();
    }
}
