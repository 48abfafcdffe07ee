package gatelock.standin;

import java.io.IOException;
import java.net.Socket;
import java.util.Locale;

/**
 * An HTTP request or response as it was read from a connection.
 *
 * @param head first line and headers, with the empty line behind them
 */
public record HttpMessage(Socket socket, String head, String body) {
    /** Answers a request on its connection, e.g. with status {@code "200 OK"}; each header ends with CR LF. */
    public void respond(String status, String headers, String responseBody) throws IOException {
        RawHttp.write(
                socket,
                "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + responseBody.length() + "\r\n\r\n"
                        + responseBody);
    }

    /** Returns the first value of a header, or null. */
    public String header(String name) {
        String prefix = name.toLowerCase(Locale.ROOT) + ":";
        return head.lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(prefix))
                .map(line -> line.substring(prefix.length()).trim())
                .findFirst()
                .orElse(null);
    }
}
