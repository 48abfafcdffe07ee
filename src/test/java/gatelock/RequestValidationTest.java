package gatelock;

import static gatelock.standin.RawHttp.isClosedByPeer;
import static gatelock.standin.RawHttp.readMessage;
import static gatelock.standin.RawHttp.sendRequest;
import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.BackgroundTask;
import gatelock.standin.HttpMessage;
import gatelock.standin.RawHttp;
import gatelock.standin.RelayTestCase;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests that are malformed, too large or match no route are rejected and never forwarded. */
final class RequestValidationTest extends RelayTestCase {
    /** The time after which a connection without a request is closed, and some time for a busy machine. */
    private static final int IDLE_CLOSE_TIMEOUT_MS = 5_000;

    /** A request that is rejected, and the status of the response. */
    private record InvalidRequest(String line, String traceId, int status) {}

    @Test
    void rejectsInvalidRequestAndKeepsServingOthers() throws Exception {
        startRelay();
        List<InvalidRequest> invalidRequests = List.of(
                new InvalidRequest("GET /nothing", "a", 404),
                new InvalidRequest("GET /claim", "b", 405),
                new InvalidRequest("POST /post", "c", 400),
                new InvalidRequest("GET /read", "", 400));
        for (InvalidRequest invalid : invalidRequests) {
            try (Socket client = relay.connect()) {
                sendRequest(client, invalid.line, invalid.traceId, "", "x");
                assertThat(readMessage(client).head()).as(invalid.line).startsWith("HTTP/1.1 " + invalid.status);
            }
        }
        try (Socket client = relay.connect()) {
            RawHttp.write(client, "POST /claim HTTP/1.1\r\nHost: x\r\nX-Trace-Id: d\r\nContent-Length: 70000\r\n\r\n");
            assertThat(readMessage(client).head()).startsWith("HTTP/1.1 413");
        }
        try (Socket client = relay.connect()) {
            sendRequest(client, "GET /read", "e", "X-Size-Hint: much\r\nX-Props: \r\n", "");
            endpoint.awaitCall().respond("200 OK", "", "fine");
            assertThat(readMessage(client).body()).isEqualTo("fine");
        }
    }

    @Test
    void rejectsMalformedRequestWithoutForwardingIt() throws Exception {
        startRelay();
        try (Socket open = relay.connect();
                Socket duplicate = relay.connect()) {
            sendRequest(open, "POST /claim", "open", "", "x");
            HttpMessage call = endpoint.awaitCall();
            sendRequest(duplicate, "POST /claim", "open", "", "y");
            assertThat(readMessage(duplicate).head()).startsWith("HTTP/1.1 400");
            call.respond("200 OK", "", "mine");
            assertThat(readMessage(open).body()).isEqualTo("mine");
        }
        String post = "POST /claim HTTP/1.1\r\nHost: x\r\nX-Trace-Id: odd\r\n";
        String get = "GET /read HTTP/1.1\r\nHost: x\r\n";
        String hidden = get + "X-Trace-Id: hidden\r\n\r\n";
        for (String malformed : new String[] {
            "noise\r\n\r\n",
            "\u0000\u0001\u0002",
            get + "X-Pad: p\r\n".repeat(5000),
            get,
            get + "\r\n",
            get + "X-Trace-Id: a\r\nX-Trace-Id: b\r\n\r\n",
            get + "X-Trace-Id: odd\r\nContent-Length: 1\r\n\r\nx",
            get.replace("read", "%72ead") + "X-Trace-Id: odd\r\n\r\n",
            hidden.replace("GET", "HEAD"),
            get.replace("/read", "http://x/read") + "X-Trace-Id: odd\r\n\r\n",
            post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
            post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nx",
            post + "Content-Length: -1\r\n\r\nx",
            post + "Content-Length: one\r\n\r\nx",
            post + "Content-Length: 18446744073709551617\r\n\r\nx",
            post + "Transfer-Encoding: gzip\r\n\r\n1\r\nx\r\n0\r\n\r\n",
            post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
            post + "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
            post + "Content-Length: 9\r\n\r\nhalf",
            post + "\r\n",
            post + "X-Expires-In-Ms: soon\r\nContent-Length: 1\r\n\r\nx",
            post + "X-Expires-In-Ms: -5\r\nContent-Length: 1\r\n\r\nx",
            post + "X-Expires-In-Ms: 0\r\nContent-Length: 1\r\n\r\nx",
            post + "X-Expires-In-Ms: \r\nContent-Length: 1\r\n\r\nx",
            post + "X-Expires-In-Ms: 99999999999999999999\r\nContent-Length: 1\r\n\r\nx",
            post + "X-Expires-In-Ms: 999999999\r\nContent-Length: 1\r\n\r\nx",
            post + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\n"
        }) {
            try (Socket client = relay.connect()) {
                RawHttp.write(client, malformed);
                assertThat(isRejected(client)).as(malformed).isTrue();
            }
            try (Socket client = relay.connect()) {
                RawHttp.write(client, malformed);
                client.shutdownOutput();
                assertThat(isRejected(client)).as(malformed).isTrue();
            }
        }
        assertThat(endpoint.calls()).isEmpty();
    }

    /**
     * Guards against requests that are never answered because the relay throws on a cookie that it cannot parse, which
     * used up its connections for good.
     */
    @Test
    void servesRequestWithUnreadableCookiesAndFreesItsConnection() throws Exception {
        startRelay();
        String manyCookies = "c=1; ".repeat(300) + "k=7f3a";
        for (String cookie : List.of("$Version=x; k=7f3a", "$Version=; k=7f3a", manyCookies)) {
            for (boolean bodyLater : new boolean[] {false, true}) {
                try (Socket client = relay.connect()) {
                    client.setSoTimeout(IDLE_CLOSE_TIMEOUT_MS);
                    RawHttp.write(
                            client,
                            "POST /claim HTTP/1.1\r\nHost: x\r\nX-Trace-Id: d\r\nCookie: " + cookie
                                    + "\r\nContent-Length: 4\r\n\r\n" + (bodyLater ? "" : "body"));
                    Thread.sleep(bodyLater ? 100 : 0);
                    RawHttp.write(client, bodyLater ? "body" : "");
                    endpoint.awaitCall().respond("200 OK", "", "fine");
                    assertThat(readMessage(client).body()).as(cookie).isEqualTo("fine");
                    assertThat(isClosedByPeer(client)).as("closed when idle").isTrue();
                }
            }
        }
        assertStopsCleanly();
    }

    @Test
    void rejectsOversizedBodyBeforeItIsComplete() throws Exception {
        startRelay();
        try (Socket client = relay.connect()) {
            RawHttp.write(
                    client, "POST /claim HTTP/1.1\r\nHost: x\r\nX-Trace-Id: d\r\nContent-Length: 62914560\r\n\r\n");
            BackgroundTask.start(() -> {
                for (int i = 0; i < 60; i++) {
                    client.getOutputStream().write(new byte[1024 * 1024]);
                }
            });
            assertThat(readMessage(client).head()).startsWith("HTTP/1.1 413").contains("Connection: close");
            assertThat(isClosedByPeer(client)).isTrue();
        }
    }

    /** Returns whether the relay closes the connection or responds with a 4xx or 5xx status. */
    private static boolean isRejected(Socket socket) {
        try {
            HttpMessage response = readMessage(socket);
            return response == null || response.head().matches("HTTP/1.1 [45](?s:.*)");
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }
}
