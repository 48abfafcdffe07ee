package gatelock.standin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Reads and writes HTTP directly on sockets, so that a test can also send malformed or unusual messages. */
public final class RawHttp {
    private RawHttp() {}

    /**
     * Sends a request that matches a route of examples/relay.json.
     *
     * @param requestLine method and target, without the version
     * @param headers additional headers, each of which ends with CR LF
     */
    public static void sendRequest(Socket client, String requestLine, String traceId, String headers, String body)
            throws IOException {
        String length = requestLine.startsWith("GET") ? "" : "Content-Length: " + body.length() + "\r\n";
        write(
                client,
                requestLine + " HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: " + traceId
                        + "\r\nX-Customer: acme\r\nCookie: k=7f3a9c21e0b4d655\r\n" + headers + length + "\r\n" + body);
    }

    /** Writes text without changes, one byte per character. */
    public static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Reads one message with its body, or returns null at the end of the connection. */
    public static HttpMessage readMessage(Socket socket) throws IOException {
        HttpMessage head = readHead(socket);
        if (head == null) {
            return null;
        }
        String length = head.header("Content-Length");
        byte[] body = socket.getInputStream().readNBytes(length == null ? 0 : Integer.parseInt(length));
        return new HttpMessage(socket, head.head(), new String(body, StandardCharsets.ISO_8859_1));
    }

    /** Reads the first line and the headers, or returns null at the end of the connection. */
    public static HttpMessage readHead(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.write(next);
        }
        return new HttpMessage(socket, head.toString(StandardCharsets.ISO_8859_1), "");
    }

    /** Returns the first response that arrives on any of the connections; fails after about 20 s. */
    public static HttpMessage firstResponse(List<Socket> clients) throws IOException, InterruptedException {
        for (int i = 0; i < 20_000; i++) {
            for (Socket client : clients) {
                if (client.getInputStream().available() > 0) {
                    return readMessage(client);
                }
            }
            Thread.sleep(1);
        }
        throw new AssertionError("expected a response within 20 s");
    }

    /** Returns whether the peer closes a connection without sending another message before the read timeout. */
    public static boolean isClosedByPeer(Socket socket) {
        try {
            return readMessage(socket) == null;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Sends the head of a chunked response and returns the stream for its chunks. */
    public static OutputStream startChunkedResponse(HttpMessage request) throws IOException {
        write(request.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        return request.socket().getOutputStream();
    }

    /** Writes one chunk of ASCII text. */
    public static void writeChunk(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    /** Ends a chunked response. */
    public static void endChunks(OutputStream out) throws IOException {
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }
}
