package gatelock;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.ControlService;
import gatelock.standin.WebSocketEndpoint;
import gatelock.standin.WebSocketPeer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** WebSocket sessions through the program, with endpoints and tablets that the test speaks for. */
final class SessionsTest {
    private static final String PLAN = "{\"format\": 1, \"unmatched\": \"refuse\", \"limits\": {\"few\": "
            + "{\"inFlight\": 40}},"
            + " \"routes\": [{\"name\": \"quick\", \"path\": \"/read/quick\", \"class\": \"read\", "
            + "\"sessions\": {\"pingS\": 0.5}},"
            + " {\"name\": \"watch\", \"path\": \"/read\", \"class\": \"read\", \"limits\": [\"few\"],"
            + " \"sessions\": {\"messageBytes\": 1000, \"pingS\": 10, \"idleS\": 30, \"framesPerS\": 300}}]}";
    private static final String ENTRY =
            "{\"name\":\"%s\",\"address\":\"%s\",\"status\":\"%s\",\"since_ms\":0,\"image_id\":%d}";

    @TempDir
    private Path directory;

    private StandIns all;
    private ControlService control;
    private WebSocketEndpoint hive;

    @BeforeEach
    void stand() throws Exception {
        all = new StandIns();
        control = new ControlService();
        hive = new WebSocketEndpoint();
        Files.writeString(
                all.config,
                Files.readString(all.config)
                        .replace(all.endpoint.address(), hive.address())
                        .replace("\"deadlineNs\": 1000000000", "\"deadlineNs\": 2500000000"));
        control.offer(1, "s", 1, PLAN);
        Path operator = directory.resolve("operator.json");
        Files.writeString(
                operator,
                "{\"control\": {\"services\": [\"" + control.address()
                        + "\"], \"holdMs\": 500},"
                        + " \"sessions\": {\"drainS\": 2, \"opensPerUnitS\": 5}}");
        all.start("--operator", operator.toString());
        control.report("1/1");
    }

    @AfterEach
    void leave() throws Exception {
        hive.close();
        control.close();
        all.close();
    }

    private WebSocketPeer open(String id) throws Exception {
        return WebSocketPeer.open(all.port, "/read/hive/7?since=3", id, "");
    }

    private static void echoes(WebSocketPeer tablet, String text) throws Exception {
        tablet.text(text);
        assertThat(tablet.frame().text()).isEqualTo(text);
    }

    @Test
    void framesGoBothWaysAndACloseGoesThroughWithItsCode() throws Exception {
        try (WebSocketPeer tablet = open("a")) {
            for (int i = 0; i < 50; i++) {
                echoes(tablet, "weight " + i + " \u0da7");
            }
            tablet.close(4001, "seen enough");
            WebSocketPeer.Frame close = tablet.frame();
            assertThat(close.code()).isEqualTo(4001);
            assertThat(tablet.frame().opcode()).isEqualTo(-1);
        }
        // The endpoint's own thread notes the close at its own time.
        for (int i = 0; i < 200 && hive.log().stream().noneMatch(c -> c.what().equals("close 4001")); i++) {
            Thread.sleep(50);
        }
        assertThat(hive.log()).anyMatch(c -> c.what().equals("close 4001"));
    }

    @Test
    void fragmentsWithSignsOfLifeInBetweenAreOneMessageAndBinaryStaysBinary() throws Exception {
        try (WebSocketPeer tablet = open("f")) {
            tablet.frame(WebSocketPeer.TEXT, "one ".getBytes());
            tablet.frame(0x80 | WebSocketPeer.PING, "alive".getBytes());
            tablet.frame(0, "two ".getBytes());
            tablet.frame(0x80, "three".getBytes());
            WebSocketPeer.Frame pong = tablet.next();
            assertThat(pong.opcode()).isEqualTo(WebSocketPeer.PONG);
            assertThat(pong.text()).isEqualTo("alive");
            assertThat(tablet.frame().text()).isEqualTo("one two three");
            byte[] bytes = {0, (byte) 0xff, 7};
            tablet.frame(0x80 | WebSocketPeer.BINARY, bytes);
            WebSocketPeer.Frame back = tablet.frame();
            assertThat(back.opcode()).isEqualTo(WebSocketPeer.BINARY);
            assertThat(back.body()).isEqualTo(bytes);
            tablet.frame(0x80 | WebSocketPeer.TEXT, new byte[0]);
            assertThat(tablet.frame().body()).isEmpty();
        }
    }

    @Test
    void aFloodOfFramesEndsThatSessionOnly() throws Exception {
        try (WebSocketPeer tablet = open("flood");
                WebSocketPeer other = open("other")) {
            StandIns.go(() -> {
                for (int i = 0; i < 5_000; i++) {
                    tablet.frame(0x80 | WebSocketPeer.PING, new byte[0]);
                }
            });
            assertThat(tablet.frame().code()).isEqualTo(1008);
            echoes(other, "unharmed");
        }
    }

    @Test
    void anUpgradeThatCantBeIsAPlainAnswer() throws Exception {
        hive.refuse();
        try (WebSocketPeer tablet = open("a")) {
            throw new AssertionError("it was opened");
        } catch (WebSocketPeer.Refused e) {
            assertThat(e.getMessage()).startsWith("HTTP/1.1 50");
        }
    }

    @Test
    void anEndpointThatIsLostAndAClientThatIsLostAreToldToTheOther() throws Exception {
        hive.stay();
        try (WebSocketPeer tablet = open("a")) {
            hive.next().close();
            assertThat(tablet.frame().code()).isEqualTo(1014);
        }
        WebSocketPeer leaving = open("b");
        WebSocketPeer endpoint = hive.next();
        leaving.close();
        assertThat(endpoint.frame().code()).isEqualTo(1001);
    }

    @Test
    void whatIsAgainstTheProtocolEndsThatSessionWithItsCode() throws Exception {
        byte[] body = "x".getBytes();
        Object[][] cases = {
            {"5.2 reserved bit", 0xC1, body, 1002},
            {"5.2 unknown opcode", 0x83, body, 1002},
            {"5.2 unknown control", 0x8B, body, 1002},
            {"5.4 continuation of nothing", 0x80, body, 1002},
            {"5.5 control over 125 bytes", 0x89, new byte[126], 1002},
            {"5.5 control in fragments", 0x09, body, 1002},
            {"8.1 no UTF-8", 0x81, new byte[] {(byte) 0xc3, (byte) 0x28}, 1007},
            {"10.4 too big", 0x81, "y".repeat(2000).getBytes(), 1009}
        };
        for (Object[] c : cases) {
            try (WebSocketPeer tablet = open("c" + c[0]);
                    WebSocketPeer other = open("o" + c[0])) {
                tablet.frame((Integer) c[1], (byte[]) c[2]);
                assertThat(tablet.frame().code()).as("%s", c[0]).isEqualTo(c[3]);
                echoes(other, "unharmed");
            }
        }
        assertThat(all.log()).doesNotContain("unexpected");
    }

    @Test
    void atADrainNothingNewGoesThereAndSessionsLeaveInTurn() throws Exception {
        StandIns.Came asked = all.discovery.next();
        try (WebSocketEndpoint other = new WebSocketEndpoint()) {
            String both = String.format(ENTRY, "a", hive.address(), "in_service", 1) + ","
                    + String.format(ENTRY, "b", other.address(), "%s", 1);
            asked.answer(
                    "200 OK",
                    "",
                    "{\"index\":5,\"snapshot\":true,\"endpoints\":[" + String.format(both, "in_service") + "]}");
            StandIns.Came watch = all.discovery.next();
            List<WebSocketPeer> tablets = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                tablets.add(open("d" + i));
                echoes(tablets.get(i), "first");
            }
            long there =
                    other.log().stream().filter(c -> c.what().equals("open")).count();
            assertThat(there).isPositive();
            watch.answer(
                    "200 OK",
                    "",
                    "{\"index\":6,\"snapshot\":false,\"endpoints\":["
                            + String.format(ENTRY, "b", other.address(), "terminating", 1) + "]}");
            long toldNs = System.nanoTime();
            all.discovery.next();
            int closed = 0;
            for (WebSocketPeer tablet : tablets) {
                tablet.text("second");
                WebSocketPeer.Frame frame = tablet.frame();
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
            assertThat(other.log())
                    .noneMatch(c -> c.ns() > toldNs + 1_000_000_000L
                            && !c.what().startsWith("close")
                            && !c.what().equals("ended"));
            for (WebSocketPeer tablet : tablets) {
                tablet.close();
            }
        }
    }

    @Test
    void aLimitHoldsForAsLongAsSessionsAreOpen() throws Exception {
        List<WebSocketPeer> tablets = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            tablets.add(open("l" + i));
        }
        try (WebSocketPeer tablet = open("one more")) {
            throw new AssertionError("it was opened");
        } catch (WebSocketPeer.Refused e) {
            assertThat(e.getMessage()).startsWith("HTTP/1.1 503").contains("Retry-After");
        }
        tablets.get(0).close(1000, "");
        assertThat(tablets.get(0).frame().code()).isEqualTo(1000);
        for (int i = 0; i < 100; i++) {
            try (WebSocketPeer tablet = open("again" + i)) {
                echoes(tablet, "room");
                return;
            } catch (WebSocketPeer.Refused e) {
                Thread.sleep(20);
            }
        }
        throw new AssertionError("what a session held was never free");
    }

    @Test
    void aSideThatGivesNoSignOfLifeEndsTheSession() throws Exception {
        hive.stay();
        try (WebSocketPeer tablet = WebSocketPeer.open(all.port, "/read/quick", "mute", "")) {
            WebSocketPeer endpoint = hive.next();
            WebSocketPeer.Frame frame = tablet.next();
            while (frame.opcode() == WebSocketPeer.PING) {
                frame = tablet.next();
            }
            assertThat(frame.code()).isIn(1001, 1014);
            assertThat(endpoint.frame().code()).isEqualTo(1001);
        }
    }

    @Test
    void aRelayThatLeavesTellsEachSession() throws Exception {
        List<WebSocketPeer> tablets = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            tablets.add(open("t" + i));
            echoes(tablets.get(i), "here");
        }
        all.signal("TERM");
        for (WebSocketPeer tablet : tablets) {
            WebSocketPeer.Frame frame = tablet.frame();
            assertThat(frame.code()).isEqualTo(1012);
            assertThat(frame.reason()).matches("relay leaves, come back after [0-9]+ ms");
            tablet.frame(0x88, frame.body());
            tablet.close();
        }
        assertThat(all.process.waitFor(20, java.util.concurrent.TimeUnit.SECONDS))
                .isTrue();
        assertThat(all.log()).contains("ends:").doesNotContain("unexpected");
    }

    @Test
    void aCanaryGetsNoMoreThanItsCapAndItsSessionsEndWhenItGoesBack() throws Exception {
        StandIns.Came list = all.discovery.next();
        java.io.OutputStream news = StandIns.chunked(all.controller.next());
        try (WebSocketEndpoint canary = new WebSocketEndpoint()) {
            String state =
                    "{\"type\":\"news\",\"object\":{\"release\":2,\"tranche\":0,\"mode\":\"%s\",\"exposure\":%s,\"old_ms\":1}}\n";
            StandIns.chunk(news, String.format(state, "trial", "0.2"));
            list.answer(
                    "200 OK",
                    "",
                    "{\"index\":5,\"snapshot\":true,\"endpoints\":["
                            + String.format(ENTRY, "a", hive.address(), "in_service", 1) + ","
                            + String.format(ENTRY, "b", canary.address(), "in_service", 2) + "]}");
            all.discovery.next();
            List<WebSocketPeer> tablets = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                // A canary endpoint's own budget fills with the work that is done, so it takes some time.
                tablets.add(WebSocketPeer.open(all.port, "/read/x", "t" + i, "X-Size-Hint: 100000\r\n"));
                Thread.sleep(60);
            }
            long opens =
                    canary.log().stream().filter(c -> c.what().equals("open")).count();
            assertThat(opens).isBetween(2L, 9L);
            // All talk at once, those at the canary as much as the others: there messages wait for the cap.
            List<Thread> talking = new ArrayList<>();
            java.util.concurrent.atomic.AtomicInteger said = new java.util.concurrent.atomic.AtomicInteger();
            List<Long> saidNs = java.util.Collections.synchronizedList(new ArrayList<>());
            List<Integer> codes = java.util.Collections.synchronizedList(new ArrayList<>());
            java.util.concurrent.atomic.AtomicBoolean over = new java.util.concurrent.atomic.AtomicBoolean();
            for (WebSocketPeer tablet : tablets) {
                Thread thread = new Thread(() -> {
                    try {
                        for (WebSocketPeer.Frame f = null;
                                !over.get() && (f == null || f.opcode() == WebSocketPeer.TEXT);
                                f = tablet.frame()) {
                            if (f != null) {
                                Thread.sleep(20);
                            }
                            saidNs.add(System.nanoTime());
                            tablet.text("m" + said.incrementAndGet());
                        }
                        WebSocketPeer.Frame last = tablet.frame();
                        codes.add(last.code());
                    } catch (Exception e) {
                        codes.add(-2);
                    }
                });
                thread.start();
                talking.add(thread);
            }
            Thread.sleep(2_500);
            long backNs = System.nanoTime();
            StandIns.chunk(news, String.format(state, "rolling_back", "0"));
            Thread.sleep(1_500);
            over.set(true);
            List<Long> atCanary = canary.log().stream()
                    .filter(c -> c.what().startsWith("m") || c.what().equals("open"))
                    .map(WebSocketEndpoint.Came::ns)
                    .sorted()
                    .toList();
            List<Long> taken = java.util.stream.Stream.of(hive.log(), canary.log())
                    .flatMap(List::stream)
                    .filter(c -> c.what().equals("open"))
                    .map(WebSocketEndpoint.Came::ns)
                    .collect(java.util.stream.Collectors.toCollection(ArrayList::new));
            taken.addAll(saidNs);
            for (long from : atCanary) {
                for (long spanNs : new long[] {100_000_000L, 500_000_000L, 2_000_000_000L}) {
                    long attempts = atCanary.stream()
                            .filter(ns -> ns >= from && ns <= from + spanNs)
                            .count();
                    long requests = taken.stream()
                            .filter(ns -> ns >= from - 150_000_000L && ns <= from + spanNs)
                            .count();
                    assertThat((double) attempts)
                            .as("%d reqs in %d ns", requests, spanNs)
                            .isLessThanOrEqualTo(2 + 2 + 0.24 * requests);
                }
            }
            assertThat(atCanary.stream().filter(ns -> ns > backNs + 1_000_000_000L))
                    .isEmpty();
            assertThat(atCanary.size()).as("the cap is used").isGreaterThan(20);
            assertThat(canary.log().stream()
                            .filter(c -> c.what().equals("close 1001"))
                            .count())
                    .isEqualTo(opens);
            for (WebSocketPeer tablet : tablets) {
                tablet.close();
            }
        }
    }
}
