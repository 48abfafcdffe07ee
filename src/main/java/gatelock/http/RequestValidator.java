package gatelock.http;

import gatelock.api.RoutePolicy;
import gatelock.net.ResponseReader;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;

/** Checks whether a request is well formed, before its body is read. */
final class RequestValidator {
    /** The result for a valid request. */
    static final int VALID = 0;

    private final RequestReader.RequestNames names;

    RequestValidator(RequestReader.RequestNames names) {
        this.names = names;
    }

    /**
     * Checks a request. Undertow itself rejects one with two lengths, or with a length that is negative or not a
     * number; a length beyond the range of a long it would misread, hence the check of the digits here.
     *
     * @param exchange the request
     * @param route the index of its route, or null if no route matches
     * @param length the length of its body as stated, or -1 if none is stated
     * @return {@link #VALID}, or the status with which to reject it
     */
    int validate(HttpServerExchange exchange, Integer route, long length) {
        if (route == null) {
            return StatusCodes.NOT_FOUND;
        }
        HeaderMap headers = exchange.getRequestHeaders();
        RoutePolicy.RetrySafety retrySafety = names.routePolicies().get(route).retrySafety();
        boolean get = exchange.getRequestMethod().equalToString("GET");
        boolean post = exchange.getRequestMethod().equalToString("POST");
        boolean idempotent = retrySafety == RoutePolicy.RetrySafety.RETRIABLE;
        if (get != idempotent || (!get && !post)) {
            return StatusCodes.METHOD_NOT_ALLOWED;
        }
        int body = validateBody(headers, get, length);
        if (body != VALID) {
            return body;
        }
        if (headers.contains(Headers.EXPECT)) {
            return StatusCodes.EXPECTATION_FAILED;
        }
        boolean identified = RequestHeaders.single(headers, RequestHeaders.TRACE_ID) != null;
        boolean keyed = retrySafety != RoutePolicy.RetrySafety.DEDUPED
                || RequestHeaders.single(headers, RequestHeaders.IDEMPOTENCY_KEY) != null;
        boolean valid = identified
                && keyed
                && hasValidTimeout(headers, names.routeTimeoutsUs().get(route));
        return valid ? VALID : StatusCodes.BAD_REQUEST;
    }

    private static int validateBody(HeaderMap headers, boolean get, long length) {
        String coding = headers.getFirst(Headers.TRANSFER_ENCODING);
        boolean unknownCoding = coding != null && !coding.trim().equalsIgnoreCase("chunked");
        boolean getWithBody = get && (coding != null || length > 0);
        if (unknownCoding || getWithBody) {
            return StatusCodes.BAD_REQUEST;
        }
        if (!get && length < 0 && coding == null) {
            return StatusCodes.LENGTH_REQUIRED;
        }
        String statedLength = headers.getFirst(Headers.CONTENT_LENGTH);
        boolean tooManyDigits = statedLength != null && statedLength.length() > RequestHeaders.MAX_DIGITS;
        return length > ResponseReader.MAX_BODY_BYTES || tooManyDigits ? StatusCodes.REQUEST_ENTITY_TOO_LARGE : VALID;
    }

    private static boolean hasValidTimeout(HeaderMap headers, long routeTimeoutUs) {
        String expires = headers.getFirst(RequestHeaders.EXPIRES_IN_MS);
        return expires == null
                || (headers.count(RequestHeaders.EXPIRES_IN_MS) == 1
                        && RequestHeaders.expiresInMs(expires, routeTimeoutUs) > 0);
    }
}
