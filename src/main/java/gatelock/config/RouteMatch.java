package gatelock.config;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Which requests an entry is for.
 *
 * @param host a name, {@code *.} and a name for all hosts under it, or {@code *} for any
 * @param segments of the path that a request's path begins with; none: any path
 * @param methods empty: any
 * @param headers by name in lower case: the value, or {@code *} for any value
 */
public record RouteMatch(String host, List<String> segments, Set<String> methods, Map<String, String> headers) {

    /** The segments of a path; a slash at its end means nothing. */
    static List<String> segments(String path) {
        String bare = path.startsWith("/") ? path.substring(1) : path;
        bare = bare.endsWith("/") ? bare.substring(0, bare.length() - 1) : bare;
        return bare.isEmpty() ? List.of() : List.of(bare.split("/", -1));
    }

    /**
     * Guards against a path that an endpoint may read as another one than this relay does, and that would pass by
     * an entry
     * meant for it: dots that go up, or a slash or dot in disguise. Should hold for any endpoint that tidies
     * paths; harms
     * a client that really has such names, which is told so.
     */
    static boolean odd(String path) {
        if (!path.startsWith("/")) {
            return true;
        }
        if (path.indexOf('%') < 0
                && !path.contains("/.")
                && !path.contains("//")
                && path.indexOf('\\') < 0
                && path.indexOf(';') < 0) {
            return false;
        }
        String plain = path.toLowerCase(Locale.ROOT).replace("%2e", ".");
        if (plain.contains("%2f")
                || plain.contains("%5c")
                || plain.contains("%00")
                || plain.contains("\\")
                || plain.contains("//")) {
            return true;
        }
        for (String segment : plain.split("/", -1)) {
            int semicolon = segment.indexOf(';');
            String name = semicolon < 0 ? segment : segment.substring(0, semicolon);
            if (name.equals(".") || name.equals("..")) {
                return true;
            }
        }
        return false;
    }

    /** Whether all but the path fits, which the table has looked up. */
    boolean fitsBeside(RequestAttributes asked) {
        return hostFits(asked.host()) && (methods.isEmpty() || methods.contains(asked.method())) && headersFit(asked);
    }

    private boolean hostFits(String asked) {
        if (host.equals("*")) {
            return true;
        }
        if (asked == null) {
            return false;
        }
        String name = asked.toLowerCase(Locale.ROOT);
        return host.startsWith("*.")
                ? name.endsWith(host.substring(1)) && name.length() > host.length() - 1
                : name.equals(host);
    }

    private boolean headersFit(RequestAttributes asked) {
        for (Map.Entry<String, String> e : headers.entrySet()) {
            String value = asked.headers().apply(e.getKey());
            if (value == null || !e.getValue().equals("*") && !e.getValue().equals(value)) {
                return false;
            }
        }
        return true;
    }

    /** Whether this is for all requests that the other is for. */
    boolean covers(RouteMatch other) {
        boolean wholeHost = host.equals("*")
                || host.equals(other.host)
                || host.startsWith("*.")
                        && other.host.endsWith(host.substring(1))
                        && other.host.length() > host.length() - 1;
        return wholeHost
                && segments.size() <= other.segments.size()
                && segments.equals(other.segments.subList(0, segments.size()))
                && (methods.isEmpty() || !other.methods.isEmpty() && methods.containsAll(other.methods))
                && headers.entrySet().stream()
                        .allMatch(e -> other.headers.containsKey(e.getKey())
                                && (e.getValue().equals("*") || e.getValue().equals(other.headers.get(e.getKey()))));
    }
}
