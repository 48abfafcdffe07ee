package gatelock;

import static gatelock.standin.EndpointListJson.delta;
import static gatelock.standin.EndpointListJson.entry;
import static gatelock.standin.EndpointListJson.snapshot;
import static gatelock.standin.RawHttp.startChunkedResponse;
import static gatelock.standin.RawHttp.writeChunk;
import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.BackgroundTask;
import gatelock.standin.HttpMessage;
import gatelock.standin.WebSocketEndpoint;
import gatelock.standin.WebSocketPeer;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** WebSocket sessions whose endpoint drains, whose build is rolled back, or whose relay shuts down. */
final class WebSocketDrainTest extends WebSocketTestCase {
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
                    .filter(WebSocketDrainTest::isOpening)
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
                    .filter(WebSocketDrainTest::isOpening)
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
                    .filter(WebSocketDrainTest::isOpening)
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
