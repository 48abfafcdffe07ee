package gatelock.simulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests the replies to batches of lines, and the rejection of malformed lines. */
final class SimulatorHostTest {
    private static final String START = "POWER_ON 17 lanes.count=1 lanes.0.effect=repeatable "
            + "lanes.0.targetNs=1000000000 lanes.0.deadlineNs=2000000000 limits.tryLimit=3 replicasOfMe=1\n";
    private static final String LIST = "MANIFEST 3 1\nM 0 10.0.0.1:80 0 0 - 1 1.0 -\n";
    private static final String REQUEST = "INBOUND 00000000000000aa 0 0 - 500000000 1000000 1\n";

    private static String reply(String lines) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorHost(new ByteArrayInputStream(lines.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void acknowledgesEmptyBatch() throws IOException {
        assertThat(reply("MARK 8412250000\nEOB\nMARK 8412250001\nEOB\n")).isEqualTo("ACK\nACK\n");
    }

    @Test
    void writesActionsUnderTheirRelay() throws IOException {
        String batch = "MARK 1000000\n" + LIST + "CONTEXT 3\n" + START + "SYNC 1 1 3\nCONTEXT 5\n" + START
                + "SYNC 1 1 3\nEOB\nMARK 2000000\nCONTEXT 3\n" + REQUEST + "CONTEXT 5\n" + REQUEST + "EOB\n";
        String secondReply = reply(batch).split("ACK\n", -1)[1];
        String decided = " 00000000000000aa ";
        assertThat(secondReply)
                .containsSubsequence("AT 3\n", decided, "AT 5\n", decided)
                .containsOnlyOnce("AT 3\n")
                .containsOnlyOnce("AT 5\n");
    }

    @Test
    void rejectsLinesOutsideTheProtocol() {
        assertMalformed("FOO\n", "expected MARK, found FOO");
        assertMalformed("MARK 1\n", "expected EOB, found the end of the input");
        assertMalformed("MARK 1\nELAPSED 2\nEOB\n", "expected CONTEXT before ELAPSED");
        assertMalformed("MARK 1\nCONTEXT 2\nELAPSED 2\nEOB\n", "ELAPSED for an instance that has not started");
        assertMalformed("MARK 1\nCONTEXT 2\n" + START + "FOO\nEOB\n", "expected an event, found FOO");
        assertMalformed("MARK 1\nMANIFEST 16 0\nEOB\n", "expected a list number from 0 to 15 and a count");
        assertMalformed("MARK 1\nMANIFEST 1 1\nX\nEOB\n", "expected M, found X");
    }

    private static void assertMalformed(String lines, String message) {
        assertThatThrownBy(() -> reply(lines))
                .isInstanceOf(MalformedLineException.class)
                .hasMessage(message);
    }
}
