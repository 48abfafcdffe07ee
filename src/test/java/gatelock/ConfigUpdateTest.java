package gatelock;

import static gatelock.standin.RawHttp.firstResponse;
import static gatelock.standin.RawHttp.readMessage;
import static gatelock.standin.RawHttp.sendRequest;
import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.ControlService;
import gatelock.standin.HttpMessage;
import gatelock.standin.RawHttp;
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

/** Updates of the versioned configuration: a control service sends versions to a running relay. */
final class ConfigUpdateTest extends RelayTestCase {
    private static final long EPOCH = 1_700_000_000_000L;

    @TempDir
    private Path directory;

    private ControlService control;
    /** Additional control services in the operator's file, as JSON text. */
    private String moreServices = "";
    /** Additional settings in the operator's file, as JSON text. */
    private String moreSettings = "";

    @BeforeEach
    void startControlService() throws Exception {
        control = new ControlService();
    }

    @AfterEach
    void stopControlService() throws Exception {
        control.close();
    }

    /**
     * Returns a configuration version that limits the read route.
     *
     * @param note the note of the version
     * @param burst the burst of the limit
     */
    private static String versionText(String note, int burst) {
        return String.format(
                "{\"format\": 1, \"by\": \"test\", \"note\": \"%s\", "
                        + "\"unmatched\": \"refuse\",\n"
                        + " \"limits\": {\"few\": {\"ratePerS\": 0.5, \"burst\": %d}},\n"
                        + " \"routes\": [{\"name\": \"reads\", \"path\": \"/read\", \"class\": \"read\", \"limits\": "
                        + "[\"few\"]},\n"
                        + "  {\"name\": \"claims\", \"path\": \"/claim\", \"class\": \"claim\"}]}",
                note, burst);
    }

    /** Writes the operator's file and starts the relay with it. */
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

    /** Starts the relay and waits until it has reported on the first version. */
    private void startOnFirstVersion() throws Exception {
        control.publish(EPOCH, "a", 1, versionText("first", 1_000_000));
        start();
        control.awaitReport(EPOCH + "/1");
    }

    /** Sends a request that the relay answers without an endpoint; returns the status of the response. */
    private String relayStatus(String requestLine, String traceId) throws Exception {
        try (Socket client = relay.connect()) {
            sendRequest(client, requestLine, traceId, "", "x");
            return readMessage(client).head().substring(9, 12);
        }
    }

    /** Sends a request on a new connection and checks that the endpoint serves it. */
    private void assertServed(String requestLine, String traceId) throws Exception {
        try (Socket client = relay.connect()) {
            sendRequest(client, requestLine, traceId, "", "x");
            endpoint.awaitCall().respond("200 OK", "", "done");
            assertThat(readMessage(client).body()).isEqualTo("done");
        }
    }

    @Test
    void appliesValidVersionAndRejectsInvalidOneWithFindings() throws Exception {
        control.publish(EPOCH, "a", 1, versionText("first", 2));
        start();
        Map<String, Object> first = control.awaitReport(EPOCH + "/1");
        assertThat(first).containsEntry("accepted", true).containsEntry("version", 1);
        assertServed("GET /read", "r1");
        assertServed("GET /read", "r2");
        assertThat(relayStatus("GET /read", "r3")).isEqualTo("503");
        assertThat(relayStatus("POST /post", "p1")).isEqualTo("404");
        assertServed("POST /claim", "c1");
        control.publish(EPOCH, "a", 2, versionText("broken", 2).replace("\"class\": \"claim\"", "\"class\": \"clam\""));
        Map<String, Object> second = control.awaitReport(EPOCH + "/2");
        assertThat(second).containsEntry("accepted", false).containsEntry("version", 1);
        assertThat(second.get("findings").toString()).contains("M-CLASS", "/routes/1/class", "clam");
        assertServed("POST /claim", "c2");
        control.publish(EPOCH, "a", 3, versionText("third", 1000));
        assertThat(control.awaitReport(EPOCH + "/3"))
                .containsEntry("accepted", true)
                .containsEntry("version", 3);
        assertThat(relayStatus("GET /read", "r4"))
                .as("a new version does not refill the burst")
                .isEqualTo("503");
    }

    /** Guards against uploads that are never answered because a version renames their pool while their body arrives. */
    @Test
    void answersUploadsDuringWhichVersionRenamesTheirPool() throws Exception {
        String version = "{\"format\": 1, \"by\": \"test\", \"note\": \"\", \"unmatched\": \"refuse\","
                + " \"pools\": {\"%1$s\": {}}, \"routes\": [{\"name\": \"claims\", \"path\": \"/claim\","
                + " \"class\": \"claim\", \"pool\": \"%1$s\"}]}";
        control.publish(EPOCH, "a", 1, String.format(version, "payouts"));
        start();
        control.awaitReport(EPOCH + "/1");
        try (Socket chunked = relay.connect();
                Socket upload = relay.connect()) {
            String head = "POST /claim HTTP/1.1\r\nHost: x\r\nX-Trace-Id: ";
            RawHttp.write(upload, head + "u\r\nContent-Length: 8\r\n\r\nhalf");
            RawHttp.write(chunked, head + "c\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
            Thread.sleep(100);
            control.publish(EPOCH, "a", 2, String.format(version, "claims-desk"));
            assertThat(control.awaitReport(EPOCH + "/2")).containsEntry("accepted", true);
            RawHttp.write(upload, "rest");
            assertUploadServed(upload);
            RawHttp.write(chunked, "4\r\nrest\r\n0\r\n\r\n");
            assertUploadServed(chunked);
        }
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    private void assertUploadServed(Socket client) throws Exception {
        HttpMessage call = endpoint.awaitCall();
        assertThat(call.body()).isEqualTo("halfrest");
        call.respond("200 OK", "", "done");
        assertThat(readMessage(client).body()).isEqualTo("done");
    }

    @Test
    void reportsEachVersionThatArrivesOutOfOrderDuringTraffic() throws Exception {
        control.publish(EPOCH, "a", 10, versionText("first", 1_000_000));
        start();
        control.awaitReport(EPOCH + "/10");
        try (SteadyTraffic traffic = new SteadyTraffic(relay, endpoint, 4)) {
            control.setBehavior(ControlService.Behavior.REPEATS_VERSION);
            control.publish(EPOCH, "a", 9, versionText("older", 1));
            assertThat(control.awaitReport(EPOCH + "/9"))
                    .containsEntry("answer", "older")
                    .containsEntry("version", 10);
            control.publish(EPOCH, "a", 10, versionText("a fork", 1));
            assertThat(awaitForkReport()).containsEntry("version", 10);
            control.publish(EPOCH - 5, "a", 50, versionText("an old copy", 1));
            assertThat(control.awaitReport((EPOCH - 5) + "/50")).containsEntry("answer", "old-epoch");
            control.setBehavior(ControlService.Behavior.NORMAL);
            control.publish(EPOCH, "a", 20, versionText("a gap", 1_000_000));
            assertThat(control.awaitReport(EPOCH + "/20")).containsEntry("accepted", true);
            control.publish(EPOCH, "a", 21, versionTextWithManyRoutes());
            assertThat(control.awaitReport(EPOCH + "/21")).containsEntry("accepted", true);
            control.publish(EPOCH, "a", 22, "x".repeat(9 << 20));
            relay.awaitLog("the version is larger than");
            control.publish(EPOCH + 1, "b", 1, versionText("built anew", 1_000_000));
            assertThat(control.awaitReport((EPOCH + 1) + "/1")).containsEntry("accepted", true);
            Map<String, Integer> responses = traffic.stop();
            assertThat(responses.keySet()).containsExactly("200");
        }
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    /** Returns a configuration version with 8000 routes that removes the routes of the previous version. */
    private static String versionTextWithManyRoutes() {
        List<String> routes = new ArrayList<>();
        for (int i = 0; i < 8_000; i++) {
            routes.add("{\"name\": \"r" + i + "\", \"path\": \"/x/" + i + "\", \"class\": \"read\"}");
        }
        return "{\"format\": 1, \"routes\": [" + String.join(",\n", routes)
                + "], \"removes\": [\"reads\", \"claims\"]}";
    }

    /** Waits for the report on a fork; skips reports on the earlier version, whose nonce is the same. */
    private Map<String, Object> awaitForkReport() throws Exception {
        Map<String, Object> report = control.awaitReport(EPOCH + "/10");
        while (!"fork".equals(report.get("answer"))) {
            report = control.awaitReport(EPOCH + "/10");
        }
        return report;
    }

    @Test
    void pollsAgainAfterTruncatedCorruptOrFailedResponse() throws Exception {
        startOnFirstVersion();
        int number = 1;
        for (ControlService.Behavior behavior : List.of(
                ControlService.Behavior.TRUNCATES,
                ControlService.Behavior.WRONG_HASH,
                ControlService.Behavior.FAILS,
                ControlService.Behavior.SILENT)) {
            control.setBehavior(behavior);
            control.publish(EPOCH, "a", ++number, versionText("later", 1_000_000));
            int pollsBefore = control.pollCount();
            while (control.pollCount() < pollsBefore + 2) {
                Thread.sleep(10);
            }
            assertServed("GET /read", "m" + behavior);
            control.setBehavior(ControlService.Behavior.NORMAL);
            assertThat(control.awaitReport(EPOCH + "/" + number)).containsEntry("accepted", true);
        }
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    @Test
    void backsOffWhenServiceRepeatsInvalidVersion() throws Exception {
        startOnFirstVersion();
        control.setBehavior(ControlService.Behavior.REPEATS_VERSION);
        control.publish(EPOCH, "a", 2, "{}");
        assertThat(control.awaitReport(EPOCH + "/2")).containsEntry("accepted", false);
        int pollsBefore = control.pollCount();
        Thread.sleep(2_000);
        // The backoff grows to 0.4 s with full jitter: about ten polls in 2 s, where a busy loop would make thousands.
        assertThat(control.pollCount() - pollsBefore).isBetween(2, 60);
        assertThat(relay.log().split("is rejected", -1)).hasSize(2);
        control.setBehavior(ControlService.Behavior.IGNORES_HOLD);
        pollsBefore = control.pollCount();
        Thread.sleep(1_000);
        assertThat(control.pollCount() - pollsBefore).isBetween(1, 40);
    }

    @Test
    void followsRapidVersionsWithoutFailingRequests() throws Exception {
        startOnFirstVersion();
        try (SteadyTraffic traffic = new SteadyTraffic(relay, endpoint, 4)) {
            for (int i = 2; i < 1_002; i++) {
                control.publish(EPOCH, "a", i, versionText("rapid " + i, 1_000_000));
                Thread.sleep(5);
            }
            long latest = 1;
            while (latest < 1_001) {
                Map<String, Object> report = control.awaitReport();
                assertThat(report).containsEntry("accepted", true);
                long reportedVersion = ((Number) report.get("version")).longValue();
                assertThat(reportedVersion).isGreaterThan(latest);
                latest = reportedVersion;
            }
            assertThat(traffic.stop().keySet()).containsExactly("200");
        }
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    @Test
    void servesRequestsWhenVersionArrivesDuringReloadOrShutdown() throws Exception {
        startOnFirstVersion();
        try (SteadyTraffic traffic = new SteadyTraffic(relay, endpoint, 2)) {
            for (int i = 2; i < 12; i++) {
                relay.signal("HUP");
                control.publish(EPOCH, "a", i, versionText("reload " + i, 1_000_000));
                assertThat(control.awaitReport(EPOCH + "/" + i)).containsEntry("accepted", true);
            }
            relay.signal("TERM");
            control.publish(EPOCH, "a", 12, versionText("leaving", 1_000_000));
            assertThat(traffic.stop().keySet()).containsExactly("200");
        }
        assertThat(relay.process().waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(relay.log()).contains("shutdown complete:").doesNotContain("unexpected");
    }

    @Test
    void forwardsQueuedRequestsWhenLimitIsRaised() throws Exception {
        String versionWithQueue = versionText("queue", 1)
                .replace("\"burst\": 1", "\"burst\": 1, \"queue\": {\"length\": 3, \"waitMs\": 900}");
        control.publish(EPOCH, "a", 1, versionWithQueue);
        start();
        control.awaitReport(EPOCH + "/1");
        assertServed("GET /read", "takes the burst");
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            clients.add(relay.connect());
            sendRequest(clients.get(i), "GET /read", "waits" + i, "X-Expires-In-Ms: 5000\r\n", "");
        }
        // The queue holds three requests: one of the four is shed at once, with a Retry-After header.
        HttpMessage shed = firstResponse(clients);
        assertThat(shed.head()).startsWith("HTTP/1.1 503");
        assertThat(Double.parseDouble(shed.header("Retry-After"))).isPositive();
        control.publish(EPOCH, "a", 2, versionWithQueue.replace("\"ratePerS\": 0.5", "\"ratePerS\": 1000"));
        assertThat(control.awaitReport(EPOCH + "/2")).containsEntry("accepted", true);
        for (int i = 0; i < 3; i++) {
            endpoint.awaitCall().respond("200 OK", "", "done");
        }
        for (Socket client : clients) {
            if (client != shed.socket()) {
                assertThat(readMessage(client).body()).isEqualTo("done");
            }
            client.close();
        }
    }

    @Test
    void startsOnStoredVersionAndSkipsTruncatedFileWhenServiceIsSilent() throws Exception {
        startOnFirstVersion();
        control.publish(EPOCH, "a", 2, versionText("second", 1_000_000));
        control.awaitReport(EPOCH + "/2");
        Path storeDirectory = directory.resolve("kept");
        while (!Files.exists(storeDirectory.resolve("last-good.plan.1"))) {
            Thread.sleep(10);
        }
        relay.process().destroyForcibly().waitFor();
        control.setBehavior(ControlService.Behavior.SILENT);
        byte[] latestFile = Files.readAllBytes(storeDirectory.resolve("last-good.plan"));
        Files.write(storeDirectory.resolve("last-good.plan"), Arrays.copyOf(latestFile, latestFile.length - 7));
        start();
        assertThat(relay.log())
                .contains("last-good.plan is skipped: it is truncated or damaged: ")
                .contains("-a:1 in force, 2 routes, from disk");
        assertThat(relayStatus("POST /post", "p1")).isEqualTo("404");
        assertServed("POST /claim", "c1");
        control.setBehavior(ControlService.Behavior.NORMAL);
        assertThat(control.awaitReport(EPOCH + "/2")).containsEntry("accepted", true);
    }

    @Test
    void keepsVersionOfLaterEpochWhenServicesDisagree() throws Exception {
        control.publish(EPOCH, "a", 7, versionText("first", 1_000_000));
        try (ControlService other = new ControlService()) {
            other.publish(EPOCH + 10, "b", 1, versionText("other", 1_000_000));
            moreServices = "\", \"" + other.address();
            start();
            control.awaitReport(EPOCH + "/7");
            control.setBehavior(ControlService.Behavior.FAILS);
            assertThat(other.awaitReport((EPOCH + 10) + "/1")).containsEntry("accepted", true);
            control.setBehavior(ControlService.Behavior.REPEATS_VERSION);
            other.setBehavior(ControlService.Behavior.FAILS);
            for (int i = 0; i < 3; i++) {
                assertThat(control.awaitReport(EPOCH + "/7"))
                        .containsEntry("answer", "old-epoch")
                        .containsEntry("version", 1);
            }
            assertServed("POST /claim", "c1");
            assertThat(relay.log().split("is not applied: old-epoch; ", -1)).hasSize(2);
        }
    }

    @Test
    void rollsBackOnOperatorCommandAndFollowsServiceAfterRelease() throws Exception {
        control.publish(EPOCH, "a", 1, versionText("first", 1_000_000));
        String listener = "127.0.0.1:" + RelayProcess.freePort();
        moreSettings = ", \"listener\": \"" + listener + "\", \"log\": {\"form\": \"json\"}";
        start();
        control.awaitReport(EPOCH + "/1");
        control.publish(
                EPOCH,
                "a",
                2,
                versionText("second", 1_000_000)
                        .replace("claims", "CLAIMS")
                        .replace("}]}", "}], \"removes\": [\"claims\"]}"));
        control.awaitReport(EPOCH + "/2");
        assertThat(runCommand(0, "status", "--at", listener)).contains("inForce: " + EPOCH + "-a:2");
        assertThat(runCommand(0, "back", "1", "--why", "second is odd", "--at", listener))
                .contains("inForce: " + EPOCH + "-a:1", "pinned: true");
        control.publish(EPOCH, "a", 3, versionText("third", 1_000_000));
        assertThat(control.awaitReport(EPOCH + "/3"))
                .containsEntry("answer", "pinned")
                .containsEntry("accepted", false);
        assertThat(runCommand(0, "history", "--at", listener))
                .contains("by=test", "note=first", "from=operator: second is odd");
        assertThat(runCommand(1, "back", "77", "--why", "none", "--at", listener))
                .contains("no version 77 is remembered");
        assertThat(runCommand(0, "release", "--at", listener)).contains("pinned: false");
        Map<String, Object> report = control.awaitReport(EPOCH + "/3");
        while (!Boolean.TRUE.equals(report.get("accepted"))) {
            report = control.awaitReport(EPOCH + "/3");
        }
        assertServed("POST /claim", "c1");
        // Each log line about a version in force has the version as a separate field.
        assertThat(relay.log().lines().filter(line -> line.startsWith("{") && line.contains("in force, ")))
                .hasSizeGreaterThanOrEqualTo(4)
                .allMatch(line -> line.contains("\"version\""));
    }

    /** Runs a subcommand of the program and checks its exit code; returns its standard output and error. */
    private String runCommand(int expectedExitCode, String... arguments) throws Exception {
        Process process =
                RelayUnderTest.command(arguments).redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(process.waitFor()).as(output).isEqualTo(expectedExitCode);
        return output;
    }
}
