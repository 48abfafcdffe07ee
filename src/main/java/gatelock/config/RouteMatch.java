package gatelock.config;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * The conditions under which a route matches a request.
 *
 * @param host a host name, {@code *.} and a name for all hosts below it, or {@code *} for any host
 * @param segments segments with which the request's path must begin; empty: any path
 * @param methods allowed methods; empty: any method
 * @param headers required headers by name in lower case, with their value, or {@code *} for any value
 */
public record RouteMatch(String host, List<String> segments, Set<String> methods, Map<String, String> headers) {
    private static final String ANY = "*";
    /** Begins a host pattern that stands for all hosts below a name. */
    private static final String SUBDOMAINS = "*.";

    /** Splits a path into its segments; a slash at the end makes no difference. */
    static List<String> splitPath(String path) {
        String trimmed = path.startsWith("/") ? path.substring(1) : path;
        trimmed = trimmed.endsWith("/") ? trimmed.substring(0, trimmed.length() - 1) : trimmed;
        return trimmed.isEmpty() ? List.of() : List.of(trimmed.split("/", -1));
    }

    /**
     * Whether an endpoint may read a path as another path than this relay does. Guards against requests that would so
     * get past the route that is meant for them: dot segments, and slashes or dots that are percent-encoded. Should
     * hold for any endpoint that normalizes paths; harms clients that really use such names, which are told so by
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

    /** A quick test that holds for nearly all paths: none of the characters that make a path ambiguous occur. */
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

    /** Whether host, method and headers match; the path is matched by {@link RouteTable}. */
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

    /** Whether a host name or pattern lies below the name of a pattern that begins with {@code *.}. */
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

    /** Whether this matches every request that the other one matches. */
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
