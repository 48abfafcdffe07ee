package gatelock.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;

/** Builds the head of a request as it is forwarded to endpoints. */
final class ForwardedRequestHead {
    private static final int INITIAL_CAPACITY = 256;
    private static final String LINE_END = "\r\n";

    private ForwardedRequestHead() {}

    /**
     * Returns the request line and the headers as they were received, without the headers that apply only to the client
     * connection.
     *
     * @param exchange the request
     * @param bodyLength the length of its body, which is always forwarded with a Content-Length
     * @param opensSession whether it opens a session; then the headers of its opening handshake are left out, too
     * @return the bytes, without the headers that differ between attempts and without the empty line at the end
     */
    static byte[] of(HttpServerExchange exchange, int bodyLength, boolean opensSession) {
        StringBuilder head = new StringBuilder(INITIAL_CAPACITY);
        head.append(exchange.getRequestMethod()).append(' ').append(exchange.getRequestURI());
        if (!exchange.getQueryString().isEmpty()) {
            head.append('?').append(exchange.getQueryString());
        }
        head.append(" HTTP/1.1").append(LINE_END);
        for (HeaderValues values : exchange.getRequestHeaders()) {
            HttpString name = values.getHeaderName();
            boolean ofHandshake = opensSession && RequestHeaders.NOT_FORWARDED_FOR_SESSIONS.contains(name);
            if (!ofHandshake && !RequestHeaders.NOT_FORWARDED.contains(name)) {
                for (String value : values) {
                    head.append(name).append(": ").append(value).append(LINE_END);
                }
            }
        }
        if (bodyLength > 0 || !exchange.getRequestMethod().equalToString("GET")) {
            head.append("Content-Length: ").append(bodyLength).append(LINE_END);
        }
        return head.toString().getBytes(StandardCharsets.ISO_8859_1);
    }
}
