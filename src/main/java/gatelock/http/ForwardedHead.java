package gatelock.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import java.nio.charset.StandardCharsets;

/** Writes the head of a request as it is forwarded to endpoints. */
final class ForwardedHead {
    private static final int USUAL_LENGTH = 256;
    private static final String LINE_END = "\r\n";

    private ForwardedHead() {}

    /**
     * The request line and the headers as they came, but for the headers that hold for the client's connection only.
     *
     * @param exchange the request
     * @param bodyLength the length of its body, which is always forwarded with a Content-Length
     * @return the bytes, without the headers that differ for each attempt and without the empty line at the end
     */
    static byte[] of(HttpServerExchange exchange, int bodyLength) {
        StringBuilder head = new StringBuilder(USUAL_LENGTH);
        head.append(exchange.getRequestMethod()).append(' ').append(exchange.getRequestURI());
        if (!exchange.getQueryString().isEmpty()) {
            head.append('?').append(exchange.getQueryString());
        }
        head.append(" HTTP/1.1").append(LINE_END);
        for (HeaderValues values : exchange.getRequestHeaders()) {
            if (!RequestHeaders.NOT_FORWARDED.contains(values.getHeaderName())) {
                for (String value : values) {
                    head.append(values.getHeaderName())
                            .append(": ")
                            .append(value)
                            .append(LINE_END);
                }
            }
        }
        if (bodyLength > 0 || !exchange.getRequestMethod().equalToString("GET")) {
            head.append("Content-Length: ").append(bodyLength).append(LINE_END);
        }
        return head.toString().getBytes(StandardCharsets.ISO_8859_1);
    }
}
