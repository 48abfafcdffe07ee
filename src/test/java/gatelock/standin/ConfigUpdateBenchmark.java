package gatelock.standin;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Measures response times through a relay while the control service publishes 200 configuration versions per second, and
 * without new versions for comparison. Not a test: run by {@code make measure-swarm}. Requests are due at fixed times, 400
 * per second, and timed from when they were due, so that a stall also counts for the requests that were delayed by it.
 */
public final class ConfigUpdateBenchmark {
    private static final int CLIENTS = 16;
    private static final int REQUESTS_PER_S = 400;
    private static final int SECONDS = 10;
    private static final int VERSIONS_PER_S = 200;
    private static final int VERSIONS = SECONDS * VERSIONS_PER_S;
    private static final List<String> FLAGS =
            List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xms96m", "-Xmx96m");

    private ConfigUpdateBenchmark() {}

    /** Prints the table of response times; takes no arguments. */
    public static void main(String[] args) throws Exception {
        Path directory = Files.createTempDirectory("gatelock-swarm");
        int port = RelayProcess.freePort();
        try (FakeDeployment deployment = new FakeDeployment(4);
                ControlService control = new ControlService()) {
            String configuration =
                    deployment.configuration(Files.readString(Path.of("examples/relay.json")), "127.0.0.1:" + port);
            Path operator = directory.resolve("operator.json");
            Files.writeString(
                    operator, "{\"control\": {\"services\": [\"" + control.address() + "\"], \"holdMs\": 1000}}");
            control.publish(1, "m", 1, version(1, 100));
            List<String> arguments = List.of("--operator", operator.toString());
            try (RelayProcess relay = RelayProcess.start(directory, port, configuration, FLAGS, arguments)) {
                control.awaitReport("1/1");
                TimeUnit.SECONDS.sleep(2);
                measure(control, relay.port);
            }
        }
        System.exit(0);
    }

    private static void measure(ControlService control, int port) throws InterruptedException {
        load(port, 5);
        System.out.println("| versions | reqs | in 250 ms | p50 ms | p99 ms | most ms |");
        System.out.println("| --- | --- | --- | --- | --- | --- |");
        printRow("none", load(port, SECONDS));
        for (int routes : new int[] {100, 1_000}) {
            int firstNumber = routes * 1_000;
            Thread publisher = new Thread(() -> publishVersions(control, firstNumber, routes));
            publisher.start();
            printRow("200 a second offered, " + routes + " routes each", load(port, SECONDS));
            publisher.join();
            long reportedVersion = 0;
            while (reportedVersion < firstNumber + VERSIONS) {
                reportedVersion = ((Number) control.awaitReport().get("version")).longValue();
            }
        }
    }

    private static void publishVersions(ControlService control, int firstNumber, int routes) {
        for (int i = 1; !Thread.currentThread().isInterrupted() && i <= VERSIONS; i++) {
            control.publish(1, "m", firstNumber + i, version(firstNumber + i, routes));
            try {
                Thread.sleep(1_000 / VERSIONS_PER_S);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static String version(int number, int routes) {
        StringBuilder text = new StringBuilder("{\"format\": 1, \"note\": \"" + number
                + "\", \"pools\": {\"all\": {}}, \"limits\": {\"l\": {\"ratePerS\": 100000}}, "
                + "\"routes\": [{\"name\": \"reads\", \"path\": \"/read\", \"class\": \"read\", "
                + "\"pool\": \"all\", \"limits\": [\"l\"]}");
        for (int i = 1; i < routes; i++) {
            text.append(", {\"name\": \"r")
                    .append(i)
                    .append("\", \"path\": \"/x/")
                    .append(i)
                    .append("\", \"class\": \"read\"}");
        }
        return text.append("]}").toString();
    }

    /**
     * Sends a load and prints how many requests were not answered with 200.
     *
     * @return response times in microseconds, measured from when each request was due
     */
    static Histogram load(int port, int seconds) throws InterruptedException {
        LoadGenerator.Result result = LoadGenerator.run(new int[] {port}, CLIENTS, REQUESTS_PER_S, seconds);
        if (result.failures() > 0) {
            System.out.println(result.failures() + " requests were not answered with 200");
        }
        return result.responseTimesUs();
    }

    private static void printRow(String versions, Histogram us) {
        System.out.printf(
                "| %s | %d | %.2f%% | %.2f | %.2f | %.2f |%n",
                versions,
                us.getTotalCount(),
                us.getPercentileAtOrBelowValue(250_000),
                us.getValueAtPercentile(50) / 1e3,
                us.getValueAtPercentile(99) / 1e3,
                us.getMaxValue() / 1e3);
    }
}
