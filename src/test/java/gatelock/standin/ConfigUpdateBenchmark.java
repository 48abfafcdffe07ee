package gatelock.standin;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Measures service through a relay while 200 versions a second come, against none. Not a test: run by
 * {@code make measure-swarm}. Requests are sent at set times, 400 a second, and timed from these, so that a stall
 * counts for
 * all that should have been sent in it.
 */
public final class ConfigUpdateBenchmark {
    private static final int CLIENTS = 16;
    private static final int A_SECOND = 400;
    private static final int SECONDS = 10;

    private ConfigUpdateBenchmark() {}

    public static void main(String[] args) throws Exception {
        Path directory = Files.createTempDirectory("gatelock-swarm");
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        try (FakeDeployment village = new FakeDeployment(4);
                ControlService control = new ControlService()) {
            Path config = directory.resolve("relay.json");
            Files.writeString(
                    config,
                    village.configuration(Files.readString(Path.of("examples/relay.json")), "127.0.0.1:" + port));
            Path operator = directory.resolve("operator.json");
            Files.writeString(
                    operator, "{\"control\": {\"services\": [\"" + control.address() + "\"], \"holdMs\": 1000}}");
            control.offer(1, "m", 1, plan(1, 100));
            ProcessBuilder builder = new ProcessBuilder(
                            "java",
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-Xms96m",
                            "-Xmx96m",
                            "-jar",
                            "target/gatelock.jar",
                            "serve",
                            "--operator",
                            operator.toString())
                    .redirectError(directory.resolve("relay.log").toFile());
            builder.environment().put("PROXY_CONFIG", config.toString());
            Process relay = builder.start();
            try {
                control.report("1/1");
                TimeUnit.SECONDS.sleep(2);
                load(port, 5);
                System.out.println("| versions | reqs | in 250 ms | p50 ms | p99 ms | most ms |");
                System.out.println("| --- | --- | --- | --- | --- | --- |");
                say("none", load(port, SECONDS));
                for (int routes : new int[] {100, 1_000}) {
                    int at = routes * 1_000;
                    Thread swarm = new Thread(() -> {
                        for (int i = 1; !Thread.currentThread().isInterrupted() && i <= SECONDS * 200; i++) {
                            control.offer(1, "m", at + i, plan(at + i, routes));
                            try {
                                Thread.sleep(5);
                            } catch (InterruptedException e) {
                                return;
                            }
                        }
                    });
                    swarm.start();
                    say("200 a second offered, " + routes + " routes each", load(port, SECONDS));
                    swarm.join();
                    long held = 0;
                    while (held < at + SECONDS * 200) {
                        held = ((Number) control.report().get("version")).longValue();
                    }
                }
            } finally {
                relay.destroy();
                relay.waitFor();
            }
        }
        System.exit(0);
    }

    private static String plan(int number, int routes) {
        StringBuilder text = new StringBuilder("{\"format\": 1, \"note\": \"" + number
                + "\", \"pools\": {\"all\": {}}, \"limits\": "
                + "{\"l\": {\"ratePerS\": 100000}}, \"routes\": [{\"name\": \"reads\", \"path\": \"/read\", "
                + "\"class\": \"read\", "
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

    /** Times of requests from when each was due; one that got no 200 is told. */
    static Histogram load(int port, int seconds) throws InterruptedException {
        OpenLoop.Result result = OpenLoop.run(new int[] {port}, CLIENTS, A_SECOND, seconds);
        if (result.other() > 0) {
            System.out.println(result.other() + " reqs got no 200");
        }
        return result.us();
    }

    private static void say(String what, Histogram us) {
        System.out.printf(
                "| %s | %d | %.2f%% | %.2f | %.2f | %.2f |%n",
                what,
                us.getTotalCount(),
                us.getPercentileAtOrBelowValue(250_000),
                us.getValueAtPercentile(50) / 1e3,
                us.getValueAtPercentile(99) / 1e3,
                us.getMaxValue() / 1e3);
    }
}
