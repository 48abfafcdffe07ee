package gatelock.standin;

import java.io.IOException;
import java.net.Socket;
import java.util.Locale;

/**
 * An HTTP request or response that was read from a connection.
 *
 * @param socket connection from which the message was read
 * @param head first line and headers, including the empty line that ends them
 * @param body body, one character per byte
 */
public record HttpMessage(Socket socket, String head, String body) {
    /**
     * Answers this request on its connection.
     *
     * @param status status code and reason phrase, such as {@code "200 OK"}
     * @param headers additional headers, each of which ends with CR LF
     */
    public void respond(String status, String headers, String responseBody) throws IOException {
        RawHttp.write(
                socket,
                "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + responseBody.length() + "\r\n\r\n"
                        + responseBody);
    }

    /** Returns the value of the first header with this name, or null if there is none. */
    public String header(String name) {
        String prefix = name.toLowerCase(Locale.ROOT) + ":";
        return head.lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(prefix))
                .map(line -> line.substring(prefix.length()).trim())
                .findFirst()
                .orElse(null);
    }
}
