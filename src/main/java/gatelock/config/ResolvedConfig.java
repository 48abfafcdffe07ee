package gatelock.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A draft of the right form with its routes' lines read, and what each inherits or gets by default. */
final class ResolvedConfig {
    private final ConfigDocument draft;
    private final List<Line> lines = new ArrayList<>();
    private final Map<String, Line> byName = new HashMap<>();

    ResolvedConfig(ConfigDocument draft) {
        this.draft = draft;
        JsonNode routes = draft.root().path("routes");
        for (int i = 0; i < routes.size(); i++) {
            Line line = new Line(routes.get(i), i);
            lines.add(line);
            // Of two with one name the first is meant; the second is a finding.
            byName.putIfAbsent(line.name(), line);
        }
    }

    JsonNode root() {
        return draft.root();
    }

    List<Line> lines() {
        return lines;
    }

    Line line(String name) {
        return byName.get(name);
    }

    /** What stands under defaults, or null. */
    String byDefault(String field) {
        return root().path("defaults").path(field).asText(null);
    }

    /** One route as written, read together with those it inherits from. */
    final class Line {
        private final JsonNode node;
        private final int place;

        private Line(JsonNode node, int place) {
            this.node = node;
            this.place = place;
        }

        String name() {
            return node.path("name").asText();
        }

        int place() {
            return place;
        }

        String pointer() {
            return "/routes/" + place;
        }

        boolean isAbstract() {
            return node.path("abstract").asBoolean(false);
        }

        /** The line it inherits from, if that stands before it. */
        Line parent() {
            Line parent = byName.get(node.path("inherits").asText(""));
            return parent == null || parent.place >= place ? null : parent;
        }

        String inherits() {
            return node.path("inherits").asText(null);
        }

        /** The line that says this field, itself or the nearest it inherits from; null: none does. */
        Line sayer(String field) {
            Line line = this;
            while (line != null && !line.node.has(field)) {
                line = line.parent();
            }
            return line;
        }

        private JsonNode said(String field) {
            Line line = sayer(field);
            return line == null ? com.fasterxml.jackson.databind.node.MissingNode.getInstance() : line.node.get(field);
        }

        String className() {
            return said("class").asText(null);
        }

        String pool() {
            return said("pool").asText(byDefault("pool"));
        }

        /** What it or a parent names; the pool's and the default are not asked. */
        String retries() {
            return said("retries").asText(null);
        }

        List<String> limits() {
            JsonNode names = sayer("limits") == null ? root().path("defaults").path("limits") : said("limits");
            List<String> limits = new ArrayList<>();
            names.forEach(n -> limits.add(n.asText()));
            return limits;
        }

        /** What it or a parent says of sessions, or null. */
        SessionPolicy sessions() {
            JsonNode node = said("sessions");
            if (node.isMissingNode()) {
                return null;
            }
            Set<String> subprotocols = new HashSet<>();
            node.path("subprotocols").forEach(n -> subprotocols.add(n.asText()));
            return new SessionPolicy(
                    node.path("messageBytes").asInt(65_536),
                    (long) (node.path("idleS").asDouble(300) * 1e6),
                    (long) (node.path("pingS").asDouble(20) * 1e6),
                    node.path("framesPerS").asInt(200),
                    subprotocols);
        }

        RouteMatch match() {
            Set<String> methods = new HashSet<>();
            said("methods").forEach(m -> methods.add(m.asText()));
            Map<String, String> headers = new TreeMap<>();
            said("headers")
                    .properties()
                    .forEach(e -> headers.put(
                            e.getKey().toLowerCase(Locale.ROOT), e.getValue().asText()));
            return new RouteMatch(
                    said("host").asText("*"), RouteMatch.segments(said("path").asText("/")), methods, headers);
        }
    }
}
