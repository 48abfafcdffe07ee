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
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** WebSocket sessions while their endpoint drains, their build is rolled back or the relay shuts down. */
final class WebSocketDrainTest extends WebSocketTestCase {
    @Test
    void closesSessionsOfDrainingEndpointAndOpensNewOnesElsewhere() throws Exception {
        HttpMessage listCall = discovery.awaitCall();
        try (WebSocketEndpoint other = new WebSocketEndpoint()) {
            listCall.respond(
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
            long openedAtDrainingEndpoint = other.received().stream()
                    .filter(WebSocketDrainTest::isOpening)
                    .count();
            assertThat(openedAtDrainingEndpoint).isPositive();
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
            assertThat(closed).isEqualTo((int) openedAtDrainingEndpoint);
            assertThat(open("new")).isNotNull();
            assertThat(other.received())
                    .noneMatch(received -> received.atNs() > drainedNs + 1_000_000_000L
                            && !received.event().startsWith("close")
                            && !received.event().equals("ended"));
            for (WebSocketPeer client : clients) {
                client.close();
            }
        }
    }

    @Test
    void closesEachSessionOnShutdown() throws Exception {
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
        assertThat(relay.log()).contains("shutdown complete:").doesNotContain("unexpected");
    }

    /** Guards against sessions without a close and a relay that does not end, if SIGTERM crosses openings (review/10). */
    @Test
    void closesSessionWhoseOpeningCrossesShutdown() throws Exception {
        webSocketEndpoint.delayOpenings(400);
        List<WebSocketPeer> clients = new CopyOnWriteArrayList<>();
        for (int i = 0; i < 4; i++) {
            String id = "cross" + i;
            BackgroundTask.start(() -> clients.add(open(id)));
        }
        while (webSocketEndpoint.received().size() < 4) {
            Thread.sleep(5);
        }
        relay.signal("TERM");
        assertThat(relay.process().waitFor(10, TimeUnit.SECONDS)).isTrue();
        assertThat(clients).hasSize(4);
        for (WebSocketPeer client : clients) {
            assertThat(client.readMessage().code()).isEqualTo(1012);
            client.close();
        }
    }

    @Test
    void keepsCanaryWithinExposureCapAndClosesItsSessionsOnRollback() throws Exception {
        HttpMessage listCall = discovery.awaitCall();
        OutputStream stateStream = startChunkedResponse(controller.awaitCall());
        try (WebSocketEndpoint canary = new WebSocketEndpoint()) {
            String stateFormat =
                    "{\"type\":\"news\",\"object\":{\"release\":2,\"tranche\":0,\"mode\":\"%s\",\"exposure\":%s,\"old_ms\":1}}\n";
            writeChunk(stateStream, String.format(stateFormat, "trial", "0.2"));
            listCall.respond(
                    "200 OK",
                    "",
                    snapshot(
                            5,
                            entry("a", webSocketEndpoint.address(), "in_service", 1),
                            entry("b", canary.address(), "in_service", 2)));
            discovery.awaitCall();
            List<WebSocketPeer> clients = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                // The exposure budget of the canary grows as requests are completed, so the sessions are opened slowly.
                clients.add(WebSocketPeer.open(relay.port(), "/read/x", "t" + i, "X-Size-Hint: 100000\r\n"));
                Thread.sleep(60);
            }
            long openedAtCanary = canary.received().stream()
                    .filter(WebSocketDrainTest::isOpening)
                    .count();
            assertThat(openedAtCanary).isBetween(2L, 9L);
            // All clients send at once. Messages of the sessions at the canary wait for the exposure cap.
            AtomicBoolean stopped = new AtomicBoolean();
            List<Long> sentNs = sendMessages(clients, stopped);
            Thread.sleep(2_500);
            long rollbackNs = System.nanoTime();
            writeChunk(stateStream, String.format(stateFormat, "rolling_back", "0"));
            Thread.sleep(1_500);
            stopped.set(true);
            List<Long> atCanaryNs = canary.received().stream()
                    .filter(received -> received.event().startsWith("m") || isOpening(received))
                    .map(WebSocketEndpoint.Received::atNs)
                    .sorted()
                    .toList();
            List<Long> acceptedNs = Stream.of(webSocketEndpoint.received(), canary.received())
                    .flatMap(List::stream)
                    .filter(WebSocketDrainTest::isOpening)
                    .map(WebSocketEndpoint.Received::atNs)
                    .collect(Collectors.toCollection(ArrayList::new));
            acceptedNs.addAll(sentNs);
            assertWithinExposureCap(atCanaryNs, acceptedNs);
            assertThat(atCanaryNs.stream().filter(ns -> ns > rollbackNs + 1_000_000_000L))
                    .isEmpty();
            assertThat(atCanaryNs.size())
                    .as("messages and openings at the canary, which uses its exposure cap")
                    .isGreaterThan(20);
            assertThat(canary.received().stream()
                            .filter(received -> received.event().equals("close 1001"))
                            .count())
                    .isEqualTo(openedAtCanary);
            for (WebSocketPeer client : clients) {
                client.close();
            }
        }
    }

    /** Returns whether an event at an endpoint is the opening of a session. */
    private static boolean isOpening(WebSocketEndpoint.Received received) {
        return received.event().equals("open");
    }

    /**
     * Makes each client send the next message after the echo of the previous one, until stopped. Returns the list of
     * the send times, which grows while the clients send.
     */
    private static List<Long> sendMessages(List<WebSocketPeer> clients, AtomicBoolean stopped) {
        AtomicInteger messageCount = new AtomicInteger();
        List<Long> sentNs = Collections.synchronizedList(new ArrayList<>());
        for (WebSocketPeer client : clients) {
            BackgroundTask.start(() -> {
                boolean echoed = true;
                while (echoed && !stopped.get()) {
                    sentNs.add(System.nanoTime());
                    client.sendText("m" + messageCount.incrementAndGet());
                    echoed = client.readMessage().opcode() == WebSocketPeer.TEXT;
                    Thread.sleep(20);
                }
            });
        }
        return sentNs;
    }

    /**
     * Checks that the canary stays within its exposure cap in every window of 100 ms, 500 ms and 2 s.
     *
     * @param atCanaryNs the sorted times of openings and messages at the canary
     * @param acceptedNs the times of all openings at endpoints and of all messages sent by clients
     */
    private static void assertWithinExposureCap(List<Long> atCanaryNs, List<Long> acceptedNs) {
        for (long fromNs : atCanaryNs) {
            for (long windowNs : new long[] {100_000_000L, 500_000_000L, 2_000_000_000L}) {
                long attempts = atCanaryNs.stream()
                        .filter(ns -> ns >= fromNs && ns <= fromNs + windowNs)
                        .count();
                long requests = acceptedNs.stream()
                        .filter(ns -> ns >= fromNs - 150_000_000L && ns <= fromNs + windowNs)
                        .count();
                assertThat((double) attempts)
                        .as("attempts at the canary for %d requests in %d ns", requests, windowNs)
                        .isLessThanOrEqualTo(2 + 2 + 0.24 * requests);
            }
        }
    }
}
