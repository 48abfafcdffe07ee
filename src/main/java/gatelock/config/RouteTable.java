package gatelock.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiPredicate;

/**
 * An ordered table of routes with fast lookup of the first route that matches a request. It is a radix tree (compressed
 * trie) over path segments: an edge carries a run of segments without a branch, and a node holds the routes whose path
 * ends there, by host and in order. Each node stores the lowest position at or below it, so that a search stops when no
 * earlier route can follow.
 *
 * @param <T> the type of the value associated with a route
 */
final class RouteTable<T> {
    private final Node<T> root = new Node<>();
    private final int size;

    /** A route at its position in the table. */
    private record Entry<T>(int position, RouteMatch match, T value) {}

    /** A node of the tree, which stands for the path that leads to it. */
    private static final class Node<T> {
        /** Routes whose path ends at this node, by host pattern; each list is in order of position. */
        private Map<String, List<Entry<T>>> entriesByHost = Map.of();
        /** Outgoing edges by their first segment. */
        private Map<String, Edge<T>> edges = Map.of();
        /** The lowest position of all routes at or below this node. */
        private int lowestPosition = Integer.MAX_VALUE;

        // The maps are created on demand because most nodes of a large table need only one of them.
        private void addEntry(Entry<T> entry) {
            if (entriesByHost.isEmpty()) {
                entriesByHost = new HashMap<>(2);
            }
            entriesByHost
                    .computeIfAbsent(entry.match.host(), host -> new ArrayList<>(1))
                    .add(entry);
        }

        private void addEdge(Edge<T> edge) {
            if (edges.isEmpty()) {
                edges = new HashMap<>(2);
            }
            edges.put(edge.segments.get(0), edge);
        }
    }

    /** An edge of the tree, labelled with one or more path segments. */
    private static final class Edge<T> {
        private List<String> segments;
        private Node<T> target;

        private Edge(List<String> segments, Node<T> target) {
            this.segments = List.copyOf(segments);
            this.target = target;
        }

        /** Splits the edge after {@code length} segments by inserting a new node. */
        private void split(int length) {
            Node<T> middle = new Node<>();
            middle.lowestPosition = target.lowestPosition;
            middle.addEdge(new Edge<>(segments.subList(length, segments.size()), target));
            segments = List.copyOf(segments.subList(0, length));
            target = middle;
        }
    }

    /**
     * Builds a table.
     *
     * @param matches the match conditions of the routes, in order of position
     * @param values the value of each route, in the same order
     */
    RouteTable(List<RouteMatch> matches, List<T> values) {
        size = matches.size();
        for (int i = 0; i < size; i++) {
            RouteMatch match = matches.get(i);
            findOrCreateNode(match.segments(), i).addEntry(new Entry<>(i, match, values.get(i)));
        }
    }

    /** Returns the number of routes. */
    int size() {
        return size;
    }

    /**
     * Returns the node where a path ends, created if necessary, and updates the lowest position of the nodes on the
     * way.
     */
    private Node<T> findOrCreateNode(List<String> path, int position) {
        Node<T> node = root;
        node.lowestPosition = Math.min(node.lowestPosition, position);
        int depth = 0;
        while (depth < path.size()) {
            Edge<T> edge = node.edges.get(path.get(depth));
            if (edge == null) {
                edge = new Edge<>(path.subList(depth, path.size()), new Node<>());
                node.addEdge(edge);
            } else {
                int common = commonLength(edge.segments, path, depth);
                if (common < edge.segments.size()) {
                    edge.split(common);
                }
            }
            depth += edge.segments.size();
            node = edge.target;
            node.lowestPosition = Math.min(node.lowestPosition, position);
        }
        return node;
    }

    /** Returns the number of leading segments of an edge that equal those of a path from {@code depth} on. */
    private static int commonLength(List<String> segments, List<String> path, int depth) {
        int length = 0;
        while (length < segments.size()
                && depth + length < path.size()
                && segments.get(length).equals(path.get(depth + length))) {
            length++;
        }
        return length;
    }

    /** Returns the value of the first route that matches a request, or null if there is none. */
    T findFirst(RequestAttributes request) {
        Entry<T> found = search(
                RouteMatch.splitPath(request.path()),
                request.host(),
                (position, match) -> match.matchesIgnoringPath(request));
        return found == null ? null : found.value;
    }

    /**
     * Returns the position of the first route whose path is a prefix of {@code path} and that satisfies the condition,
     * or -1 if there is none. The condition is evaluated for candidates of all hosts, except those that can't be the
     * first.
     */
    int findFirstAlongPath(List<String> path, BiPredicate<Integer, RouteMatch> condition) {
        Entry<T> found = search(path, null, condition);
        return found == null ? -1 : found.position;
    }

    /** Descends along a path and returns the first matching entry for a host; a null host means any host. */
    private Entry<T> search(List<String> path, String host, BiPredicate<Integer, RouteMatch> condition) {
        String hostName = host == null ? null : host.toLowerCase(Locale.ROOT);
        Entry<T> best = null;
        Node<T> node = root;
        int depth = 0;
        while (best == null || node.lowestPosition < best.position) {
            best = hostName == null
                    ? searchAllHosts(node, condition, best)
                    : searchHost(node, hostName, condition, best);
            Edge<T> edge = depth < path.size() ? node.edges.get(path.get(depth)) : null;
            if (edge == null || commonLength(edge.segments, path, depth) < edge.segments.size()) {
                return best;
            }
            depth += edge.segments.size();
            node = edge.target;
        }
        return best;
    }

    private static <T> Entry<T> searchAllHosts(
            Node<T> node, BiPredicate<Integer, RouteMatch> condition, Entry<T> best) {
        Entry<T> found = best;
        for (List<Entry<T>> entries : node.entriesByHost.values()) {
            found = earlier(entries, condition, found);
        }
        return found;
    }

    /** Searches the routes of one node whose host pattern is any host, the host itself or a domain above it. */
    private static <T> Entry<T> searchHost(
            Node<T> node, String host, BiPredicate<Integer, RouteMatch> condition, Entry<T> best) {
        if (node.entriesByHost.isEmpty()) {
            return best;
        }
        Entry<T> found = earlier(node.entriesByHost.get("*"), condition, best);
        found = earlier(node.entriesByHost.get(host), condition, found);
        for (int dot = host.indexOf('.'); dot >= 0; dot = host.indexOf('.', dot + 1)) {
            found = earlier(node.entriesByHost.get("*" + host.substring(dot)), condition, found);
        }
        return found;
    }

    /** Returns the first entry that satisfies the condition if it precedes {@code best}, otherwise {@code best}. */
    private static <T> Entry<T> earlier(
            List<Entry<T>> entries, BiPredicate<Integer, RouteMatch> condition, Entry<T> best) {
        if (entries == null) {
            return best;
        }
        for (Entry<T> entry : entries) {
            if (best != null && entry.position >= best.position) {
                return best;
            }
            if (condition.test(entry.position, entry.match)) {
                return entry;
            }
        }
        return best;
    }
}
