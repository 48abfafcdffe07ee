package gatelock.http;

import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.IntPredicate;
import java.util.function.Predicate;

/**
 * The head of one request as the client wrote it. Undertow decodes and merges parts of a head, so it only serves to
 * understand a request; what is forwarded is taken from here.
 */
final class RequestHead {
    private static final Set<String> VERSIONS = Set.of("HTTP/1.0", "HTTP/1.1");
    private static final String TOKEN_DELIMITERS = "\"(),/:;<=>?@[\\]{}";
    private static final char DELETE = 127;
    /** The maximum number of header lines. */
    private static final int MAX_HEADERS = 200;
    /** What Undertow gets in place of a head that the relay rejects: a request whose body never comes. */
    private static final byte[] REJECTED =
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final String text;
    private final String method;
    private final String target;
    private final String version;
    private final List<String> headerLines = new ArrayList<>();
    private final boolean wellFormed;
    private final boolean refused;
    private int headersStart;

    /**
     * Reads a head.
     *
     * @param bytes the head, up to and including the empty line at its end
     */
    RequestHead(byte[] bytes) {
        this(bytes, false);
    }

    private RequestHead(byte[] bytes, boolean refused) {
        this.refused = refused;
        text = new String(bytes, StandardCharsets.ISO_8859_1);
        // RFC 9112, 3: method, target and version, separated by single spaces. The target is not interpreted here.
        String requestLine = readLines();
        int targetStart = requestLine.indexOf(' ') + 1;
        int versionStart = requestLine.lastIndexOf(' ') + 1;
        boolean hasThreeParts = targetStart > 1 && versionStart > targetStart + 1;
        method = hasThreeParts ? requestLine.substring(0, targetStart - 1) : "";
        target = hasThreeParts ? requestLine.substring(targetStart, versionStart - 1) : "";
        version = requestLine.substring(versionStart);
        wellFormed = hasThreeParts
                && isVisible(method)
                && isVisible(target)
                && VERSIONS.contains(version)
                && headerLines.size() <= MAX_HEADERS
                && headerLines.stream().allMatch(RequestHead::isHeaderLine);
    }

    /** Returns the head of a request for which there is no memory. It is not well-formed. */
    static RequestHead refused() {
        return new RequestHead(new byte[0], true);
    }

    /** Returns whether the head was not read because there is no memory for it. */
    boolean isRefused() {
        return refused;
    }

    /** Reads all lines and returns the first one that is not empty, which is the request line. */
    private String readLines() {
        String requestLine = "";
        int start = 0;
        for (int end = text.indexOf('\n'); end >= 0; end = text.indexOf('\n', start)) {
            String line = text.substring(start, end > start && text.charAt(end - 1) == '\r' ? end - 1 : end);
            start = end + 1;
            if (requestLine.isEmpty()) {
                requestLine = line;
                headersStart = start;
            } else if (!line.isEmpty()) {
                headerLines.add(line);
            }
        }
        return requestLine;
    }

    /** Returns whether a line is a header that every parser reads in the same way. Continuation lines are not. */
    private static boolean isHeaderLine(String line) {
        int colon = line.indexOf(':');
        return colon > 0
                && all(line, 0, colon, c -> c > ' ' && c < DELETE && TOKEN_DELIMITERS.indexOf(c) < 0)
                && all(line, colon + 1, line.length(), c -> c == '\t' || (c >= ' ' && c != DELETE));
    }

    /** Returns whether a text consists of visible ASCII characters, without spaces. */
    private static boolean isVisible(String text) {
        return all(text, 0, text.length(), c -> c > ' ' && c < DELETE);
    }

    private static boolean all(String line, int start, int end, IntPredicate condition) {
        for (int i = start; i < end; i++) {
            if (!condition.test(line.charAt(i))) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether the head is of the form of RFC 9112 and has not too many headers. Another form may mean something
     * else to the endpoint than to the relay.
     */
    boolean isWellFormed() {
        return wellFormed;
    }

    /** Returns the target of the request: path and query as they were written. */
    String target() {
        return target;
    }

    /** Returns the path of the target as it was written. */
    String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Returns the header lines of a well-formed head, without their line ends, except those with certain names. */
    List<String> headerLinesExcept(Predicate<HttpString> excluded) {
        return headerLines.stream()
                .filter(line -> !excluded.test(new HttpString(line.substring(0, line.indexOf(':')))))
                .toList();
    }

    /**
     * Returns the head as Undertow gets it: without its query, from which Undertow would build a map with up to a
     * thousand entries. A head that is not well-formed is replaced, so that Undertow cannot understand it in a way of
     * its own.
     */
    byte[] forParser() {
        if (!wellFormed) {
            return REJECTED.clone();
        }
        String withoutQuery = method + " " + path() + " " + version + "\r\n" + text.substring(headersStart);
        return withoutQuery.getBytes(StandardCharsets.ISO_8859_1);
    }
}
