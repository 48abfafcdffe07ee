package gatelock.config;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * The conditions under which a route matches a request.
 *
 * @param host a host name, {@code *.} followed by a domain for all hosts below it, or {@code *} for any host
 * @param segments segments with which the request's path must begin; empty for any path
 * @param methods allowed methods; empty for any method
 * @param headers required values by lower-case header name; the value {@code *} stands for any value
 */
public record RouteMatch(String host, List<String> segments, Set<String> methods, Map<String, String> headers) {
    private static final String ANY = "*";
    /** The prefix of a host pattern that matches all hosts below a domain. */
    private static final String SUBDOMAINS = "*.";

    /** Splits a path into its segments; a trailing slash is ignored. */
    static List<String> splitPath(String path) {
        String trimmed = path.startsWith("/") ? path.substring(1) : path;
        trimmed = trimmed.endsWith("/") ? trimmed.substring(0, trimmed.length() - 1) : trimmed;
        return trimmed.isEmpty() ? List.of() : List.of(trimmed.split("/", -1));
    }

    /**
     * Returns whether an endpoint may interpret a path differently than this relay does, because of dot segments, empty
     * segments, backslashes, null bytes, or percent-encoded slashes or dots. A request with such a path could bypass
     * the route that is meant for it at any endpoint that normalizes paths. Clients that really use such paths get
     * status 400.
     */
    static boolean isAmbiguousPath(String path) {
        if (!path.startsWith("/")) {
            return true;
        }
        if (isPlain(path)) {
            return false;
        }
        String decoded = path.toLowerCase(Locale.ROOT).replace("%2e", ".");
        return hasHiddenSeparator(decoded) || hasDotSegment(decoded);
    }

    /**
     * Returns whether a path has none of the characters that can make it ambiguous; a quick test true of most paths.
     */
    private static boolean isPlain(String path) {
        return path.indexOf('%') < 0
                && !path.contains("/.")
                && !path.contains("//")
                && path.indexOf('\\') < 0
                && path.indexOf(';') < 0;
    }

    private static boolean hasHiddenSeparator(String lowerCasePath) {
        return lowerCasePath.contains("%2f")
                || lowerCasePath.contains("%5c")
                || lowerCasePath.contains("%00")
                || lowerCasePath.contains("\\")
                || lowerCasePath.contains("//");
    }

    private static boolean hasDotSegment(String path) {
        for (String segment : path.split("/", -1)) {
            int parameters = segment.indexOf(';');
            String name = parameters < 0 ? segment : segment.substring(0, parameters);
            if (name.equals(".") || name.equals("..")) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether host, method and headers match; {@link RouteTable} matches the path. */
    boolean matchesIgnoringPath(RequestAttributes request) {
        return matchesHost(request.host())
                && (methods.isEmpty() || methods.contains(request.method()))
                && matchesHeaders(request);
    }

    private boolean matchesHost(String requestedHost) {
        if (host.equals(ANY)) {
            return true;
        }
        if (requestedHost == null) {
            return false;
        }
        String name = requestedHost.toLowerCase(Locale.ROOT);
        return host.startsWith(SUBDOMAINS) ? isBelow(name, host) : name.equals(host);
    }

    /** Returns whether a host name or pattern lies below the domain of a pattern that begins with {@code *.}. */
    private static boolean isBelow(String name, String subdomainPattern) {
        String suffix = subdomainPattern.substring(1);
        return name.endsWith(suffix) && name.length() > suffix.length();
    }

    private boolean matchesHeaders(RequestAttributes request) {
        for (Map.Entry<String, String> required : headers.entrySet()) {
            String value = request.headers().apply(required.getKey());
            boolean matches = value != null
                    && (required.getValue().equals(ANY) || required.getValue().equals(value));
            if (!matches) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether this match includes every request that the other one matches. */
    boolean covers(RouteMatch other) {
        return coversHost(other.host)
                && segments.size() <= other.segments.size()
                && segments.equals(other.segments.subList(0, segments.size()))
                && (methods.isEmpty() || (!other.methods.isEmpty() && methods.containsAll(other.methods)))
                && coversHeaders(other);
    }

    private boolean coversHost(String otherHost) {
        return host.equals(ANY) || host.equals(otherHost) || (host.startsWith(SUBDOMAINS) && isBelow(otherHost, host));
    }

    private boolean coversHeaders(RouteMatch other) {
        for (Map.Entry<String, String> required : headers.entrySet()) {
            String otherValue = other.headers.get(required.getKey());
            boolean covered = otherValue != null
                    && (required.getValue().equals(ANY) || required.getValue().equals(otherValue));
            if (!covered) {
                return false;
            }
        }
        return true;
    }
}
