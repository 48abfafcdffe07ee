package gatelock;

import static gatelock.StandIns.ask;
import static gatelock.StandIns.read;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.file.Files;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Endpoints to which a connection comes up only after something has changed; judged by the bytes that reach them. */
final class LateConnectionsTest {
    private StandIns all;
    private StandIns.Party late;

    @BeforeEach
    void stand() throws Exception {
        all = new StandIns();
        late = StandIns.Party.thatAcceptsLater();
        Files.writeString(
                all.config,
                Files.readString(all.config)
                        .replace("\"dialTimeoutNs\": 250000000", "\"dialTimeoutNs\": 20000000000")
                        .replaceAll("\"deadlineNs\": \\d+", "\"deadlineNs\": 20000000000"));
    }

    @AfterEach
    void leave() throws Exception {
        late.close();
        all.close();
    }

    private String entry(String name, StandIns.Party at, String status, int build) {
        return String.format(
                "{\"name\":\"%s\",\"address\":\"%s\",\"status\":\"%s\",\"since_ms\":0," + "\"image_id\":%d}",
                name, at.address(), status, build);
    }

    /** Answers what discovery was asked last; returns the next watch, sent once the answer was taken in. */
    private StandIns.Came tell(StandIns.Came asked, int index, String... entries) throws Exception {
        asked.answer(
                "200 OK",
                "",
                "{\"index\":" + index + ",\"snapshot\":" + (index == 1) + ",\"endpoints\":[" + String.join(",", entries)
                        + "]}");
        StandIns.Came watch = all.discovery.next();
        assertThat(watch.head()).startsWith("GET /api/targets?from=" + index + "&");
        return watch;
    }

    /** Connections come up; longer than the system takes to try a connection again, nothing is heard there. */
    private void staysWithoutAWord() throws Exception {
        late.accept();
        assertThat(late.calls.poll(4, TimeUnit.SECONDS)).isNull();
    }

    private void servedElsewhere(Socket client) throws Exception {
        all.other.next().answer("200 OK", "", "elsewhere");
        assertThat(read(client).body()).isEqualTo("elsewhere");
    }

    @Test
    void nothingGoesToAnEndpointThatLeftWhileAConnectionToItCameUp() throws Exception {
        all.startUnlisted();
        StandIns.Came watch = tell(all.discovery.next(), 1, entry("x", late, "in_service", 1));
        for (String status : new String[] {"terminating", "terminated"}) {
            try (Socket client = all.connect()) {
                ask(client, "POST /claim", "waits-" + status, "", "x");
                Thread.sleep(200);
                watch = tell(watch, 2, entry("x", late, status, 1), entry("y", all.other, "in_service", 1));
                servedElsewhere(client);
            }
            watch = tell(watch, 3, entry("x", late, "in_service", 1), entry("y", all.other, "terminated", 1));
        }
        tell(watch, 4, entry("x", late, "terminated", 1));
        staysWithoutAWord();
        assertThat(all.log()).doesNotContain("unexpected");
    }

    @Test
    void nothingGoesToABuildThatWentBackWhileAConnectionToItCameUp() throws Exception {
        all.startUnlisted();
        tell(all.discovery.next(), 1, entry("x", late, "in_service", 2), entry("y", all.other, "in_service", 1));
        StandIns.Came news = all.controller.next();
        String state = "{\"type\":\"news\",\"object\":{\"release\":2,\"tranche\":0,\"mode\":\"%s\","
                + "\"exposure\":%s,\"old_ms\":0}}\n";
        var told = StandIns.chunked(news);
        StandIns.chunk(told, String.format(state, "trial", "1.0"));
        Thread.sleep(200);
        try (Socket client = all.connect()) {
            // A canary endpoint gets a part of what was completed; the first that nobody hears of went there.
            StandIns.Came usual;
            int i = 0;
            do {
                ask(client, "POST /claim", "claim" + i++, "X-Size-Hint: 90000\r\n", "x");
                usual = all.other.calls.poll(500, TimeUnit.MILLISECONDS);
                if (usual != null) {
                    usual.answer("200 OK", "", "usual");
                    assertThat(read(client).body()).isEqualTo("usual");
                }
            } while (usual != null && i < 200);
            assertThat(usual).isNull();
            StandIns.chunk(told, String.format(state, "rolling_back", "0.0"));
            Thread.sleep(200);
            late.accept();
            servedElsewhere(client);
        }
        staysWithoutAWord();
        assertThat(all.log()).doesNotContain("unexpected");
    }

    @Test
    void whatMayStillGoGoesOnceItsConnectionIsUp() throws Exception {
        all.startUnlisted();
        tell(all.discovery.next(), 1, entry("x", late, "in_service", 1));
        try (Socket client = all.connect()) {
            ask(client, "POST /claim", "patient", "", "x");
            Thread.sleep(200);
            late.accept();
            late.next().answer("200 OK", "", "there");
            assertThat(read(client).body()).isEqualTo("there");
        }
    }
}
