package gatelock.boot;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import com.fasterxml.jackson.jr.ob.JSON;
import gatelock.discovery.ServiceNameExtractor;
import gatelock.membership.EndpointSubset;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command line on files: what it says and how it ends. */
final class CommandsTest {
    private static final String SOUND = """
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
    void checkTellsAllFindingsWithTheirPlaceAndEndsWithOneForThem() throws IOException {
        String sound = file("sound.json", SOUND);
        assertThat(run("check", sound, "--deployment", "examples/relay.json")).isZero();
        assertThat(out.toString()).contains("good, 1 routes");
        String broken =
                file("broken.json", SOUND.replace("\"read\"", "\"reed\"").replace("5,", "0,"));
        assertThat(run("check", broken, "--deployment", "examples/relay.json")).isEqualTo(1);
        assertThat(out.toString())
                .contains(
                        broken + ":1:63 /limits/few/ratePerS M-ZERO",
                        broken + ":2:57 /routes/0/class M-CLASS",
                        "would be turned down");
        assertThat(run("check", broken, "--deployment", "examples/relay.json", "--json"))
                .isEqualTo(1);
        Map<String, Object> said = JSON.std.mapFrom(out.toString());
        assertThat(said).containsEntry("good", false);
        assertThat(said.get("findings").toString()).contains("M-ZERO", "M-CLASS");
    }

    @Test
    void whatCantBeUsedEndsWithTwoAndOneLine() throws IOException {
        String sound = file("sound.json", SOUND);
        String[][] odd = {
            {"check", "none.json", "--deployment", "examples/relay.json"},
            {"check", sound, "--deployment", "none.json"},
            {"nothing"},
            {"schema", "none"},
            {"serve", "warm"},
            {"diff", sound, file("odd.json", "{"), "--deployment", "examples/relay.json"},
            {"status", "--at", "127.0.0.1:1"}
        };
        for (String[] args : odd) {
            assertThat(run(args)).as(String.join(" ", args)).isEqualTo(2);
            assertThat(err.toString()).isNotBlank().doesNotContain("at gatelock");
        }
    }

    @Test
    void diffAndExplainSpeakOfRequests() throws IOException {
        String sound = file("sound.json", SOUND);
        String other = file("other.json", SOUND.replace("\"ratePerS\": 5", "\"ratePerS\": 6"));
        assertThat(run("diff", sound, sound, "--deployment", "examples/relay.json"))
                .isZero();
        assertThat(run("diff", sound, other, "--deployment", "examples/relay.json"))
                .isEqualTo(1);
        assertThat(out.toString())
                .contains(
                        "route reads: limits [few: per tenant, 6 reqs a second, 6 at " + "once, 3 may wait for 50 ms]");
        assertThat(run(
                        "explain",
                        sound,
                        "--deployment",
                        "examples/relay.json",
                        "--path",
                        "/read/x",
                        "--header",
                        "X-A=1"))
                .isZero();
        assertThat(out.toString()).contains("route: reads", "class: read", "pools: all units");
        assertThat(run("explain", sound, "--deployment", "examples/relay.json", "--path", "/a/../read"))
                .isEqualTo(1);
        assertThat(out.toString()).contains("400");
    }

    @Test
    void schemasAndHelpAreThere() throws IOException {
        for (String which : new String[] {"plan", "operator"}) {
            assertThat(run("schema", which)).isZero();
            assertThat(JSON.std.mapFrom(out.toString())).containsKey("$schema");
        }
        for (String command :
                new String[] {"serve", "check", "diff", "explain", "schema", "status", "history", "back", "release"}) {
            assertThat(run(command, "--help")).as(command).isZero();
            assertThat(out.toString()).contains("gatelock " + command);
        }
    }

    @Test
    void anOperatorsFileIsCheckedAsAVersionIs() throws IOException {
        for (String[] odd : new String[][] {
            {"{\"listener\": \"10.0.0.1:80\"}", "O-LISTENER"},
            {"{\"control\": {}}", "S-REQUIRED"},
            {"{\"control\": {\"services\": [\"127.0.0.1:99999\"]}}", "O-ADDRESS"},
            {"{\"log\": {\"form\": \"xml\"}}", "S-ENUM"},
            {"{\"lisener\": \"127.0.0.1:80\"}", "S-ADDITIONALPROPERTIES"},
            {"{", "G-JSON"}
        }) {
            assertThat(refusal(odd[0])).as(odd[0]).contains(odd[1]);
        }
        OperatorConfig read = OperatorConfigReader.read(Path.of("deploy/operator.json"), deployment());
        assertThat(read.control()).isNotNull();
        assertThat(read.membership()).as("off where none is named").isNull();
        assertThat(OperatorConfigReader.read(Path.of("deploy/scope.json"), deployment())
                        .membership()
                        .terms()
                        .most())
                .isEqualTo(1024);
    }

    private static RelayConfig deployment() throws IOException {
        return RelayConfig.read(Path.of("examples/relay.json"));
    }

    private String refusal(String text) throws IOException {
        Path file = Path.of(file("operator.json", text));
        Throwable wrong = catchThrowable(() -> OperatorConfigReader.read(file, deployment()));
        assertThat(wrong).as(text).isInstanceOf(IOException.class).hasMessageContaining(file + ":");
        return wrong.getMessage();
    }

    private static String membership(String more) {
        return "{\"membership\": {\"most\": 40, \"perService\": 4" + more + "}}";
    }

    @Test
    void aScopeThatCantBeIsRefusedWithItsPlaceCauseAndMend() throws IOException {
        assertThat(refusal("{\"membership\": {\"perService\": 4}}"))
                .contains(":1:16 /membership S-REQUIRED", "add most");
        assertThat(refusal("{\"membership\": {\"most\": 40}}")).contains("S-REQUIRED", "add perService");
        assertThat(refusal("{\"membership\": {\"most\": 3, \"perService\": 4}}"))
                .contains(
                        ":1:42 /membership/perService O-SCOPE-SERVICE 4 units of one service are more than the 3",
                        "at most 3");
        assertThat(refusal(membership(", \"leastElsewhere\": 5")))
                .contains("/membership/leastElsewhere O-SCOPE-ELSEWHERE 5 units", "name at most 4");
        assertThat(refusal(membership(", \"zone\": \"west\"")))
                .contains("/membership/zone O-SCOPE-ZONE west is no zone of this deployment", "name one of [east]");
        assertThat(refusal("{\"membership\": {\"most\": 1000000, \"perService\": 4}}"))
                .contains("/membership/most O-SCOPE-HEAP this relay's heap bears ", "name at most ");
        for (String odd : new String[] {
            ", \"mostListBytes\": 1000",
            ", \"number\": -1",
            ", \"settleS\": -1",
            ", \"leastElsewhere\": -1",
            ", \"leastHolders\": -1",
            ", \"service\": {}",
            ", \"service\": {\"label\": \"a\", \"separator\": \"-\"}",
            ", \"service\": {\"separator\": \"\"}",
            ", \"zone\": 3",
            ", \"zones\": \"east\""
        }) {
            assertThat(refusal(membership(odd))).contains(" S-", "/membership");
        }
        for (String most : new String[] {"0", "-1", "1.5", "\"all\"", "10000000"}) {
            assertThat(refusal("{\"membership\": {\"most\": " + most + ", \"perService\": 1}}"))
                    .contains(":1:25 /membership/most S-");
        }
    }

    @Test
    void aScopeThatIsSoundIsReadAndWhatIsLeftOutHasItsDefault() throws IOException {
        OperatorConfig.Membership read = OperatorConfigReader.read(
                        Path.of(file("operator.json", membership(""))), deployment())
                .membership();
        assertThat(read.terms())
                .isEqualTo(new EndpointSubset.Terms(deployment().settings().seed(), -1, 40, 4, 1, 1, 10_000_000));
        assertThat(read.maxListBytes()).isEqualTo(64 << 20);
        assertThat(read.service()).isSameAs(ServiceNameExtractor.ONE);
        OperatorConfig.Membership all = OperatorConfigReader.read(
                        Path.of(file(
                                "operator.json",
                                "{\"membership\": {\"most\": 1024, "
                                        + "\"perService\": 1, \"zone\": \"east\", \"number\": 17, \"leastHolders\": 0, \"settleS\": 0.5, \"mostListBytes\": 2097152, "
                                        + "\"service\": {\"separator\": \"-\"}}}")),
                        deployment())
                .membership();
        assertThat(all.terms()).isEqualTo(new EndpointSubset.Terms(17, 0, 1024, 1, 0, 0, 500_000));
        assertThat(all.maxListBytes()).isEqualTo(2 << 20);
        assertThat(all.service().of("cold-brew-17", null, Map.of())).isEqualTo("cold-brew");
        assertThat(all.service().of("alone", null, Map.of())).isEmpty();
    }
}
