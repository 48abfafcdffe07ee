package gatelock.http;

import gatelock.api.RoutePolicy;
import gatelock.net.ResponseReader;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;

/** Validates a request before its body is read. */
final class RequestValidator {
    /** The result for a valid request. */
    static final int VALID = 0;

    private final RequestReader.RequestNames names;

    RequestValidator(RequestReader.RequestNames names) {
        this.names = names;
    }

    /**
     * Validates a request. Undertow itself rejects a request with two lengths, or with a length that is negative or not
     * a number. It misreads a length beyond the range of a {@code long}, which is why the number of digits is checked
     * here.
     *
     * @param exchange the request
     * @param route the index of its route, or null if no route matches
     * @param length the declared length of its body, or -1 if none is declared
     * @return {@link #VALID}, or the status with which to reject the request
     */
    int validate(HttpServerExchange exchange, Integer route, long length) {
        if (route == null) {
            return StatusCodes.NOT_FOUND;
        }
        HeaderMap headers = exchange.getRequestHeaders();
        RoutePolicy.RetrySafety retrySafety = names.routePolicies().get(route).retrySafety();
        boolean isGet = exchange.getRequestMethod().equalToString("GET");
        boolean isPost = exchange.getRequestMethod().equalToString("POST");
        boolean isRetriable = retrySafety == RoutePolicy.RetrySafety.RETRIABLE;
        if (isGet != isRetriable || (!isGet && !isPost)) {
            return StatusCodes.METHOD_NOT_ALLOWED;
        }
        int bodyStatus = validateBody(headers, isGet, length);
        if (bodyStatus != VALID) {
            return bodyStatus;
        }
        if (headers.contains(Headers.EXPECT)) {
            return StatusCodes.EXPECTATION_FAILED;
        }
        boolean hasTraceId = RequestHeaders.singleValue(headers, RequestHeaders.TRACE_ID) != null;
        boolean hasRequiredKey = retrySafety != RoutePolicy.RetrySafety.DEDUPED
                || RequestHeaders.singleValue(headers, RequestHeaders.IDEMPOTENCY_KEY) != null;
        boolean valid = hasTraceId
                && hasRequiredKey
                && hasValidTimeout(headers, names.routeTimeoutsUs().get(route));
        return valid ? VALID : StatusCodes.BAD_REQUEST;
    }

    private static int validateBody(HeaderMap headers, boolean isGet, long length) {
        String coding = headers.getFirst(Headers.TRANSFER_ENCODING);
        boolean unknownCoding = coding != null && !coding.trim().equalsIgnoreCase("chunked");
        boolean getWithBody = isGet && (coding != null || length > 0);
        if (unknownCoding || getWithBody) {
            return StatusCodes.BAD_REQUEST;
        }
        if (!isGet && length < 0 && coding == null) {
            return StatusCodes.LENGTH_REQUIRED;
        }
        String declaredLength = headers.getFirst(Headers.CONTENT_LENGTH);
        boolean tooManyDigits = declaredLength != null && declaredLength.length() > RequestHeaders.MAX_DIGITS;
        return length > ResponseReader.MAX_BODY_BYTES || tooManyDigits ? StatusCodes.REQUEST_ENTITY_TOO_LARGE : VALID;
    }

    private static boolean hasValidTimeout(HeaderMap headers, long routeTimeoutUs) {
        String expires = headers.getFirst(RequestHeaders.EXPIRES_IN_MS);
        return expires == null
                || (headers.count(RequestHeaders.EXPIRES_IN_MS) == 1
                        && RequestHeaders.expiresInMs(expires, routeTimeoutUs) > 0);
    }
}
