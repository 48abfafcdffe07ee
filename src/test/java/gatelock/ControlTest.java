package gatelock;

import static gatelock.StandIns.ask;
import static gatelock.StandIns.read;
import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.ControlService;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Versions from a control service on the way to a relay that serves, over sockets. */
final class ControlTest {
    private static final long EPOCH = 1_700_000_000_000L;
    private static final String PLAN = "{\"format\": 1, \"by\": \"test\", \"note\": \"%s\", "
            + "\"unmatched\": \"refuse\",\n"
            + " \"limits\": {\"few\": {\"ratePerS\": 0.5, \"burst\": %d}},\n"
            + " \"routes\": [{\"name\": \"reads\", \"path\": \"/read\", \"class\": \"read\", \"limits\": "
            + "[\"few\"]},\n"
            + "  {\"name\": \"claims\", \"path\": \"/claim\", \"class\": \"claim\"}]}";

    @TempDir
    private Path directory;

    private StandIns all;
    private ControlService control;
    private String services = "";
    private String more = "";

    @BeforeEach
    void stand() throws Exception {
        all = new StandIns();
        control = new ControlService();
    }

    @AfterEach
    void leave() throws Exception {
        control.close();
        all.close();
    }

    private static String plan(String note, int burst) {
        return String.format(PLAN, note, burst);
    }

    private void start() throws Exception {
        Path operator = directory.resolve("operator.json");
        Files.writeString(
                operator,
                "{\"control\": {\"services\": [\"" + control.address() + services
                        + "\"], \"holdMs\": 500,"
                        + " \"mostWaitMs\": 400, \"directory\": \"" + directory.resolve("kept") + "\"}" + more + "}");
        all.start("--operator", operator.toString());
    }

    /** Clients that ask all the time, endpoints that answer at once; every request is to get just one answer. */
    private final class Traffic implements AutoCloseable {
        private final List<Thread> clients = new ArrayList<>();
        private final Map<String, Integer> answers = new ConcurrentHashMap<>();
        private final Queue<Throwable> wrong = new ConcurrentLinkedQueue<>();
        private volatile boolean over;

        Traffic(int clients) {
            StandIns.go(() -> {
                while (true) {
                    all.endpoint.next().answer("200 OK", "", "done");
                }
            });
            for (int i = 0; i < clients; i++) {
                int n = i;
                Thread client = new Thread(() -> asks(n));
                client.setDaemon(true);
                client.start();
                this.clients.add(client);
            }
        }

        private void asks(int n) {
            try (Socket client = all.connect()) {
                for (int i = 0; !over; i++) {
                    ask(client, i % 2 == 0 ? "GET /read" : "POST /claim", "t" + n + "-" + i, "", i % 2 == 0 ? "" : "x");
                    StandIns.Came answer = read(client);
                    answers.merge(answer.head().substring(9, 12), 1, Integer::sum);
                }
            } catch (Exception | AssertionError e) {
                wrong.add(e);
            }
        }

        /** Ends it and gives the answers by status. */
        Map<String, Integer> end() throws Exception {
            over = true;
            for (Thread client : clients) {
                client.join(30_000);
                assertThat(client.isAlive()).as("a client waits for its answer").isFalse();
            }
            assertThat(wrong).isEmpty();
            return answers;
        }

        @Override
        public void close() {
            over = true;
        }
    }

    private String status(String line, String id) throws Exception {
        try (Socket client = all.connect()) {
            ask(client, line, id, "", "x");
            return read(client).head().substring(9, 12);
        }
    }

    private void served(String line, String id) throws Exception {
        try (Socket client = all.connect()) {
            ask(client, line, id, "", "x");
            all.endpoint.next().answer("200 OK", "", "done");
            assertThat(read(client).body()).isEqualTo("done");
        }
    }

    @Test
    void aVersionComesInForceAndIsAcknowledgedAndABadOneIsTurnedDownWithItsReason() throws Exception {
        control.offer(EPOCH, "a", 1, plan("first", 2));
        start();
        Map<String, Object> first = control.report(EPOCH + "/1");
        assertThat(first).containsEntry("accepted", true).containsEntry("version", 1);
        served("GET /read", "r1");
        served("GET /read", "r2");
        assertThat(status("GET /read", "r3")).isEqualTo("503");
        assertThat(status("POST /post", "p1")).isEqualTo("404");
        served("POST /claim", "c1");
        control.offer(EPOCH, "a", 2, plan("broken", 2).replace("\"class\": \"claim\"", "\"class\": \"clam\""));
        Map<String, Object> second = control.report(EPOCH + "/2");
        assertThat(second).containsEntry("accepted", false).containsEntry("version", 1);
        assertThat(second.get("findings").toString()).contains("M-CLASS", "/routes/1/class", "clam");
        served("POST /claim", "c2");
        control.offer(EPOCH, "a", 3, plan("third", 1000));
        assertThat(control.report(EPOCH + "/3")).containsEntry("accepted", true).containsEntry("version", 3);
        assertThat(status("GET /read", "r4")).as("no fresh burst").isEqualTo("503");
    }

    @Test
    void versionsInAnyOrderComeWhileRequestsFlowAndEachIsAnswered() throws Exception {
        control.offer(EPOCH, "a", 10, plan("first", 1_000_000));
        start();
        control.report(EPOCH + "/10");
        try (Traffic traffic = new Traffic(4)) {
            control.manner(ControlService.Manner.STUBBORN);
            control.offer(EPOCH, "a", 9, plan("older", 1));
            assertThat(control.report(EPOCH + "/9"))
                    .containsEntry("answer", "older")
                    .containsEntry("version", 10);
            control.offer(EPOCH, "a", 10, plan("a fork", 1));
            assertThat(forked()).containsEntry("version", 10);
            control.offer(EPOCH - 5, "a", 50, plan("an old copy", 1));
            assertThat(control.report((EPOCH - 5) + "/50")).containsEntry("answer", "old-epoch");
            control.manner(ControlService.Manner.USUAL);
            control.offer(EPOCH, "a", 20, plan("a gap", 1_000_000));
            assertThat(control.report(EPOCH + "/20")).containsEntry("accepted", true);
            StringBuilder huge = new StringBuilder("{\"format\": 1, \"routes\": [");
            for (int i = 0; i < 8_000; i++) {
                huge.append(i == 0 ? "" : ",\n")
                        .append("{\"name\": \"r")
                        .append(i)
                        .append("\", \"path\": \"/x/")
                        .append(i)
                        .append("\", \"class\": \"read\"}");
            }
            control.offer(EPOCH, "a", 21, huge + "], \"removes\": [\"reads\", \"claims\"]}");
            assertThat(control.report(EPOCH + "/21")).containsEntry("accepted", true);
            control.offer(EPOCH, "a", 22, "x".repeat(9 << 20));
            all.awaitLog("the version is larger than");
            control.offer(EPOCH + 1, "b", 1, plan("built anew", 1_000_000));
            assertThat(control.report((EPOCH + 1) + "/1")).containsEntry("accepted", true);
            Map<String, Integer> answers = traffic.end();
            assertThat(answers.keySet()).containsExactly("200");
        }
        assertThat(all.log()).doesNotContain("unexpected");
    }

    /** The report on a fork comes under a nonce that an earlier version had. */
    private Map<String, Object> forked() throws Exception {
        Map<String, Object> report = control.report(EPOCH + "/10");
        while (!"fork".equals(report.get("answer"))) {
            report = control.report(EPOCH + "/10");
        }
        return report;
    }

    @Test
    void whatIsCutDamagedOrFailsChangesNothingAndIsAskedForAgain() throws Exception {
        control.offer(EPOCH, "a", 1, plan("first", 1_000_000));
        start();
        control.report(EPOCH + "/1");
        int number = 1;
        for (ControlService.Manner manner : List.of(
                ControlService.Manner.CUT,
                ControlService.Manner.DAMAGED,
                ControlService.Manner.FAILING,
                ControlService.Manner.SILENT)) {
            control.manner(manner);
            control.offer(EPOCH, "a", ++number, plan("later", 1_000_000));
            int calls = control.calls();
            while (control.calls() < calls + 2) {
                Thread.sleep(10);
            }
            served("GET /read", "m" + manner);
            control.manner(ControlService.Manner.USUAL);
            assertThat(control.report(EPOCH + "/" + number)).containsEntry("accepted", true);
        }
        assertThat(all.log()).doesNotContain("unexpected");
    }

    @Test
    void aServiceThatSendsTheSameBadVersionAgainAndAgainMakesNoCircleAndNoFlood() throws Exception {
        control.offer(EPOCH, "a", 1, plan("first", 1_000_000));
        start();
        control.report(EPOCH + "/1");
        control.manner(ControlService.Manner.STUBBORN);
        control.offer(EPOCH, "a", 2, "{}");
        assertThat(control.report(EPOCH + "/2")).containsEntry("accepted", false);
        int calls = control.calls();
        Thread.sleep(2_000);
        // Waits grow to 0.4 s here, drawn evenly: some ten calls, where a circle would make thousands.
        assertThat(control.calls() - calls).isBetween(2, 60);
        assertThat(all.log().split("is turned down", -1)).hasSize(2);
        control.manner(ControlService.Manner.HASTY);
        calls = control.calls();
        Thread.sleep(1_000);
        assertThat(control.calls() - calls).isBetween(1, 40);
    }

    @Test
    void aSwarmOfVersionsIsFollowedWithoutHarmToRequests() throws Exception {
        control.offer(EPOCH, "a", 1, plan("first", 1_000_000));
        start();
        control.report(EPOCH + "/1");
        try (Traffic traffic = new Traffic(4)) {
            for (int i = 2; i < 1_002; i++) {
                control.offer(EPOCH, "a", i, plan("swarm " + i, 1_000_000));
                Thread.sleep(5);
            }
            long latest = 1;
            while (latest < 1_001) {
                Map<String, Object> report = control.report();
                assertThat(report).containsEntry("accepted", true);
                long told = ((Number) report.get("version")).longValue();
                assertThat(told).isGreaterThan(latest);
                latest = told;
            }
            assertThat(traffic.end().keySet()).containsExactly("200");
        }
        assertThat(all.log()).doesNotContain("unexpected");
    }

    @Test
    void aVersionThatComesWhileTheRelayLeavesOrReadsItsFileAnewHarmsNothing() throws Exception {
        control.offer(EPOCH, "a", 1, plan("first", 1_000_000));
        start();
        control.report(EPOCH + "/1");
        try (Traffic traffic = new Traffic(2)) {
            for (int i = 2; i < 12; i++) {
                all.hangUp();
                control.offer(EPOCH, "a", i, plan("hang up " + i, 1_000_000));
                assertThat(control.report(EPOCH + "/" + i)).containsEntry("accepted", true);
            }
            all.signal("TERM");
            control.offer(EPOCH, "a", 12, plan("leaving", 1_000_000));
            traffic.over = true;
            assertThat(traffic.end().keySet()).containsExactly("200");
        }
        assertThat(all.process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(all.log()).contains("ends:").doesNotContain("unexpected");
    }

    @Test
    void aLimitThatChangesWhileItsQueueIsFullLetsThoseGoThatMay() throws Exception {
        String queued =
                plan("queue", 1).replace("\"burst\": 1", "\"burst\": 1, \"queue\": {\"length\": 3, \"waitMs\": 900}");
        control.offer(EPOCH, "a", 1, queued);
        start();
        control.report(EPOCH + "/1");
        served("GET /read", "takes the burst");
        List<Socket> waiting = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            waiting.add(all.connect());
            ask(waiting.get(i), "GET /read", "waits" + i, "X-Expires-In-Ms: 5000\r\n", "");
        }
        // Of four one finds no place and is shed at once, with a time to come back.
        StandIns.Came shed = all.first(waiting);
        assertThat(shed.head()).startsWith("HTTP/1.1 503");
        assertThat(Double.parseDouble(shed.header("Retry-After"))).isPositive();
        control.offer(EPOCH, "a", 2, queued.replace("\"ratePerS\": 0.5", "\"ratePerS\": 1000"));
        assertThat(control.report(EPOCH + "/2")).containsEntry("accepted", true);
        for (int i = 0; i < 3; i++) {
            all.endpoint.next().answer("200 OK", "", "done");
        }
        for (Socket client : waiting) {
            if (client != shed.socket()) {
                assertThat(read(client).body()).isEqualTo("done");
            }
            client.close();
        }
    }

    @Test
    void aRelayStartsOnWhatItKeptWhenTheServiceIsAwayAndPassesOverWhatIsTorn() throws Exception {
        control.offer(EPOCH, "a", 1, plan("first", 1_000_000));
        start();
        control.report(EPOCH + "/1");
        control.offer(EPOCH, "a", 2, plan("second", 1_000_000));
        control.report(EPOCH + "/2");
        Path kept = directory.resolve("kept");
        while (!Files.exists(kept.resolve("last-good.plan.1"))) {
            Thread.sleep(10);
        }
        all.process.destroyForcibly().waitFor();
        control.manner(ControlService.Manner.SILENT);
        byte[] latest = Files.readAllBytes(kept.resolve("last-good.plan"));
        Files.write(kept.resolve("last-good.plan"), Arrays.copyOf(latest, latest.length - 7));
        start();
        assertThat(all.log())
                .contains("last-good.plan is passed over: it is cut or torn")
                .contains("-a:1 in force, 2 routes, from disk");
        assertThat(status("POST /post", "p1")).isEqualTo("404");
        served("POST /claim", "c1");
        control.manner(ControlService.Manner.USUAL);
        assertThat(control.report(EPOCH + "/2")).containsEntry("accepted", true);
    }

    @Test
    void ofTwoServicesThatDisagreeTheOneBornLaterHoldsAndItIsLoggedOnce() throws Exception {
        control.offer(EPOCH, "a", 7, plan("first", 1_000_000));
        try (ControlService other = new ControlService()) {
            other.offer(EPOCH + 10, "b", 1, plan("other", 1_000_000));
            services = "\", \"" + other.address();
            start();
            control.report(EPOCH + "/7");
            control.manner(ControlService.Manner.FAILING);
            assertThat(other.report((EPOCH + 10) + "/1")).containsEntry("accepted", true);
            control.manner(ControlService.Manner.STUBBORN);
            other.manner(ControlService.Manner.FAILING);
            for (int i = 0; i < 3; i++) {
                assertThat(control.report(EPOCH + "/7"))
                        .containsEntry("answer", "old-epoch")
                        .containsEntry("version", 1);
            }
            served("POST /claim", "c1");
            assertThat(all.log().split("is not applied, old-epoch", -1)).hasSize(2);
        }
    }

    @Test
    void theOperatorSeesWhatIsInForceGoesBackAndLetsTheServiceLeadAgain() throws Exception {
        control.offer(EPOCH, "a", 1, plan("first", 1_000_000));
        String at = "127.0.0.1:" + StandIns.freePort();
        more = ", \"listener\": \"" + at + "\", \"log\": {\"form\": \"json\"}";
        start();
        control.report(EPOCH + "/1");
        control.offer(
                EPOCH,
                "a",
                2,
                plan("second", 1_000_000).replace("claims", "CLAIMS").replace("}]}", "}], \"removes\": [\"claims\"]}"));
        control.report(EPOCH + "/2");
        assertThat(command(0, "status", "--at", at)).contains("inForce: " + EPOCH + "-a:2");
        assertThat(command(0, "back", "1", "--why", "second is odd", "--at", at))
                .contains("inForce: " + EPOCH + "-a:1", "pinned: true");
        control.offer(EPOCH, "a", 3, plan("third", 1_000_000));
        assertThat(control.report(EPOCH + "/3"))
                .containsEntry("answer", "pinned")
                .containsEntry("accepted", false);
        assertThat(command(0, "history", "--at", at)).contains("by=test", "note=first", "from=operator: second is odd");
        assertThat(command(1, "back", "77", "--why", "none", "--at", at)).contains("no version 77 is remembered");
        assertThat(command(0, "release", "--at", at)).contains("pinned: false");
        Map<String, Object> report = control.report(EPOCH + "/3");
        while (!Boolean.TRUE.equals(report.get("accepted"))) {
            report = control.report(EPOCH + "/3");
        }
        served("POST /claim", "c1");
        // Each line of the control path has its version as a field of its own.
        assertThat(all.log().lines().filter(l -> l.startsWith("{") && l.contains("in force, ")))
                .hasSizeGreaterThanOrEqualTo(4)
                .allMatch(l -> l.contains("\"version\""));
    }

    private String command(int code, String... words) throws Exception {
        Process process = StandIns.java(words).redirectErrorStream(true).start();
        String said = new String(process.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
        assertThat(process.waitFor()).as(said).isEqualTo(code);
        return said;
    }
}
