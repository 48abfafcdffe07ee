package gatelock;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import gatelock.standin.BackgroundTask;
import gatelock.standin.RawHttp;
import gatelock.standin.WebSocketPeer;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** WebSocket sessions through a relay: messages, close codes, limits and protocol violations. */
final class WebSocketSessionTest extends WebSocketTestCase {
    /**
     * A frame that violates RFC 6455.
     *
     * @param section the section of the RFC and a description of the violation
     * @param firstByte the first byte of the frame
     * @param body the payload of the frame, in ISO 8859-1
     * @param closeCode the code with which the relay is expected to close the session
     */
    private record Violation(String section, int firstByte, String body, int closeCode) {}

    @Test
    void relaysMessagesAndCloseCode() throws Exception {
        try (WebSocketPeer client = open("a")) {
            for (int i = 0; i < 50; i++) {
                assertEchoed(client, "message " + i + " \u0da7");
            }
            client.sendClose(4001, "done");
            WebSocketPeer.Frame close = client.readMessage();
            assertThat(close.code()).isEqualTo(4001);
            assertThat(client.readMessage().opcode()).isEqualTo(-1);
        }
        // The endpoint records the close on a thread of its own, possibly after the client has read it.
        for (int i = 0;
                i < 200
                        && webSocketEndpoint.received().stream()
                                .noneMatch(received -> received.event().equals("close 4001"));
                i++) {
            Thread.sleep(50);
        }
        assertThat(webSocketEndpoint.received())
                .anyMatch(received -> received.event().equals("close 4001"));
    }

    @Test
    void relaysFragmentedMessageWithInterleavedPingAndBinaryMessage() throws Exception {
        try (WebSocketPeer client = open("f")) {
            client.sendFrame(WebSocketPeer.TEXT, "one ".getBytes(StandardCharsets.UTF_8));
            client.sendFrame(WebSocketPeer.FINAL | WebSocketPeer.PING, "alive".getBytes(StandardCharsets.UTF_8));
            client.sendFrame(0, "two ".getBytes(StandardCharsets.UTF_8));
            client.sendFrame(0x80, "three".getBytes(StandardCharsets.UTF_8));
            WebSocketPeer.Frame pong = client.readFrame();
            assertThat(pong.opcode()).isEqualTo(WebSocketPeer.PONG);
            assertThat(pong.text()).isEqualTo("alive");
            assertThat(client.readMessage().text()).isEqualTo("one two three");
            byte[] bytes = {0, (byte) 0xff, 7};
            client.sendFrame(WebSocketPeer.FINAL | WebSocketPeer.BINARY, bytes);
            WebSocketPeer.Frame echo = client.readMessage();
            assertThat(echo.opcode()).isEqualTo(WebSocketPeer.BINARY);
            assertThat(echo.body()).isEqualTo(bytes);
            client.sendFrame(WebSocketPeer.FINAL | WebSocketPeer.TEXT, new byte[0]);
            assertThat(client.readMessage().body()).isEmpty();
        }
    }

    /** Guards against messages that are lost because they are read together with the head before them. */
    @Test
    void relaysMessagesThatArriveTogetherWithTheHandshakes() throws Exception {
        webSocketEndpoint.greet("welcome");
        try (WebSocketPeer client = open("greeted")) {
            assertThat(client.readMessage().text()).isEqualTo("welcome");
            assertEchoed(client, "hello");
        }
        webSocketEndpoint.greet("again");
        try (Socket socket = relay.connect()) {
            String opening = String.join(
                    "\r\n",
                    "GET /read/early HTTP/1.1",
                    "Host: x",
                    "X-Trace-Id: early",
                    "Upgrade: websocket",
                    "Connection: Upgrade",
                    "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==",
                    "Sec-WebSocket-Version: 13",
                    "",
                    "");
            // A text frame with the mask 0 right behind the opening.
            RawHttp.write(socket, opening + "\u0081\u0085\0\0\0\0early");
            assertThat(RawHttp.readHead(socket).head()).startsWith("HTTP/1.1 101");
            WebSocketPeer client = new WebSocketPeer(socket, true);
            assertThat(client.readMessage().text()).isEqualTo("again");
            assertThat(client.readMessage().text()).isEqualTo("early");
        }
    }

    @Test
    void closesOnlySessionThatExceedsFrameRate() throws Exception {
        try (WebSocketPeer client = open("flood");
                WebSocketPeer other = open("other")) {
            BackgroundTask.start(() -> {
                for (int i = 0; i < 5_000; i++) {
                    client.sendFrame(WebSocketPeer.FINAL | WebSocketPeer.PING, new byte[0]);
                }
            });
            assertThat(client.readMessage().code()).isEqualTo(1008);
            assertEchoed(other, "unaffected");
        }
    }

    @Test
    void respondsWithHttpErrorWhenEndpointRejectsUpgrade() throws Exception {
        webSocketEndpoint.rejectRequests();
        assertThatThrownBy(() -> open("a"))
                .isInstanceOf(WebSocketPeer.HandshakeRejected.class)
                .hasMessageStartingWith("HTTP/1.1 50");
    }

    @Test
    void closesOtherSideWhenEndpointOrClientDisconnects() throws Exception {
        webSocketEndpoint.stopEchoing();
        try (WebSocketPeer client = open("a")) {
            webSocketEndpoint.awaitSession().close();
            assertThat(client.readMessage().code()).isEqualTo(1014);
        }
        WebSocketPeer leaving = open("b");
        WebSocketPeer endpointPeer = webSocketEndpoint.awaitSession();
        leaving.close();
        assertThat(endpointPeer.readMessage().code()).isEqualTo(1001);
    }

    @Test
    void closesOnlySessionThatViolatesProtocol() throws Exception {
        List<Violation> violations = List.of(
                new Violation("5.2 reserved bit", 0xC1, "x", 1002),
                new Violation("5.2 unknown opcode", 0x83, "x", 1002),
                new Violation("5.2 unknown control opcode", 0x8B, "x", 1002),
                new Violation("5.4 continuation without start", 0x80, "x", 1002),
                new Violation("5.5 control frame over 125 bytes", 0x89, "\0".repeat(126), 1002),
                new Violation("5.5 fragmented control frame", 0x09, "x", 1002),
                new Violation("8.1 invalid UTF-8", 0x81, "\u00c3(", 1007),
                new Violation("10.4 message too large", 0x81, "y".repeat(2000), 1009));
        for (Violation violation : violations) {
            try (WebSocketPeer client = open("c" + violation.section);
                    WebSocketPeer other = open("o" + violation.section)) {
                client.sendFrame(violation.firstByte, violation.body.getBytes(StandardCharsets.ISO_8859_1));
                assertThat(client.readMessage().code()).as(violation.section).isEqualTo(violation.closeCode);
                assertEchoed(other, "unaffected");
            }
        }
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    @Test
    void countsOpenSessionsAgainstLimitUntilTheyClose() throws Exception {
        List<WebSocketPeer> clients = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            clients.add(open("l" + i));
        }
        assertThatThrownBy(() -> open("one more"))
                .isInstanceOf(WebSocketPeer.HandshakeRejected.class)
                .hasMessageStartingWith("HTTP/1.1 503")
                .hasMessageContaining("Retry-After");
        clients.get(0).sendClose(1000, "");
        assertThat(clients.get(0).readMessage().code()).isEqualTo(1000);
        for (int i = 0; i < 100; i++) {
            try (WebSocketPeer client = open("again" + i)) {
                assertEchoed(client, "capacity");
                return;
            } catch (WebSocketPeer.HandshakeRejected e) {
                Thread.sleep(20);
            }
        }
        throw new AssertionError("expected a new session to open after one of the 40 was closed");
    }

    @Test
    void closesSessionWhenPingsAreNotAnswered() throws Exception {
        webSocketEndpoint.stopEchoing();
        try (WebSocketPeer client = WebSocketPeer.open(relay.port(), "/read/quick", "mute", "")) {
            WebSocketPeer endpointPeer = webSocketEndpoint.awaitSession();
            WebSocketPeer.Frame frame = client.readFrame();
            while (frame.opcode() == WebSocketPeer.PING) {
                frame = client.readFrame();
            }
            assertThat(frame.code()).isIn(1001, 1014);
            assertThat(endpointPeer.readMessage().code()).isEqualTo(1001);
        }
    }
}
