package gatelock.http;

import gatelock.api.DecisionEngine;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.Cookie;
import io.undertow.util.Cookies;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;

/** The request headers that the relay itself uses, and the parsing of their values. */
final class RequestHeaders {
    static final HttpString TRACE_ID = new HttpString("X-Trace-Id");
    static final HttpString CUSTOMER = new HttpString("X-Customer");
    static final HttpString EXPIRES_IN_MS = new HttpString("X-Expires-In-Ms");
    static final HttpString SIZE_HINT = new HttpString("X-Size-Hint");
    static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
    /** The cookie that contains the sticky key of a request. */
    static final String KEY_COOKIE = "k";
    /** Headers that apply to one connection only, or that the relay sets for each attempt. */
    static final Set<HttpString> NOT_FORWARDED = Set.of(
            Headers.CONNECTION,
            Headers.KEEP_ALIVE,
            Headers.TRANSFER_ENCODING,
            Headers.CONTENT_LENGTH,
            Headers.TE,
            Headers.TRAILER,
            Headers.UPGRADE,
            Headers.EXPECT,
            EXPIRES_IN_MS);

    /** Headers of the opening handshake of a session, which the relay makes with each side itself. */
    static final Set<HttpString> NOT_FORWARDED_FOR_SESSIONS = Set.of(
            Headers.SEC_WEB_SOCKET_KEY,
            Headers.SEC_WEB_SOCKET_VERSION,
            Headers.SEC_WEB_SOCKET_EXTENSIONS,
            Headers.SEC_WEB_SOCKET_PROTOCOL);

    /** The maximum number of digits; the value fits an {@code int}. */
    static final int MAX_DIGITS = 9;

    /** No head that the relay accepts has more: the size of the head is the only limit for the number of cookies. */
    private static final int MAX_COOKIES = ReadAheadBuffer.MAX_BYTES;

    private static final int MAX_ID_LENGTH = 256;
    /** One hour; an announced cost above it is ignored. */
    private static final long MAX_COST_US = 3_600_000_000L;
    /** The parameters of the 64-bit FNV-1a hash. */
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

    private static final long FNV_PRIME = 0x100000001b3L;

    private RequestHeaders() {}

    /** Returns the value of a header that must occur exactly once and be neither empty nor too long; otherwise null. */
    static String singleValue(HeaderMap headers, HttpString name) {
        String value = headers.count(name) == 1 ? headers.getFirst(name) : null;
        return value == null || value.isEmpty() || value.length() > MAX_ID_LENGTH ? null : value;
    }

    /**
     * Parses how long a client waits for the response.
     *
     * @param text the value of the header
     * @param routeTimeoutUs the timeout of the route of the request, in microseconds; 0 if it has none
     * @return the time in milliseconds; 0 if the text is not a whole number from 1 to ten times the timeout of the
     *     route
     */
    static long expiresInMs(String text, long routeTimeoutUs) {
        boolean digits = text.length() <= MAX_DIGITS && text.chars().allMatch(c -> c >= '0' && c <= '9');
        long ms = digits && !text.isEmpty() ? Long.parseLong(text) : 0;
        long maxMs = routeTimeoutUs / 100;
        return routeTimeoutUs > 0 && ms > maxMs ? 0 : ms;
    }

    /** Returns the host that a request names, without the port, or null if it names none. */
    static String host(HttpServerExchange exchange) {
        String host = exchange.getRequestHeaders().getFirst(Headers.HOST);
        if (host == null || host.endsWith("]")) {
            // An IPv6 address without a port ends with a bracket.
            return host;
        }
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    /**
     * Returns the value of the cookie with the sticky key, or null if there is none. The key only helps to choose an
     * endpoint, so cookies that cannot be parsed, such as {@code $Version=x}, count as absent.
     */
    static String keyCookie(HttpServerExchange exchange) {
        HeaderValues values = exchange.getRequestHeaders().get(Headers.COOKIE);
        if (values == null) {
            return null;
        }
        // Not with the exchange, which would keep all cookies until the response is written.
        Set<Cookie> cookies = new LinkedHashSet<>();
        try {
            Cookies.parseRequestCookies(MAX_COOKIES, false, values, cookies);
            return cookies.stream()
                    .filter(cookie -> cookie.getName().equals(KEY_COOKIE))
                    .map(Cookie::getValue)
                    .findFirst()
                    .orElse(null);
        } catch (IllegalArgumentException | IllegalStateException e) {
            return null;
        }
    }

    /** Converts a sticky key to a non-negative number: hexadecimal digits are parsed, any other text is hashed. */
    static long key(String text) {
        if (text == null || text.isEmpty()) {
            return DecisionEngine.NO_KEY;
        }
        try {
            return Long.parseUnsignedLong(text, 16) & Long.MAX_VALUE;
        } catch (NumberFormatException e) {
            long hash = FNV_OFFSET_BASIS;
            for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
                hash = (hash ^ b) * FNV_PRIME;
            }
            return hash & Long.MAX_VALUE;
        }
    }

    /**
     * Returns the announced cost in microseconds. The cost is only a hint, so an invalid one is ignored and results in
     * 0.
     */
    static long costUs(String text) {
        if (text == null) {
            return 0;
        }
        try {
            long us = Long.parseLong(text.trim());
            return us > MAX_COST_US ? 0 : Math.max(0, us);
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
