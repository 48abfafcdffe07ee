package gatelock.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A document that satisfies the schema, with the fields of each route resolved from its ancestors and the defaults. */
final class ResolvedConfig {
    private static final int DEFAULT_MAX_MESSAGE_BYTES = 65_536;
    private static final double DEFAULT_IDLE_TIMEOUT_S = 300;
    private static final double DEFAULT_PING_INTERVAL_S = 20;
    private static final int DEFAULT_MAX_FRAMES_PER_S = 200;
    private static final double US_PER_S = 1e6;

    private final ConfigDocument document;
    private final List<RouteDefinition> routes = new ArrayList<>();
    private final Map<String, RouteDefinition> routesByName = new HashMap<>();

    /** Creates a view of a document, which must satisfy the schema. */
    ResolvedConfig(ConfigDocument document) {
        this.document = document;
        JsonNode nodes = document.root().path("routes");
        for (int i = 0; i < nodes.size(); i++) {
            RouteDefinition route = new RouteDefinition(nodes.get(i), i);
            routes.add(route);
            // The first of several routes with the same name is used; the others are reported as errors.
            routesByName.putIfAbsent(route.name(), route);
        }
    }

    /** Returns the root object of the document. */
    JsonNode root() {
        return document.root();
    }

    /** Returns a top-level section such as {@code pools}, or a missing node. */
    JsonNode section(String name) {
        return root().path(name);
    }

    /** Returns the entry of that name in a top-level section, or a missing node. */
    JsonNode definition(String section, String name) {
        return section(section).path(name);
    }

    /** Returns whether a top-level section has an entry of that name. */
    boolean defines(String section, String name) {
        return section(section).has(name);
    }

    /** Returns all routes in document order, including abstract ones. */
    List<RouteDefinition> routes() {
        return routes;
    }

    /** Returns the route of that name, or null. */
    RouteDefinition route(String name) {
        return routesByName.get(name);
    }

    /** Returns the text of a field under {@code defaults}, or null if it is not set. */
    String defaultValue(String field) {
        return section("defaults").path(field).asText(null);
    }

    /** Returns the name of a pool's fallback, or null if it has none. */
    String fallbackOf(String pool) {
        return definition("pools", pool).path("fallback").asText(null);
    }

    /** Returns the name of the retry policy that a pool's definition sets, or null if it sets none. */
    String retryPolicyOf(String pool) {
        return definition("pools", pool).path("retries").asText(null);
    }

    /** Returns a pool followed by its fallbacks in order, up to the first that is undefined or already in the list. */
    List<String> fallbackChain(String pool) {
        Set<String> chain = new LinkedHashSet<>();
        String current = pool;
        while (current != null && defines("pools", current) && chain.add(current)) {
            current = fallbackOf(current);
        }
        return List.copyOf(chain);
    }

    /** One route of the document; fields that it does not set are read from the routes it inherits from. */
    final class RouteDefinition {
        private final JsonNode node;
        private final int index;

        private RouteDefinition(JsonNode node, int index) {
            this.node = node;
            this.index = index;
        }

        /** Returns the name of the route. */
        String name() {
            return node.path("name").asText();
        }

        /** Returns the position in the document's list of routes. */
        int index() {
            return index;
        }

        /** Returns the JSON pointer of the route in the document. */
        String pointer() {
            return "/routes/" + index;
        }

        /** Returns whether the route only serves as a parent of other routes and matches no requests itself. */
        boolean isAbstract() {
            return node.path("abstract").asBoolean(false);
        }

        /** Returns the name under {@code inherits}, or null; the route of that name may not exist. */
        String parentName() {
            return node.path("inherits").asText(null);
        }

        /** Returns the route that this one inherits from, or null; only a route that precedes this one counts. */
        RouteDefinition parent() {
            RouteDefinition parent = routesByName.get(node.path("inherits").asText(""));
            return parent == null || parent.index >= index ? null : parent;
        }

        /** Returns this route or its nearest ancestor that sets a field, or null if none does. */
        RouteDefinition declaringRoute(String field) {
            RouteDefinition route = this;
            while (route != null && !route.node.has(field)) {
                route = route.parent();
            }
            return route;
        }

        /**
         * Returns the JSON pointer of a field where it is set, or of this route if neither it nor an ancestor sets it.
         */
        String pointerOf(String field) {
            RouteDefinition declaring = declaringRoute(field);
            return declaring == null ? pointer() : declaring.pointer() + "/" + field;
        }

        private JsonNode value(String field) {
            RouteDefinition declaring = declaringRoute(field);
            return declaring == null ? MissingNode.getInstance() : declaring.node.get(field);
        }

        /** Returns the name of the request class, or null if none is set. */
        String className() {
            return value("class").asText(null);
        }

        /** Returns the name of the pool, falling back to the default pool; null means all endpoints. */
        String pool() {
            return value("pool").asText(defaultValue("pool"));
        }

        /**
         * Returns the retry policy that the route or an ancestor names, or null; ignores the pool's and the default.
         */
        String retryPolicy() {
            return value("retries").asText(null);
        }

        /** Returns the names of the limits, falling back to the default limits. */
        List<String> limits() {
            boolean declared = declaringRoute("limits") != null;
            JsonNode names = declared ? value("limits") : section("defaults").path("limits");
            List<String> limits = new ArrayList<>();
            names.forEach(name -> limits.add(name.asText()));
            return limits;
        }

        /** Returns the policy for WebSocket sessions that the route or an ancestor sets, or null if none does. */
        SessionPolicy sessionPolicy() {
            JsonNode sessions = value("sessions");
            if (sessions.isMissingNode()) {
                return null;
            }
            Set<String> subprotocols = new HashSet<>();
            sessions.path("subprotocols").forEach(name -> subprotocols.add(name.asText()));
            return new SessionPolicy(
                    sessions.path("messageBytes").asInt(DEFAULT_MAX_MESSAGE_BYTES),
                    (long) (sessions.path("idleS").asDouble(DEFAULT_IDLE_TIMEOUT_S) * US_PER_S),
                    (long) (sessions.path("pingS").asDouble(DEFAULT_PING_INTERVAL_S) * US_PER_S),
                    sessions.path("framesPerS").asInt(DEFAULT_MAX_FRAMES_PER_S),
                    subprotocols);
        }

        /** Returns the conditions under which the route matches a request. */
        RouteMatch match() {
            Set<String> methods = new HashSet<>();
            value("methods").forEach(method -> methods.add(method.asText()));
            Map<String, String> headers = new TreeMap<>();
            for (Map.Entry<String, JsonNode> header : value("headers").properties()) {
                headers.put(
                        header.getKey().toLowerCase(Locale.ROOT),
                        header.getValue().asText());
            }
            return new RouteMatch(
                    value("host").asText("*"),
                    RouteMatch.splitPath(value("path").asText("/")),
                    methods,
                    headers);
        }
    }
}
