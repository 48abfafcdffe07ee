package gatelock.http;

import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;

/** Builds the head of a request as it is forwarded to endpoints. */
final class ForwardedRequestHead {
    private static final int INITIAL_CAPACITY = 256;
    private static final String LINE_END = "\r\n";

    private ForwardedRequestHead() {}

    /**
     * Returns the request line and the headers as the client wrote them, without the headers that apply only to the
     * client connection.
     *
     * @param method the method of the request
     * @param received its head, which is well-formed
     * @param bodyLength the length of its body, which is always forwarded with a Content-Length
     * @param opensSession whether it opens a session; then the headers of its opening handshake are left out, too
     * @return the bytes, without the headers that differ between attempts and without the empty line at the end
     */
    static byte[] of(HttpString method, RequestHead received, int bodyLength, boolean opensSession) {
        StringBuilder head = new StringBuilder(INITIAL_CAPACITY);
        head.append(method).append(' ').append(received.target());
        head.append(" HTTP/1.1").append(LINE_END);
        for (String line : received.headerLinesExcept(name -> isLeftOut(name, opensSession))) {
            head.append(line).append(LINE_END);
        }
        if (bodyLength > 0 || !method.equalToString("GET")) {
            head.append("Content-Length: ").append(bodyLength).append(LINE_END);
        }
        return head.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static boolean isLeftOut(HttpString name, boolean opensSession) {
        return RequestHeaders.NOT_FORWARDED.contains(name)
                || (opensSession && RequestHeaders.NOT_FORWARDED_FOR_SESSIONS.contains(name));
    }
}
