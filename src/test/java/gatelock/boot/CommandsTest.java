package gatelock.boot;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the output and exit codes of the command line. */
final class CommandsTest {
    private static final String VALID_VERSION = """
        {"format": 1, "limits": {"few": {"per": "tenant", "ratePerS": 5, "queue": {"length": 3, "waitMs": 50}}},
         "routes": [{"name": "reads", "path": "/read", "class": "read", "limits": ["few"]}]}
        """;

    @TempDir
    private Path directory;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        out.getBuffer().setLength(0);
        err.getBuffer().setLength(0);
        return Commands.run(new PrintWriter(out), new PrintWriter(err), args);
    }

    private String file(String name, String text) throws IOException {
        return Files.writeString(directory.resolve(name), text).toString();
    }

    @Test
    void checkPrintsFindingsWithLocationAndExitsWithOne() throws IOException {
        String valid = file("valid.json", VALID_VERSION);
        assertThat(run("check", valid, "--deployment", "examples/relay.json")).isZero();
        assertThat(out.toString()).contains(": valid, 1 routes");
        String broken = file(
                "broken.json", VALID_VERSION.replace("\"read\"", "\"reed\"").replace("5,", "0,"));
        assertThat(run("check", broken, "--deployment", "examples/relay.json")).isEqualTo(1);
        assertThat(out.toString())
                .contains(
                        broken + ":1:63 /limits/few/ratePerS M-ZERO",
                        broken + ":2:57 /routes/0/class M-CLASS",
                        "would be rejected");
        assertThat(run("check", broken, "--deployment", "examples/relay.json", "--json"))
                .isEqualTo(1);
        Map<String, Object> result = JSON.std.mapFrom(out.toString());
        assertThat(result).containsEntry("good", false);
        assertThat(result.get("findings").toString()).contains("M-ZERO", "M-CLASS");
    }

    @Test
    void exitsWithTwoAndMessageOnUnusableInput() throws IOException {
        String valid = file("valid.json", VALID_VERSION);
        String[][] unusable = {
            {"check", "none.json", "--deployment", "examples/relay.json"},
            {"check", valid, "--deployment", "none.json"},
            {"nothing"},
            {"schema", "none"},
            {"serve", "warm"},
            {"diff", valid, file("odd.json", "{"), "--deployment", "examples/relay.json"},
            {"status", "--at", "127.0.0.1:1"}
        };
        for (String[] args : unusable) {
            assertThat(run(args)).as(String.join(" ", args)).isEqualTo(2);
            assertThat(err.toString()).isNotBlank().doesNotContain("at gatelock");
        }
    }

    @Test
    void diffAndExplainDescribeRequestHandling() throws IOException {
        String valid = file("valid.json", VALID_VERSION);
        String other = file("other.json", VALID_VERSION.replace("\"ratePerS\": 5", "\"ratePerS\": 6"));
        assertThat(run("diff", valid, valid, "--deployment", "examples/relay.json"))
                .isZero();
        assertThat(run("diff", valid, other, "--deployment", "examples/relay.json"))
                .isEqualTo(1);
        assertThat(out.toString())
                .contains(
                        "route reads: limits [few: per tenant, 6 reqs a second, 6 at " + "once, 3 may wait for 50 ms]");
        assertThat(run(
                        "explain",
                        valid,
                        "--deployment",
                        "examples/relay.json",
                        "--path",
                        "/read/x",
                        "--header",
                        "X-A=1"))
                .isZero();
        assertThat(out.toString()).contains("route: reads", "class: read", "pools: all units");
        assertThat(run("explain", valid, "--deployment", "examples/relay.json", "--path", "/a/../read"))
                .isEqualTo(1);
        assertThat(out.toString()).contains("400");
    }

    @Test
    void printsSchemasAndHelp() throws IOException {
        for (String name : new String[] {"plan", "operator"}) {
            assertThat(run("schema", name)).isZero();
            assertThat(JSON.std.mapFrom(out.toString())).containsKey("$schema");
        }
        for (String command :
                new String[] {"serve", "check", "diff", "explain", "schema", "status", "history", "back", "release"}) {
            assertThat(run(command, "--help")).as(command).isZero();
            assertThat(out.toString()).contains("gatelock " + command);
        }
    }
}
