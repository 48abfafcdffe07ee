package gatelock;

import static gatelock.StandIns.ask;
import static gatelock.StandIns.read;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Lists that are longer than a relay takes: what it says, what it counts and whom it serves then. */
final class LongListsTest {
    private static final int TOO_LONG = 3_000_000;

    private StandIns all;

    @BeforeEach
    void stand() throws Exception {
        all = new StandIns();
    }

    @AfterEach
    void leave() throws Exception {
        all.close();
    }

    private void passes(String id, StandIns.Party to) throws Exception {
        try (Socket client = all.connect()) {
            ask(client, "GET /read", id, "", "");
            to.next().answer("200 OK", "", "there");
            assertThat(read(client).body()).isEqualTo("there");
        }
    }

    private static void tooLong(StandIns.Came asked) throws Exception {
        StandIns.write(asked.socket(), "HTTP/1.1 200 OK\r\nContent-Length: " + TOO_LONG + "\r\n\r\n{\"index\":1");
    }

    private void ends() throws Exception {
        all.process.destroy();
        assertThat(all.process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(all.log()).doesNotContain("unexpected");
    }

    @Test
    void aNewProcessSaysThatTheListIsTooLongAndNotThatDiscoveryIsSilent() throws Exception {
        all.startUnlisted();
        StandIns.go(() -> {
            while (true) {
                tooLong(all.discovery.next());
            }
        });
        all.awaitLog("discovery's list is too long: body of 3000000 bytes is longer than 2097152, last good list "
                + "kept; name a scope (membership) in the operator's file, or have fewer endpoints listed");
        all.awaitLog("discovery's list is too long, serving the configured endpoints");
        all.awaitLog("serves on");
        passes("start", all.endpoint);
        ends();
        assertThat(all.log())
                .doesNotContain("silent")
                .containsPattern("lists too long=[1-9]")
                .doesNotContain("discovery failed");
        assertThat(all.log().split("is longer than", -1)).as("said once").hasSize(2);
    }

    @Test
    void aListInPiecesIsTooLongAsSoonAsSoMuchHasCome() throws Exception {
        all.startUnlisted();
        StandIns.Came asked = all.discovery.next();
        OutputStream out = StandIns.chunked(asked);
        StandIns.go(() -> {
            while (true) {
                StandIns.chunk(out, " ".repeat(60_000));
            }
        });
        all.awaitLog("discovery's list is too long: body of at least 2");
        StandIns.tell(all.discovery.next(), 5, all.other);
        assertThat(all.discovery.next().head()).startsWith("GET /api/targets?from=5&");
        passes("shorter", all.other);
        ends();
        assertThat(all.log()).doesNotContain("silent").contains("lists too long=1");
    }

    @Test
    void aChangeThatIsTooLongLeavesWhatWasListedAndTheWholeListIsAskedFor() throws Exception {
        all.startUnlisted();
        StandIns.tell(all.discovery.next(), 5, all.other);
        StandIns.Came watch = all.discovery.next();
        assertThat(watch.head()).startsWith("GET /api/targets?from=5&");
        tooLong(watch);
        StandIns.Came whole = all.discovery.next();
        assertThat(whole.head()).startsWith("GET /api/targets HTTP/1.1");
        passes("stays", all.other);
        tooLong(whole);
        StandIns.Came again = all.discovery.next();
        passes("stays longer", all.other);
        StandIns.tell(again, 9, all.endpoint);
        assertThat(all.discovery.next().head()).startsWith("GET /api/targets?from=9&");
        passes("comes", all.endpoint);
        ends();
        assertThat(all.log()).contains("lists too long=2").doesNotContain("silent");
        assertThat(all.log().split("is longer than", -1)).as("said once").hasSize(2);
    }
}
