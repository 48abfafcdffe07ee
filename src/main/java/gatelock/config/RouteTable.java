package gatelock.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiPredicate;

/**
 * An ordered table of routes in which the first one that matches a request is found quickly. It is a compressed trie (a
 * radix tree) over path segments: an edge carries the segments that lead to no choice, a node the routes whose path ends
 * there, by host and in order. Each node knows the lowest position at or below it, so that a search ends where no
 * earlier route can come.
 *
 * @param <T> the value of a route
 */
final class RouteTable<T> {
    private final Node<T> root = new Node<>();
    private final int size;

    private record Entry<T>(int position, RouteMatch match, T value) {}

    private static final class Node<T> {
        /** Routes whose path ends here, by their host pattern, each list in order of position. */
        private Map<String, List<Entry<T>>> entriesByHost = Map.of();
        /** Edges by their first segment. */
        private Map<String, Edge<T>> edges = Map.of();
        /** The lowest position of all routes at or below this node. */
        private int lowestPosition = Integer.MAX_VALUE;

        // Maps are created on demand, as most nodes of a large table have only one of the two.
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

    private static final class Edge<T> {
        private List<String> segments;
        private Node<T> target;

        private Edge(List<String> segments, Node<T> target) {
            this.segments = List.copyOf(segments);
            this.target = target;
        }

        /** Splits the edge after so many segments, with a new node between the two parts. */
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
     * @param matches the routes' conditions in order
     * @param values the value of each route, in the same order
     */
    RouteTable(List<RouteMatch> matches, List<T> values) {
        size = matches.size();
        for (int i = 0; i < size; i++) {
            RouteMatch match = matches.get(i);
            findOrCreateNode(match.segments(), i).addEntry(new Entry<>(i, match, values.get(i)));
        }
    }

    int size() {
        return size;
    }

    /** Returns the node where a path ends, and records the position in all nodes on the way. */
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

    /** Returns how many segments of an edge agree with a path from that depth on. */
    private static int commonLength(List<String> segments, List<String> path, int depth) {
        int length = 0;
        while (length < segments.size()
                && depth + length < path.size()
                && segments.get(length).equals(path.get(depth + length))) {
            length++;
        }
        return length;
    }

    /** Returns the value of the first route that matches a request, or null. */
    T findFirst(RequestAttributes request) {
        Entry<T> found = search(
                RouteMatch.splitPath(request.path()),
                request.host(),
                (position, match) -> match.matchesIgnoringPath(request));
        return found == null ? null : found.value;
    }

    /**
     * Returns the position of the first route whose path is a prefix of this one and that satisfies the condition, or
     * -1. The condition sees each candidate that could still be the first, of whatever host.
     */
    int findFirstAlongPath(List<String> path, BiPredicate<Integer, RouteMatch> condition) {
        Entry<T> found = search(path, null, condition);
        return found == null ? -1 : found.position;
    }

    /** Descends along a path, with candidates of that host; null: of any host. */
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

    /** Searches the routes of one node for any host, for the host itself and for the domains above it. */
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

    /** Returns the first entry that satisfies the condition if it comes before the best one so far, or else that one. */
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
