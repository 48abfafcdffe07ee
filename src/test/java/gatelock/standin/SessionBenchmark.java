package gatelock.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Measures WebSocket sessions through one relay with the platform's flags: memory with idle sessions, the time of an echo,
 * and the response times of ordinary requests at the same time. Not a test: run by {@code make measure-sessions}.
 */
public final class SessionBenchmark {
    private static final int SOCKETS = 20_000;
    private static final int WARM_UP_ECHOES = 1_000;
    private static final int ECHOES = 4_000;
    private static final List<String> FLAGS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xms96m",
            "-Xmx96m",
            "-Xmn64m",
            "-XX:MaxDirectMemorySize=16m",
            "-XX:MaxMetaspaceSize=48m",
            "-Xss256k");
    private static final String VERSION =
            "{\"format\": 1, \"routes\": [{\"name\": \"r\", \"path\": \"/read\", \"class\": \"read\","
                    + " \"sessions\": {\"idleS\": 0, \"pingS\": 600, \"framesPerS\": 100000}}]}";

    private SessionBenchmark() {}

    /** Prints the table of measurements; takes no arguments. */
    public static void main(String[] args) throws Exception {
        Path directory = Files.createTempDirectory("gatelock-sessions");
        int port = RelayProcess.freePort();
        try (FakeDeployment deployment = new FakeDeployment(1);
                WebSocketEndpoint endpoint = new WebSocketEndpoint();
                ControlService control = new ControlService()) {
            Path operator = directory.resolve("operator.json");
            Files.writeString(
                    operator, "{\"control\": {\"services\": [\"" + control.address() + "\"]}, \"sessions\": {}}");
            control.publish(1, "m", 1, VERSION);
            String configuration = configuration(deployment, endpoint, port);
            List<String> arguments = List.of("--operator", operator.toString());
            try (RelayProcess relay = RelayProcess.start(directory, port, configuration, FLAGS, arguments)) {
                control.awaitReport("1/1");
                TimeUnit.SECONDS.sleep(2);
                measure(relay, endpoint);
            }
        }
        System.exit(0);
    }

    /**
     * Returns a configuration without a reachable discovery, whose endpoint list names the one endpoint, which serves
     * sessions and ordinary requests.
     */
    private static String configuration(FakeDeployment deployment, WebSocketEndpoint endpoint, int port)
            throws IOException {
        String example = Files.readString(Path.of("examples/relay.json")).replace("127.0.0.1:8500", "127.0.0.1:1");
        return deployment
                .configuration(example, "127.0.0.1:" + port)
                .replaceFirst("\"address\":\"[^\"]*\"", "\"address\":\"" + endpoint.address() + "\"")
                .replace("\"sockets\": 1024", "\"sockets\": " + SOCKETS);
    }

    private static void measure(RelayProcess relay, WebSocketEndpoint endpoint)
            throws IOException, InterruptedException {
        System.out.println(
                "| sessions | resident MB | ordinary p50 ms | ordinary p99 ms | echo p50 us | echo p99 us |");
        System.out.println("| --- | --- | --- | --- | --- | --- |");
        List<WebSocketPeer> clients = new ArrayList<>();
        try {
            printRow(clients, relay);
            for (int sessions : new int[] {500, 1_000, 2_000}) {
                open(clients, sessions, relay.port);
                printRow(clients, relay);
            }
            try (WebSocketPeer direct = WebSocketPeer.open(endpoint.port(), "/", "direct", "")) {
                Histogram us = echo(direct);
                System.out.printf(
                        "| direct | | | | %d | %d |%n", us.getValueAtPercentile(50), us.getValueAtPercentile(99));
            }
        } finally {
            for (WebSocketPeer client : clients) {
                client.close();
            }
        }
    }

    /** Opens sessions until the given number is open, with at most ten attempts per session. */
    private static void open(List<WebSocketPeer> clients, int sessions, int port) throws InterruptedException {
        for (int attempts = 0; clients.size() < sessions && attempts < 10 * sessions; attempts++) {
            try {
                clients.add(WebSocketPeer.open(port, "/read/x", "s" + attempts + "-" + System.nanoTime(), ""));
            } catch (IOException e) {
                if (attempts % 500 == 0) {
                    String firstLine = e.getMessage().lines().findFirst().orElse("");
                    System.out.println("session was not opened: " + firstLine);
                }
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
    }

    private static void printRow(List<WebSocketPeer> clients, RelayProcess relay)
            throws IOException, InterruptedException {
        Histogram ordinary = ConfigUpdateBenchmark.load(relay.port, 5);
        Histogram echo = clients.isEmpty() ? null : echo(clients.get(clients.size() - 1));
        System.out.printf(
                "| %d | %.1f | %.2f | %.2f | %s | %s |%n",
                clients.size(),
                relay.residentMb(),
                ordinary.getValueAtPercentile(50) / 1e3,
                ordinary.getValueAtPercentile(99) / 1e3,
                echo == null ? "" : "" + echo.getValueAtPercentile(50),
                echo == null ? "" : "" + echo.getValueAtPercentile(99));
    }

    /** Returns the times between a message and its echo, in microseconds. */
    private static Histogram echo(WebSocketPeer client) throws IOException {
        Histogram us = new Histogram(3);
        for (int i = 0; i < ECHOES; i++) {
            long sentNs = System.nanoTime();
            client.sendText("weight " + i);
            if (client.readMessage().opcode() != WebSocketPeer.TEXT) {
                throw new IOException("expected a text message as the echo");
            }
            if (i >= WARM_UP_ECHOES) {
                us.recordValue((System.nanoTime() - sentNs) / 1_000);
            }
        }
        return us;
    }
}
