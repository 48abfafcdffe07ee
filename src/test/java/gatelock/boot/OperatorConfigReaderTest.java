package gatelock.boot;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowable;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import gatelock.discovery.ServiceNameExtractor;
import gatelock.membership.EndpointSubset;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the values read from the operator's file, and the reports of problems in it. */
final class OperatorConfigReaderTest {
    @TempDir
    private Path directory;

    private Path file(String text) throws IOException {
        return Files.writeString(directory.resolve("operator.json"), text);
    }

    @Test
    void reportsEachKindOfErrorByItsCode() throws IOException {
        for (String[] malformed : new String[][] {
            {"{\"listener\": \"10.0.0.1:80\"}", "O-LISTENER"},
            {"{\"control\": {}}", "S-REQUIRED"},
            {"{\"control\": {\"services\": [\"127.0.0.1:99999\"]}}", "O-ADDRESS"},
            {"{\"log\": {\"form\": \"xml\"}}", "S-ENUM"},
            {"{\"lisener\": \"127.0.0.1:80\"}", "S-ADDITIONALPROPERTIES"},
            {"{", "G-JSON"}
        }) {
            assertThat(errorOf(malformed[0])).as(malformed[0]).contains(malformed[1]);
        }
        OperatorConfig read = OperatorConfigReader.read(Path.of("deploy/operator.json"), deployment());
        assertThat(read.control()).isNotNull();
        assertThat(read.membership())
                .as("disabled without a membership section")
                .isNull();
        assertThat(OperatorConfigReader.read(Path.of("deploy/scope.json"), deployment())
                        .membership()
                        .policy()
                        .maxEndpoints())
                .isEqualTo(1024);
    }

    private static RelayConfig deployment() throws IOException {
        return RelayConfig.read(Path.of("examples/relay.json"));
    }

    /** Returns the message of the exception that rejects an operator's file with this text. */
    private String errorOf(String text) throws IOException {
        Path file = file(text);
        Throwable thrown = catchThrowable(() -> OperatorConfigReader.read(file, deployment()));
        assertThat(thrown)
                .as(text)
                .isInstanceOf(ConfigurationException.class)
                .isInstanceOf(IOException.class)
                .hasMessageContaining(file + ":");
        return thrown.getMessage();
    }

    private static String membership(String moreFields) {
        return "{\"membership\": {\"most\": 40, \"perService\": 4" + moreFields + "}}";
    }

    @Test
    void reportsInvalidMembershipWithLocationCauseAndRemedy() throws IOException {
        assertThat(errorOf("{\"membership\": {\"perService\": 4}}"))
                .contains(":1:16 /membership S-REQUIRED", "add most");
        assertThat(errorOf("{\"membership\": {\"most\": 40}}")).contains("S-REQUIRED", "add perService");
        assertThat(errorOf("{\"membership\": {\"most\": 3, \"perService\": 4}}"))
                .contains(
                        ":1:42 /membership/perService O-SCOPE-SERVICE 4 units of each service exceed the limit of 3",
                        "at most 3");
        assertThat(errorOf(membership(", \"leastElsewhere\": 5")))
                .contains("/membership/leastElsewhere O-SCOPE-ELSEWHERE 5 units", "use at most 4");
        assertThat(errorOf(membership(", \"zone\": \"west\"")))
                .contains("/membership/zone O-SCOPE-ZONE west is not a zone of this deployment", "use one of [east]");
        assertThat(errorOf("{\"membership\": {\"most\": 1000000, \"perService\": 4}}"))
                .contains("/membership/most O-SCOPE-HEAP the heap of this relay has room for ", "use at most ");
        for (String malformed : new String[] {
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
            assertThat(errorOf(membership(malformed))).contains(" S-", "/membership");
        }
        for (String most : new String[] {"0", "-1", "1.5", "\"all\"", "10000000"}) {
            assertThat(errorOf("{\"membership\": {\"most\": " + most + ", \"perService\": 1}}"))
                    .contains(":1:25 /membership/most S-");
        }
    }

    @Test
    void readsMembershipAndDefaultsForAbsentFields() throws IOException {
        OperatorConfig.Membership read =
                OperatorConfigReader.read(file(membership("")), deployment()).membership();
        assertThat(read.policy())
                .isEqualTo(new EndpointSubset.Policy(deployment().settings().seed(), -1, 40, 4, 1, 1, 10_000_000));
        assertThat(read.maxListBytes()).isEqualTo(64 << 20);
        assertThat(read.serviceNames()).isSameAs(ServiceNameExtractor.SINGLE_SERVICE);
        OperatorConfig.Membership all = OperatorConfigReader.read(
                        file("{\"membership\": {\"most\": 1024, "
                                + "\"perService\": 1, \"zone\": \"east\", \"number\": 17, \"leastHolders\": 0, \"settleS\": 0.5, \"mostListBytes\": 2097152, "
                                + "\"service\": {\"separator\": \"-\"}}}"),
                        deployment())
                .membership();
        assertThat(all.policy()).isEqualTo(new EndpointSubset.Policy(17, 0, 1024, 1, 0, 0, 500_000));
        assertThat(all.maxListBytes()).isEqualTo(2 << 20);
        assertThat(all.serviceNames().extractService("cold-brew-17", null, Map.of()))
                .isEqualTo("cold-brew");
        assertThat(all.serviceNames().extractService("alone", null, Map.of())).isEmpty();
    }

    @Test
    void exceptionCarriesFileAndAllProblems() throws IOException {
        Path file = file("{\"membership\": {\"most\": 3, \"perService\": 4, \"leastElsewhere\": 5}}");
        ConfigurationException thrown =
                catchThrowableOfType(ConfigurationException.class, () -> OperatorConfigReader.read(file, deployment()));
        assertThat(thrown.file()).isEqualTo(file);
        assertThat(thrown.problems())
                .containsExactly(
                        new ConfigurationException.Problem(
                                "/membership/perService",
                                "4 units of each service exceed the limit of 3 in the field most",
                                "use at most 3"),
                        new ConfigurationException.Problem(
                                "/membership/leastElsewhere",
                                "5 units in other zones exceed the 4 of each service in the field perService",
                                "use at most 4"));
    }

    @Test
    void reportsMissingFileByItsName() {
        Path absent = directory.resolve("none.json");
        assertThatThrownBy(() -> OperatorConfigReader.read(absent, deployment()))
                .isInstanceOf(ConfigurationException.class)
                .hasMessageStartingWith("operator's file " + absent + " can't be read: ");
    }
}
