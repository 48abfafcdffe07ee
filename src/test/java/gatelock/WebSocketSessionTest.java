package gatelock;

import static gatelock.standin.EndpointListJson.delta;
import static gatelock.standin.EndpointListJson.entry;
import static gatelock.standin.EndpointListJson.snapshot;
import static gatelock.standin.RawHttp.startChunkedResponse;
import static gatelock.standin.RawHttp.writeChunk;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import gatelock.standin.BackgroundTask;
import gatelock.standin.ControlService;
import gatelock.standin.HttpMessage;
import gatelock.standin.RelayTestCase;
import gatelock.standin.WebSocketEndpoint;
import gatelock.standin.WebSocketPeer;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** WebSocket sessions through a relay, between clients and endpoints that the test speaks for. */
final class WebSocketSessionTest extends RelayTestCase {
    private static final String PLAN = "{\"format\": 1, \"unmatched\": \"refuse\", \"limits\": {\"few\": "
            + "{\"inFlight\": 40}},"
            + " \"routes\": [{\"name\": \"quick\", \"path\": \"/read/quick\", \"class\": \"read\", "
            + "\"sessions\": {\"pingS\": 0.5}},"
            + " {\"name\": \"watch\", \"path\": \"/read\", \"class\": \"read\", \"limits\": [\"few\"],"
            + " \"sessions\": {\"messageBytes\": 1000, \"pingS\": 10, \"idleS\": 30, \"framesPerS\": 300}}]}";

    @TempDir
    private Path directory;

    private ControlService control;
    private WebSocketEndpoint webSocketEndpoint;

    @BeforeEach
    void startRelayWithSessions() throws Exception {
        control = new ControlService();
        webSocketEndpoint = new WebSocketEndpoint();
        relay.writeConfig(relay.configText()
                .replace(endpoint.address(), webSocketEndpoint.address())
                .replace("\"deadlineNs\": 1000000000", "\"deadlineNs\": 2500000000"));
        control.offer(1, "s", 1, PLAN);
        Path operator = directory.resolve("operator.json");
        Files.writeString(
                operator,
                "{\"control\": {\"services\": [\"" + control.address()
                        + "\"], \"holdMs\": 500},"
                        + " \"sessions\": {\"drainS\": 2, \"opensPerUnitS\": 5}}");
        startRelay("--operator", operator.toString());
        control.awaitReport("1/1");
    }

    @AfterEach
    void stopServers() throws Exception {
        webSocketEndpoint.close();
        control.close();
    }

    private WebSocketPeer open(String id) throws Exception {
        return WebSocketPeer.open(relay.port(), "/read/hive/7?since=3", id, "");
    }

    private static void assertEchoed(WebSocketPeer client, String text) throws Exception {
        client.sendText(text);
        assertThat(client.readMessage().text()).isEqualTo(text);
    }

    @Test
    void framesGoBothWaysAndACloseGoesThroughWithItsCode() throws Exception {
        try (WebSocketPeer client = open("a")) {
            for (int i = 0; i < 50; i++) {
                assertEchoed(client, "weight " + i + " \u0da7");
            }
            client.sendClose(4001, "seen enough");
            WebSocketPeer.Frame close = client.readMessage();
            assertThat(close.code()).isEqualTo(4001);
            assertThat(client.readMessage().opcode()).isEqualTo(-1);
        }
        // The endpoint's own thread notes the close at its own time.
        for (int i = 0;
                i < 200
                        && webSocketEndpoint.received().stream()
                                .noneMatch(received -> received.what().equals("close 4001"));
                i++) {
            Thread.sleep(50);
        }
        assertThat(webSocketEndpoint.received())
                .anyMatch(received -> received.what().equals("close 4001"));
    }

    @Test
    void fragmentsWithSignsOfLifeInBetweenAreOneMessageAndBinaryStaysBinary() throws Exception {
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
            WebSocketPeer.Frame back = client.readMessage();
            assertThat(back.opcode()).isEqualTo(WebSocketPeer.BINARY);
            assertThat(back.body()).isEqualTo(bytes);
            client.sendFrame(WebSocketPeer.FINAL | WebSocketPeer.TEXT, new byte[0]);
            assertThat(client.readMessage().body()).isEmpty();
        }
    }

    @Test
    void aFloodOfFramesEndsThatSessionOnly() throws Exception {
        try (WebSocketPeer client = open("flood");
                WebSocketPeer other = open("other")) {
            BackgroundTask.start(() -> {
                for (int i = 0; i < 5_000; i++) {
                    client.sendFrame(WebSocketPeer.FINAL | WebSocketPeer.PING, new byte[0]);
                }
            });
            assertThat(client.readMessage().code()).isEqualTo(1008);
            assertEchoed(other, "unharmed");
        }
    }

    @Test
    void anUpgradeThatCantBeIsAPlainAnswer() throws Exception {
        webSocketEndpoint.rejectRequests();
        assertThatThrownBy(() -> open("a"))
                .isInstanceOf(WebSocketPeer.HandshakeRejected.class)
                .hasMessageStartingWith("HTTP/1.1 50");
    }

    @Test
    void anEndpointThatIsLostAndAClientThatIsLostAreToldToTheOther() throws Exception {
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
    void whatIsAgainstTheProtocolEndsThatSessionWithItsCode() throws Exception {
        byte[] body = "x".getBytes(StandardCharsets.UTF_8);
        Object[][] cases = {
            {"5.2 reserved bit", 0xC1, body, 1002},
            {"5.2 unknown opcode", 0x83, body, 1002},
            {"5.2 unknown control", 0x8B, body, 1002},
            {"5.4 continuation of nothing", 0x80, body, 1002},
            {"5.5 control over 125 bytes", 0x89, new byte[126], 1002},
            {"5.5 control in fragments", 0x09, body, 1002},
            {"8.1 no UTF-8", 0x81, new byte[] {(byte) 0xc3, (byte) 0x28}, 1007},
            {"10.4 too big", 0x81, "y".repeat(2000).getBytes(StandardCharsets.UTF_8), 1009}
        };
        for (Object[] c : cases) {
            try (WebSocketPeer client = open("c" + c[0]);
                    WebSocketPeer other = open("o" + c[0])) {
                client.sendFrame((Integer) c[1], (byte[]) c[2]);
                assertThat(client.readMessage().code()).as("%s", c[0]).isEqualTo(c[3]);
                assertEchoed(other, "unharmed");
            }
        }
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    @Test
    void atADrainNothingNewGoesThereAndSessionsLeaveInTurn() throws Exception {
        HttpMessage asked = discovery.awaitCall();
        try (WebSocketEndpoint other = new WebSocketEndpoint()) {
            asked.respond(
                    "200 OK",
                    "",
                    snapshot(
                            5,
                            entry("a", webSocketEndpoint.address(), "in_service", 1),
                            entry("b", other.address(), "in_service", 1)));
            HttpMessage watch = discovery.awaitCall();
            List<WebSocketPeer> clients = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                clients.add(open("d" + i));
                assertEchoed(clients.get(i), "first");
            }
            long there = other.received().stream()
                    .filter(WebSocketSessionTest::isOpening)
                    .count();
            assertThat(there).isPositive();
            watch.respond("200 OK", "", delta(6, entry("b", other.address(), "terminating", 1)));
            long drainedNs = System.nanoTime();
            discovery.awaitCall();
            int closed = 0;
            for (WebSocketPeer client : clients) {
                client.sendText("second");
                WebSocketPeer.Frame frame = client.readMessage();
                if (frame.opcode() == WebSocketPeer.CLOSE) {
                    assertThat(frame.code()).isEqualTo(1012);
                    assertThat(frame.reason()).matches(".* come back after [0-9]+ ms");
                    closed++;
                } else {
                    assertThat(frame.text()).isEqualTo("second");
                }
            }
            assertThat(closed).isEqualTo((int) there);
            assertThat(open("new")).isNotNull();
            assertThat(other.received())
                    .noneMatch(received -> received.atNs() > drainedNs + 1_000_000_000L
                            && !received.what().startsWith("close")
                            && !received.what().equals("ended"));
            for (WebSocketPeer client : clients) {
                client.close();
            }
        }
    }

    @Test
    void aLimitHoldsForAsLongAsSessionsAreOpen() throws Exception {
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
                assertEchoed(client, "room");
                return;
            } catch (WebSocketPeer.HandshakeRejected e) {
                Thread.sleep(20);
            }
        }
        throw new AssertionError("what a session held was never free");
    }

    @Test
    void aSideThatGivesNoSignOfLifeEndsTheSession() throws Exception {
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

    @Test
    void aRelayThatLeavesTellsEachSession() throws Exception {
        List<WebSocketPeer> clients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            clients.add(open("t" + i));
            assertEchoed(clients.get(i), "here");
        }
        relay.signal("TERM");
        for (WebSocketPeer client : clients) {
            WebSocketPeer.Frame frame = client.readMessage();
            assertThat(frame.code()).isEqualTo(1012);
            assertThat(frame.reason()).matches("relay leaves, come back after [0-9]+ ms");
            client.sendFrame(WebSocketPeer.FINAL | WebSocketPeer.CLOSE, frame.body());
            client.close();
        }
        assertThat(relay.process().waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(relay.log()).contains("ends:").doesNotContain("unexpected");
    }

    @Test
    void aCanaryGetsNoMoreThanItsCapAndItsSessionsEndWhenItGoesBack() throws Exception {
        HttpMessage list = discovery.awaitCall();
        OutputStream news = startChunkedResponse(controller.awaitCall());
        try (WebSocketEndpoint canary = new WebSocketEndpoint()) {
            String state =
                    "{\"type\":\"news\",\"object\":{\"release\":2,\"tranche\":0,\"mode\":\"%s\",\"exposure\":%s,\"old_ms\":1}}\n";
            writeChunk(news, String.format(state, "trial", "0.2"));
            list.respond(
                    "200 OK",
                    "",
                    snapshot(
                            5,
                            entry("a", webSocketEndpoint.address(), "in_service", 1),
                            entry("b", canary.address(), "in_service", 2)));
            discovery.awaitCall();
            List<WebSocketPeer> clients = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                // The budget of a canary endpoint grows with the work that is done, so this takes some time.
                clients.add(WebSocketPeer.open(relay.port(), "/read/x", "t" + i, "X-Size-Hint: 100000\r\n"));
                Thread.sleep(60);
            }
            long opens = canary.received().stream()
                    .filter(WebSocketSessionTest::isOpening)
                    .count();
            assertThat(opens).isBetween(2L, 9L);
            // All clients send at once, those at the canary as much as the others: there messages wait for the cap.
            AtomicBoolean stopped = new AtomicBoolean();
            List<Long> sentNs = sendMessages(clients, stopped);
            Thread.sleep(2_500);
            long rollbackNs = System.nanoTime();
            writeChunk(news, String.format(state, "rolling_back", "0"));
            Thread.sleep(1_500);
            stopped.set(true);
            List<Long> atCanaryNs = canary.received().stream()
                    .filter(received -> received.what().startsWith("m") || isOpening(received))
                    .map(WebSocketEndpoint.Received::atNs)
                    .sorted()
                    .toList();
            List<Long> takenNs = Stream.of(webSocketEndpoint.received(), canary.received())
                    .flatMap(List::stream)
                    .filter(WebSocketSessionTest::isOpening)
                    .map(WebSocketEndpoint.Received::atNs)
                    .collect(Collectors.toCollection(ArrayList::new));
            takenNs.addAll(sentNs);
            assertWithinCap(atCanaryNs, takenNs);
            assertThat(atCanaryNs.stream().filter(ns -> ns > rollbackNs + 1_000_000_000L))
                    .isEmpty();
            assertThat(atCanaryNs.size()).as("the cap is used").isGreaterThan(20);
            assertThat(canary.received().stream()
                            .filter(received -> received.what().equals("close 1001"))
                            .count())
                    .isEqualTo(opens);
            for (WebSocketPeer client : clients) {
                client.close();
            }
        }
    }

    private static boolean isOpening(WebSocketEndpoint.Received received) {
        return received.what().equals("open");
    }

    /** Lets each client send a message after each echo until stopped; returns the times of the messages, which grow. */
    private static List<Long> sendMessages(List<WebSocketPeer> clients, AtomicBoolean stopped) {
        AtomicInteger messages = new AtomicInteger();
        List<Long> sentNs = Collections.synchronizedList(new ArrayList<>());
        for (WebSocketPeer client : clients) {
            BackgroundTask.start(() -> {
                boolean echoed = true;
                while (echoed && !stopped.get()) {
                    sentNs.add(System.nanoTime());
                    client.sendText("m" + messages.incrementAndGet());
                    echoed = client.readMessage().opcode() == WebSocketPeer.TEXT;
                    Thread.sleep(20);
                }
            });
        }
        return sentNs;
    }

    /** Checks that in all windows of some lengths the canary has no more than its cap of what was taken. */
    private static void assertWithinCap(List<Long> atCanaryNs, List<Long> takenNs) {
        for (long fromNs : atCanaryNs) {
            for (long spanNs : new long[] {100_000_000L, 500_000_000L, 2_000_000_000L}) {
                long attempts = atCanaryNs.stream()
                        .filter(ns -> ns >= fromNs && ns <= fromNs + spanNs)
                        .count();
                long requests = takenNs.stream()
                        .filter(ns -> ns >= fromNs - 150_000_000L && ns <= fromNs + spanNs)
                        .count();
                assertThat((double) attempts)
                        .as("%d requests in %d ns", requests, spanNs)
                        .isLessThanOrEqualTo(2 + 2 + 0.24 * requests);
            }
        }
    }
}
