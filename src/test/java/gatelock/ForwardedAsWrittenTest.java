package gatelock;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.HttpMessage;
import gatelock.standin.RawHttp;
import java.net.Socket;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What a client wrote reaches an endpoint as written or is refused, on an ordinary request and on the opening handshake
 * of a session. Guards against a target that is decoded on the way: it names other data, and with encoded line ends it
 * carries requests that no client sent.
 */
final class ForwardedAsWrittenTest extends WebSocketTestCase {
    private static final String KEY_HEADERS = String.join(
            "\r\n",
            "Upgrade: websocket",
            "Connection: Upgrade",
            "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==",
            "Sec-WebSocket-Version: 13",
            "");

    @ParameterizedTest
    @ValueSource(
            strings = {
                "/read/items/7?since=2026-12-05T10:00:00%2B05:30",
                "/read/items/8?apiary=north%26south",
                "/read/items/9?x=1%20HTTP/1.1%0D%0AX-Trace-Id:%20t%0D%0A%0D%0APOST%20/claim%20HTTP/1.1%0D%0A"
                        + "X-Trace-Id:%20hidden%0D%0AContent-Length:%200%0D%0A%0D%0AGET%20/read",
                "/read/%0D%0AX-Hidden:%201/x",
                "/read/a%2Fb/../c//d/./e",
                "/read/items?",
                "/read/items??a=?b",
                "/read/items;v=1;w/x;y=2?z;q",
                "/read/;a=?b",
                "/read/%zz?x=%",
                "/read/%C3%A9?%c3%a9",
                "/read/\u00c3\u00a9?\u00c3\u00a9",
                "/read/a|b?c|d",
                "/read/[x]?{y}&<z>",
                "/read/items?a=\"q\"&b=\\",
                "/read/items#part",
                "/read/items?x#part",
                "/read/a+b?c+d=+",
                "//read/items",
                "http://api.internal/read/items?x=%2B",
                "read/items",
                "*"
            })
    void forwardsTargetAsWrittenOrRefusesIt(String target) throws Exception {
        assertAsWrittenOrRefused(target, "X-Trace-Id: t\r\n", "");
        assertAsWrittenOrRefused(target, "X-Trace-Id: t\r\n", KEY_HEADERS);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-Trace-Id: a  b\tc\r\n",
                "X-Trace-Id: \u00e9\u00ff\r\n",
                "X-Trace-Id: t\r\nIdempotency-Key: 77\r\n",
                "X-Trace-Id: t\r\nX-Customer: acme\r\nX-Props: a=1,b=2\r\nX-Second-Try: 1\r\n",
                "X-Trace-Id: t\r\nCookie: a=\"b\"; k=7f\r\nCookie: c=%0D%0A\r\n",
                "X-Trace-Id: t\r\nAuthorization: Basic YTpi\r\nX-Empty:\r\n",
                "X-Trace-Id: t\rX-Hidden: 1\r\n",
                "X-Trace-Id: t\r\n X-Folded: 1\r\n",
                "X-Trace-Id: t\u0000\r\n",
                "X-Trace-Id: t\r\nX-Y\u00e9: \u0001\r\n"
            })
    void forwardsHeadersAsWrittenOrRefusesThem(String headers) throws Exception {
        assertAsWrittenOrRefused("/read/items", headers, "");
        assertAsWrittenOrRefused("/read/items", headers, KEY_HEADERS);
    }

    private void assertAsWrittenOrRefused(String target, String headers, String handshake) throws Exception {
        webSocketEndpoint.requests().clear();
        int status;
        try (Socket client = relay.connect()) {
            RawHttp.write(client, "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + headers + handshake + "\r\n");
            HttpMessage response = RawHttp.readMessage(client);
            status = response == null ? 400 : Integer.parseInt(response.head().substring(9, 12));
        }
        List<HttpMessage> requests = webSocketEndpoint.requests();
        if (status >= 400) {
            assertThat(requests).as("status " + status).isEmpty();
            return;
        }
        assertThat(requests).hasSize(1);
        HttpMessage forwarded = requests.get(0);
        assertThat(forwarded.head()).startsWith("GET " + target + " HTTP/1.1\r\n");
        for (String line : headers.stripTrailing().split("\r\n", -1)) {
            assertThat(forwarded.head()).contains("\r\n" + line + "\r\n");
        }
        boolean isSession = !handshake.isEmpty();
        assertThat(forwarded.header("Sec-WebSocket-Version")).isEqualTo(isSession ? "13" : null);
        assertThat(forwarded.header("Upgrade")).isEqualTo(isSession ? "websocket" : null);
    }
}
