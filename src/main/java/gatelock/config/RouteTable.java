package gatelock.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;

/**
 * An ordered table of matches, of which the first that fits a request holds. Kept as a compressed trie over the
 * segments
 * of paths: an edge bears as many segments as lead to no choice, a node those entries whose path ends there,
 * by host
 * and in order, and the least place of all below it, so that a search ends where nothing earlier can come.
 *
 * @param <T> what an entry leads to
 */
final class RouteTable<T> {
    private final Node<T> root = new Node<>();
    private final int size;

    private record Entry<T>(int place, RouteMatch match, T leadsTo) {}

    private static final class Node<T> {
        /** By host as the entries name it, each in order. */
        private Map<String, List<Entry<T>>> byHost = Map.of();

        private Map<String, Edge<T>> edges = Map.of();
        private int least = Integer.MAX_VALUE;
    }

    private static final class Edge<T> {
        private List<String> segments;
        private Node<T> to;
    }

    /** The matches in their order, and what each leads to. */
    RouteTable(List<RouteMatch> matches, List<T> leadTo) {
        size = matches.size();
        for (int i = 0; i < size; i++) {
            Node<T> node = nodeFor(matches.get(i).segments(), i);
            if (node.byHost.isEmpty()) {
                node.byHost = new HashMap<>(2);
            }
            node.byHost
                    .computeIfAbsent(matches.get(i).host(), h -> new ArrayList<>(1))
                    .add(new Entry<>(i, matches.get(i), leadTo.get(i)));
        }
    }

    int size() {
        return size;
    }

    /** The node at which that path ends, made where there is none; all on the way learn of the place. */
    private Node<T> nodeFor(List<String> path, int place) {
        Node<T> node = root;
        int at = 0;
        node.least = Math.min(node.least, place);
        while (at < path.size()) {
            Edge<T> edge = node.edges.get(path.get(at));
            if (edge == null) {
                edge = new Edge<>();
                edge.segments = List.copyOf(path.subList(at, path.size()));
                edge.to = new Node<>();
                if (node.edges.isEmpty()) {
                    node.edges = new HashMap<>(2);
                }
                node.edges.put(path.get(at), edge);
            } else {
                int same = same(edge.segments, path, at);
                if (same < edge.segments.size()) {
                    split(edge, same);
                }
            }
            at += edge.segments.size();
            node = edge.to;
            node.least = Math.min(node.least, place);
        }
        return node;
    }

    private static int same(List<String> segments, List<String> path, int at) {
        int n = 0;
        while (n < segments.size() && at + n < path.size() && segments.get(n).equals(path.get(at + n))) {
            n++;
        }
        return n;
    }

    private static <T> void split(Edge<T> edge, int after) {
        Edge<T> rest = new Edge<>();
        rest.segments = List.copyOf(edge.segments.subList(after, edge.segments.size()));
        rest.to = edge.to;
        Node<T> between = new Node<>();
        between.least = edge.to.least;
        between.edges = new HashMap<>(2);
        between.edges.put(rest.segments.get(0), rest);
        edge.segments = List.copyOf(edge.segments.subList(0, after));
        edge.to = between;
    }

    /** What the first entry that fits leads to, or null. */
    T first(RequestAttributes asked) {
        Entry<T> found =
                search(RouteMatch.segments(asked.path()), asked.host(), (place, match) -> match.fitsBeside(asked));
        return found == null ? null : found.leadsTo;
    }

    /** The place of the first entry whose path is the start of this one and that is chosen, or -1. */
    int firstAlong(List<String> path, BiPredicate<Integer, RouteMatch> chosen) {
        Entry<T> found = search(path, null, chosen);
        return found == null ? -1 : found.place;
    }

    private Entry<T> search(List<String> path, String host, BiPredicate<Integer, RouteMatch> chosen) {
        Entry<T> best = null;
        Node<T> node = root;
        int at = 0;
        while (node != null && node.least < (best == null ? Integer.MAX_VALUE : best.place)) {
            best = at(node, host, chosen, best);
            Edge<T> edge = at < path.size() ? node.edges.get(path.get(at)) : null;
            boolean along = edge != null && same(edge.segments, path, at) == edge.segments.size();
            at += along ? edge.segments.size() : 0;
            node = along ? edge.to : null;
        }
        return best;
    }

    /** The first of the entries of one node that is chosen, if it stands before the best so far. */
    private static <T> Entry<T> at(Node<T> node, String host, BiPredicate<Integer, RouteMatch> chosen, Entry<T> best) {
        Entry<T> found = best;
        if (host == null) {
            for (List<Entry<T>> some : node.byHost.values()) {
                found = before(some, chosen, found);
            }
            return found;
        }
        if (node.byHost.isEmpty()) {
            return found;
        }
        String name = host.toLowerCase(java.util.Locale.ROOT);
        found = before(node.byHost.get("*"), chosen, found);
        found = before(node.byHost.get(name), chosen, found);
        for (int dot = name.indexOf('.'); dot >= 0; dot = name.indexOf('.', dot + 1)) {
            found = before(node.byHost.get("*" + name.substring(dot)), chosen, found);
        }
        return found;
    }

    private static <T> Entry<T> before(List<Entry<T>> some, BiPredicate<Integer, RouteMatch> chosen, Entry<T> best) {
        for (int i = 0; some != null && i < some.size(); i++) {
            Entry<T> entry = some.get(i);
            if (best != null && entry.place >= best.place) {
                return best;
            }
            if (chosen.test(entry.place, entry.match)) {
                return entry;
            }
        }
        return best;
    }
}
