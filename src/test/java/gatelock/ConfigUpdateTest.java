package gatelock;

import static gatelock.standin.RawHttp.firstResponse;
import static gatelock.standin.RawHttp.readMessage;
import static gatelock.standin.RawHttp.sendRequest;
import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.ControlService;
import gatelock.standin.HttpMessage;
import gatelock.standin.RelayProcess;
import gatelock.standin.RelayTestCase;
import gatelock.standin.RelayUnderTest;
import gatelock.standin.SteadyTraffic;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Configuration versions from a control service on their way to a relay that serves. */
final class ConfigUpdateTest extends RelayTestCase {
    private static final long EPOCH = 1_700_000_000_000L;

    @TempDir
    private Path directory;

    private ControlService control;
    /** Further addresses of control services in the operator's file. */
    private String moreServices = "";
    /** Further settings in the operator's file. */
    private String moreSettings = "";

    @BeforeEach
    void startControlService() throws Exception {
        control = new ControlService();
    }

    @AfterEach
    void stopControlService() throws Exception {
        control.close();
    }

    /** Returns a configuration version in which reads are limited to this burst. */
    private static String plan(String note, int burst) {
        return String.format(
                "{\"format\": 1, \"by\": \"test\", \"note\": \"%s\", "
                        + "\"unmatched\": \"refuse\",\n"
                        + " \"limits\": {\"few\": {\"ratePerS\": 0.5, \"burst\": %d}},\n"
                        + " \"routes\": [{\"name\": \"reads\", \"path\": \"/read\", \"class\": \"read\", \"limits\": "
                        + "[\"few\"]},\n"
                        + "  {\"name\": \"claims\", \"path\": \"/claim\", \"class\": \"claim\"}]}",
                note, burst);
    }

    private void start() throws Exception {
        Path operator = directory.resolve("operator.json");
        Files.writeString(
                operator,
                "{\"control\": {\"services\": [\"" + control.address() + moreServices
                        + "\"], \"holdMs\": 500,"
                        + " \"mostWaitMs\": 400, \"directory\": \"" + directory.resolve("kept") + "\"}" + moreSettings
                        + "}");
        startRelay("--operator", operator.toString());
    }

    /** Starts the relay and waits until it reports that the first version is in force. */
    private void startOnFirstVersion() throws Exception {
        control.offer(EPOCH, "a", 1, plan("first", 1_000_000));
        start();
        control.awaitReport(EPOCH + "/1");
    }

    /** Returns the status of the response that the relay gives by itself. */
    private String status(String line, String id) throws Exception {
        try (Socket client = relay.connect()) {
            sendRequest(client, line, id, "", "x");
            return readMessage(client).head().substring(9, 12);
        }
    }

    private void assertServed(String line, String id) throws Exception {
        try (Socket client = relay.connect()) {
            sendRequest(client, line, id, "", "x");
            endpoint.awaitCall().respond("200 OK", "", "done");
            assertThat(readMessage(client).body()).isEqualTo("done");
        }
    }

    @Test
    void aVersionComesInForceAndIsAcknowledgedAndABadOneIsTurnedDownWithItsReason() throws Exception {
        control.offer(EPOCH, "a", 1, plan("first", 2));
        start();
        Map<String, Object> first = control.awaitReport(EPOCH + "/1");
        assertThat(first).containsEntry("accepted", true).containsEntry("version", 1);
        assertServed("GET /read", "r1");
        assertServed("GET /read", "r2");
        assertThat(status("GET /read", "r3")).isEqualTo("503");
        assertThat(status("POST /post", "p1")).isEqualTo("404");
        assertServed("POST /claim", "c1");
        control.offer(EPOCH, "a", 2, plan("broken", 2).replace("\"class\": \"claim\"", "\"class\": \"clam\""));
        Map<String, Object> second = control.awaitReport(EPOCH + "/2");
        assertThat(second).containsEntry("accepted", false).containsEntry("version", 1);
        assertThat(second.get("findings").toString()).contains("M-CLASS", "/routes/1/class", "clam");
        assertServed("POST /claim", "c2");
        control.offer(EPOCH, "a", 3, plan("third", 1000));
        assertThat(control.awaitReport(EPOCH + "/3"))
                .containsEntry("accepted", true)
                .containsEntry("version", 3);
        assertThat(status("GET /read", "r4")).as("no fresh burst").isEqualTo("503");
    }

    @Test
    void versionsInAnyOrderComeWhileRequestsFlowAndEachIsAnswered() throws Exception {
        control.offer(EPOCH, "a", 10, plan("first", 1_000_000));
        start();
        control.awaitReport(EPOCH + "/10");
        try (SteadyTraffic traffic = new SteadyTraffic(relay, endpoint, 4)) {
            control.behave(ControlService.Behavior.REPEATS_VERSION);
            control.offer(EPOCH, "a", 9, plan("older", 1));
            assertThat(control.awaitReport(EPOCH + "/9"))
                    .containsEntry("answer", "older")
                    .containsEntry("version", 10);
            control.offer(EPOCH, "a", 10, plan("a fork", 1));
            assertThat(awaitForkReport()).containsEntry("version", 10);
            control.offer(EPOCH - 5, "a", 50, plan("an old copy", 1));
            assertThat(control.awaitReport((EPOCH - 5) + "/50")).containsEntry("answer", "old-epoch");
            control.behave(ControlService.Behavior.NORMAL);
            control.offer(EPOCH, "a", 20, plan("a gap", 1_000_000));
            assertThat(control.awaitReport(EPOCH + "/20")).containsEntry("accepted", true);
            control.offer(EPOCH, "a", 21, planOfManyRoutes());
            assertThat(control.awaitReport(EPOCH + "/21")).containsEntry("accepted", true);
            control.offer(EPOCH, "a", 22, "x".repeat(9 << 20));
            relay.awaitLog("the version is larger than");
            control.offer(EPOCH + 1, "b", 1, plan("built anew", 1_000_000));
            assertThat(control.awaitReport((EPOCH + 1) + "/1")).containsEntry("accepted", true);
            Map<String, Integer> responses = traffic.stop();
            assertThat(responses.keySet()).containsExactly("200");
        }
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    private static String planOfManyRoutes() {
        List<String> routes = new ArrayList<>();
        for (int i = 0; i < 8_000; i++) {
            routes.add("{\"name\": \"r" + i + "\", \"path\": \"/x/" + i + "\", \"class\": \"read\"}");
        }
        return "{\"format\": 1, \"routes\": [" + String.join(",\n", routes)
                + "], \"removes\": [\"reads\", \"claims\"]}";
    }

    /** Returns the report on a fork, whose nonce is that of an earlier version. */
    private Map<String, Object> awaitForkReport() throws Exception {
        Map<String, Object> report = control.awaitReport(EPOCH + "/10");
        while (!"fork".equals(report.get("answer"))) {
            report = control.awaitReport(EPOCH + "/10");
        }
        return report;
    }

    @Test
    void whatIsCutDamagedOrFailsChangesNothingAndIsAskedForAgain() throws Exception {
        startOnFirstVersion();
        int number = 1;
        for (ControlService.Behavior manner : List.of(
                ControlService.Behavior.TRUNCATES,
                ControlService.Behavior.WRONG_HASH,
                ControlService.Behavior.FAILS,
                ControlService.Behavior.SILENT)) {
            control.behave(manner);
            control.offer(EPOCH, "a", ++number, plan("later", 1_000_000));
            int calls = control.pollCount();
            while (control.pollCount() < calls + 2) {
                Thread.sleep(10);
            }
            assertServed("GET /read", "m" + manner);
            control.behave(ControlService.Behavior.NORMAL);
            assertThat(control.awaitReport(EPOCH + "/" + number)).containsEntry("accepted", true);
        }
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    @Test
    void aServiceThatSendsTheSameBadVersionAgainAndAgainMakesNoCircleAndNoFlood() throws Exception {
        startOnFirstVersion();
        control.behave(ControlService.Behavior.REPEATS_VERSION);
        control.offer(EPOCH, "a", 2, "{}");
        assertThat(control.awaitReport(EPOCH + "/2")).containsEntry("accepted", false);
        int calls = control.pollCount();
        Thread.sleep(2_000);
        // The backoff grows to 0.4 s here, with full jitter: about ten polls, where a busy loop would make thousands.
        assertThat(control.pollCount() - calls).isBetween(2, 60);
        assertThat(relay.log().split("is turned down", -1)).hasSize(2);
        control.behave(ControlService.Behavior.IGNORES_HOLD);
        calls = control.pollCount();
        Thread.sleep(1_000);
        assertThat(control.pollCount() - calls).isBetween(1, 40);
    }

    @Test
    void aSwarmOfVersionsIsFollowedWithoutHarmToRequests() throws Exception {
        startOnFirstVersion();
        try (SteadyTraffic traffic = new SteadyTraffic(relay, endpoint, 4)) {
            for (int i = 2; i < 1_002; i++) {
                control.offer(EPOCH, "a", i, plan("swarm " + i, 1_000_000));
                Thread.sleep(5);
            }
            long latest = 1;
            while (latest < 1_001) {
                Map<String, Object> report = control.awaitReport();
                assertThat(report).containsEntry("accepted", true);
                long told = ((Number) report.get("version")).longValue();
                assertThat(told).isGreaterThan(latest);
                latest = told;
            }
            assertThat(traffic.stop().keySet()).containsExactly("200");
        }
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    @Test
    void aVersionThatComesWhileTheRelayLeavesOrReadsItsFileAnewHarmsNothing() throws Exception {
        startOnFirstVersion();
        try (SteadyTraffic traffic = new SteadyTraffic(relay, endpoint, 2)) {
            for (int i = 2; i < 12; i++) {
                relay.signal("HUP");
                control.offer(EPOCH, "a", i, plan("hang up " + i, 1_000_000));
                assertThat(control.awaitReport(EPOCH + "/" + i)).containsEntry("accepted", true);
            }
            relay.signal("TERM");
            control.offer(EPOCH, "a", 12, plan("leaving", 1_000_000));
            assertThat(traffic.stop().keySet()).containsExactly("200");
        }
        assertThat(relay.process().waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(relay.log()).contains("ends:").doesNotContain("unexpected");
    }

    @Test
    void aLimitThatChangesWhileItsQueueIsFullLetsThoseGoThatMay() throws Exception {
        String queued =
                plan("queue", 1).replace("\"burst\": 1", "\"burst\": 1, \"queue\": {\"length\": 3, \"waitMs\": 900}");
        control.offer(EPOCH, "a", 1, queued);
        start();
        control.awaitReport(EPOCH + "/1");
        assertServed("GET /read", "takes the burst");
        List<Socket> waiting = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            waiting.add(relay.connect());
            sendRequest(waiting.get(i), "GET /read", "waits" + i, "X-Expires-In-Ms: 5000\r\n", "");
        }
        // The queue has three places: one of the four requests is shed at once, with a Retry-After.
        HttpMessage shed = firstResponse(waiting);
        assertThat(shed.head()).startsWith("HTTP/1.1 503");
        assertThat(Double.parseDouble(shed.header("Retry-After"))).isPositive();
        control.offer(EPOCH, "a", 2, queued.replace("\"ratePerS\": 0.5", "\"ratePerS\": 1000"));
        assertThat(control.awaitReport(EPOCH + "/2")).containsEntry("accepted", true);
        for (int i = 0; i < 3; i++) {
            endpoint.awaitCall().respond("200 OK", "", "done");
        }
        for (Socket client : waiting) {
            if (client != shed.socket()) {
                assertThat(readMessage(client).body()).isEqualTo("done");
            }
            client.close();
        }
    }

    @Test
    void aRelayStartsOnWhatItKeptWhenTheServiceIsAwayAndPassesOverWhatIsTorn() throws Exception {
        startOnFirstVersion();
        control.offer(EPOCH, "a", 2, plan("second", 1_000_000));
        control.awaitReport(EPOCH + "/2");
        Path kept = directory.resolve("kept");
        while (!Files.exists(kept.resolve("last-good.plan.1"))) {
            Thread.sleep(10);
        }
        relay.process().destroyForcibly().waitFor();
        control.behave(ControlService.Behavior.SILENT);
        byte[] latest = Files.readAllBytes(kept.resolve("last-good.plan"));
        Files.write(kept.resolve("last-good.plan"), Arrays.copyOf(latest, latest.length - 7));
        start();
        assertThat(relay.log())
                .contains("last-good.plan is passed over: it is cut or torn")
                .contains("-a:1 in force, 2 routes, from disk");
        assertThat(status("POST /post", "p1")).isEqualTo("404");
        assertServed("POST /claim", "c1");
        control.behave(ControlService.Behavior.NORMAL);
        assertThat(control.awaitReport(EPOCH + "/2")).containsEntry("accepted", true);
    }

    @Test
    void ofTwoServicesThatDisagreeTheOneBornLaterHoldsAndItIsLoggedOnce() throws Exception {
        control.offer(EPOCH, "a", 7, plan("first", 1_000_000));
        try (ControlService other = new ControlService()) {
            other.offer(EPOCH + 10, "b", 1, plan("other", 1_000_000));
            moreServices = "\", \"" + other.address();
            start();
            control.awaitReport(EPOCH + "/7");
            control.behave(ControlService.Behavior.FAILS);
            assertThat(other.awaitReport((EPOCH + 10) + "/1")).containsEntry("accepted", true);
            control.behave(ControlService.Behavior.REPEATS_VERSION);
            other.behave(ControlService.Behavior.FAILS);
            for (int i = 0; i < 3; i++) {
                assertThat(control.awaitReport(EPOCH + "/7"))
                        .containsEntry("answer", "old-epoch")
                        .containsEntry("version", 1);
            }
            assertServed("POST /claim", "c1");
            assertThat(relay.log().split("is not applied, old-epoch", -1)).hasSize(2);
        }
    }

    @Test
    void theOperatorSeesWhatIsInForceGoesBackAndLetsTheServiceLeadAgain() throws Exception {
        control.offer(EPOCH, "a", 1, plan("first", 1_000_000));
        String at = "127.0.0.1:" + RelayProcess.freePort();
        moreSettings = ", \"listener\": \"" + at + "\", \"log\": {\"form\": \"json\"}";
        start();
        control.awaitReport(EPOCH + "/1");
        control.offer(
                EPOCH,
                "a",
                2,
                plan("second", 1_000_000).replace("claims", "CLAIMS").replace("}]}", "}], \"removes\": [\"claims\"]}"));
        control.awaitReport(EPOCH + "/2");
        assertThat(command(0, "status", "--at", at)).contains("inForce: " + EPOCH + "-a:2");
        assertThat(command(0, "back", "1", "--why", "second is odd", "--at", at))
                .contains("inForce: " + EPOCH + "-a:1", "pinned: true");
        control.offer(EPOCH, "a", 3, plan("third", 1_000_000));
        assertThat(control.awaitReport(EPOCH + "/3"))
                .containsEntry("answer", "pinned")
                .containsEntry("accepted", false);
        assertThat(command(0, "history", "--at", at)).contains("by=test", "note=first", "from=operator: second is odd");
        assertThat(command(1, "back", "77", "--why", "none", "--at", at)).contains("no version 77 is remembered");
        assertThat(command(0, "release", "--at", at)).contains("pinned: false");
        Map<String, Object> report = control.awaitReport(EPOCH + "/3");
        while (!Boolean.TRUE.equals(report.get("accepted"))) {
            report = control.awaitReport(EPOCH + "/3");
        }
        assertServed("POST /claim", "c1");
        // Each log line on configuration updates has the version as a field of its own.
        assertThat(relay.log().lines().filter(l -> l.startsWith("{") && l.contains("in force, ")))
                .hasSizeGreaterThanOrEqualTo(4)
                .allMatch(l -> l.contains("\"version\""));
    }

    private String command(int code, String... words) throws Exception {
        Process process =
                RelayUnderTest.command(words).redirectErrorStream(true).start();
        String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(process.waitFor()).as(said).isEqualTo(code);
        return said;
    }
}
