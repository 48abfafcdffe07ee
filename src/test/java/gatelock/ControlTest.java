package gatelock;

import static gatelock.StandIns.ask;
import static gatelock.StandIns.read;
import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.ControlService;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Versions from a control service on the way to a relay that serves, over sockets. */
final class ControlTest {
    private static final long EPOCH = 1_700_000_000_000L;
    private static final String PLAN = "{\"format\": 1, \"by\": \"test\", \"note\": \"%s\", \"unmatched\": \"refuse\",\n"
        + " \"limits\": {\"few\": {\"ratePerS\": 0.5, \"burst\": %d}},\n"
        + " \"routes\": [{\"name\": \"reads\", \"path\": \"/read\", \"class\": \"read\", \"limits\": [\"few\"]},\n"
        + "  {\"name\": \"claims\", \"path\": \"/claim\", \"class\": \"claim\"}]}";

    @TempDir
    private Path directory;
    private StandIns all;
    private ControlService control;

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
        Files.writeString(operator, "{\"control\": {\"services\": [\"" + control.address() + "\"], \"holdMs\": 500,"
            + " \"mostWaitMs\": 400, \"directory\": \"" + directory.resolve("kept") + "\"}}");
        all.start("--operator", operator.toString());
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
            all.unit.next().answer("200 OK", "", "done");
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
}
