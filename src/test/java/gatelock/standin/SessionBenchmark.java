package gatelock.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Measures sessions through one relay with the platform's flags: memory held by idle ones, added time of an
 * echo, and ordinary
 * requests beside them. Not a test: run by {@code make measure-sessions}.
 */
public final class SessionBenchmark {
    private static final int SOCKETS = 20_000;

    private SessionBenchmark() {}

    public static void main(String[] args) throws Exception {
        Path directory = Files.createTempDirectory("gatelock-sessions");
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        try (FakeDeployment village = new FakeDeployment(1);
                WebSocketEndpoint hive = new WebSocketEndpoint();
                ControlService control = new ControlService()) {
            String endpoint = "127.0.0.1:" + hive.address().split(":")[1];
            // No discovery: the list that the relay begins with names the one endpoint that speaks both.
            String text = Files.readString(Path.of("examples/relay.json")).replace("127.0.0.1:8500", "127.0.0.1:1");
            String example = village.configuration(text, "127.0.0.1:" + port)
                    .replaceFirst("\"address\":\"[^\"]*\"", "\"address\":\"" + endpoint + "\"")
                    .replace("\"sockets\": 1024", "\"sockets\": " + SOCKETS);
            Path config = directory.resolve("relay.json");
            Files.writeString(config, example);
            Path operator = directory.resolve("operator.json");
            Files.writeString(
                    operator, "{\"control\": {\"services\": [\"" + control.address() + "\"]}, \"sessions\": {}}");
            control.offer(
                    1,
                    "m",
                    1,
                    "{\"format\": 1, \"routes\": [{\"name\": \"r\", \"path\": \"/read\", "
                            + "\"class\": \"read\","
                            + " \"sessions\": {\"idleS\": 0, \"pingS\": 600, \"framesPerS\": 100000}}]}");
            ProcessBuilder builder = new ProcessBuilder(
                            "java",
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-Xms96m",
                            "-Xmx96m",
                            "-Xmn64m",
                            "-XX:MaxDirectMemorySize=16m",
                            "-XX:MaxMetaspaceSize=48m",
                            "-Xss256k",
                            "-jar",
                            "target/gatelock.jar",
                            "serve",
                            "--operator",
                            operator.toString())
                    .redirectErrorStream(true)
                    .redirectOutput(directory.resolve("relay.log").toFile());
            builder.environment().put("PROXY_CONFIG", config.toString());
            Process relay = builder.start();
            List<WebSocketPeer> tablets = new ArrayList<>();
            try {
                control.report("1/1");
                TimeUnit.SECONDS.sleep(2);
                System.out.println("| sessions | resident MB | ordinary p50 ms | ordinary p99 ms | echo "
                        + "p50 us | echo p99 us |");
                System.out.println("| --- | --- | --- | --- | --- | --- |");
                row(tablets, relay, port);
                for (int target : new int[] {500, 1_000, 2_000}) {
                    open(tablets, target, port);
                    row(tablets, relay, port);
                }
                try (WebSocketPeer direct = direct(hive)) {
                    Histogram us = echo(direct);
                    System.out.printf(
                            "| direct | | | | %d | %d |%n", us.getValueAtPercentile(50), us.getValueAtPercentile(99));
                }
            } finally {
                relay.destroyForcibly().waitFor();
                for (WebSocketPeer tablet : tablets) {
                    tablet.close();
                }
            }
        }
        System.exit(0);
    }

    private static void open(List<WebSocketPeer> tablets, int target, int port) throws Exception {
        for (int attempts = 0; tablets.size() < target && attempts < 10 * target; attempts++) {
            try {
                tablets.add(WebSocketPeer.open(port, "/read/x", "s" + attempts + "-" + System.nanoTime(), ""));
            } catch (IOException e) {
                if (attempts % 500 == 0) {
                    System.out.println(
                            "not opened: " + e.getMessage().lines().findFirst().orElse(""));
                }
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
    }

    private static void row(List<WebSocketPeer> tablets, Process relay, int port) throws Exception {
        Histogram ordinary = ConfigUpdateBenchmark.load(port, 5);
        Histogram echo = tablets.isEmpty() ? null : echo(tablets.get(tablets.size() - 1));
        String status = Files.readString(Path.of("/proc/" + relay.pid() + "/status"));
        long kb = Long.parseLong(status.replaceAll("(?s).*VmRSS:\\s*(\\d+) kB.*", "$1"));
        System.out.printf(
                "| %d | %.1f | %.2f | %.2f | %s | %s |%n",
                tablets.size(),
                kb / 1024.0,
                ordinary.getValueAtPercentile(50) / 1e3,
                ordinary.getValueAtPercentile(99) / 1e3,
                echo == null ? "" : "" + echo.getValueAtPercentile(50),
                echo == null ? "" : "" + echo.getValueAtPercentile(99));
    }

    private static Histogram echo(WebSocketPeer tablet) throws IOException {
        Histogram us = new Histogram(3);
        for (int i = 0; i < 4_000; i++) {
            long fromNs = System.nanoTime();
            tablet.text("weight " + i);
            if (tablet.frame().opcode() != WebSocketPeer.TEXT) {
                throw new IOException("no echo");
            }
            if (i >= 1_000) {
                us.recordValue((System.nanoTime() - fromNs) / 1_000);
            }
        }
        return us;
    }

    private static WebSocketPeer direct(WebSocketEndpoint hive) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(
                InetAddress.getLoopbackAddress(),
                Integer.parseInt(hive.address().split(":")[1])));
        socket.setTcpNoDelay(true);
        socket.getOutputStream()
                .write(("GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: "
                                + "Upgrade\r\n"
                                + "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            head.append((char) socket.getInputStream().read());
        }
        return new WebSocketPeer(socket, true);
    }
}
