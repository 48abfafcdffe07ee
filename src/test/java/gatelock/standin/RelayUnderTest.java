package gatelock.standin;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A relay process with the configuration examples/relay.json, in which the addresses are those of stand-ins. The process
 * runs the classes that the tests are compiled against.
 */
public final class RelayUnderTest implements AutoCloseable {
    private static final int CLIENT_TIMEOUT_MS = 20_000;

    private final int port;
    private final Path config;
    private final Path log;
    private Process process;
    private int logPosition;

    /** Writes a configuration with the addresses of these servers; {@code endpoint} is the only endpoint it lists. */
    public RelayUnderTest(FakeServer endpoint, FakeServer discovery, FakeServer controller) throws IOException {
        port = RelayProcess.freePort();
        config = Files.createTempFile("gatelock", ".json");
        log = Files.createTempFile("gatelock", ".log");
        String example = Files.readString(Path.of("examples/relay.json"));
        Files.writeString(
                config,
                example.replace("127.0.0.1:8480", "127.0.0.1:" + port)
                        .replace("127.0.0.1:8481", endpoint.address())
                        .replace("127.0.0.1:8482", endpoint.address())
                        .replace("127.0.0.1:8500", discovery.address())
                        .replace("127.0.0.1:8501", controller.address()));
    }

    /** Returns the port on which clients connect. */
    public int port() {
        return port;
    }

    /** Returns the path of the configuration file. */
    public Path config() {
        return config;
    }

    /** Returns the text of the configuration. */
    public String configText() throws IOException {
        return Files.readString(config);
    }

    /** Overwrites the configuration. */
    public void writeConfig(String text) throws IOException {
        Files.writeString(config, text);
    }

    /** Replaces all occurrences of a text in the configuration. */
    public void replaceInConfig(String oldText, String newText) throws IOException {
        writeConfig(configText().replace(oldText, newText));
    }

    /** Returns the endpoint list of the configuration. */
    String configuredList() throws IOException {
        return JSON.std.asString(JSON.std.mapFrom(configText()).get("known"));
    }

    /** Returns the process that was launched last. */
    public Process process() {
        return process;
    }

    /** Starts the program with these command-line arguments. */
    public void launch(String... arguments) throws IOException {
        launchWithConfig(config, arguments);
    }

    /** Starts the program with another configuration file. */
    public void launchWithConfig(Path configuration, String... arguments) throws IOException {
        ProcessBuilder builder = command(arguments).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().put("PROXY_CONFIG", configuration.toString());
        process = ChildProcesses.start(builder);
    }

    /** Starts the program without warm-up. It knows no endpoint until discovery answers its call. */
    public void launchWithoutWarmUp(String... arguments) throws IOException {
        List<String> all = new ArrayList<>(List.of("serve", "cold"));
        all.addAll(List.of(arguments));
        launch(all.toArray(new String[0]));
    }

    /** Returns a builder for a process of the program with these command-line arguments. */
    public static ProcessBuilder command(String... arguments) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-ea",
                "-Xmx64m",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "gatelock.boot.Main"));
        command.addAll(List.of(arguments));
        return new ProcessBuilder(command);
    }

    /** Waits until the relay is ready; fails after about 30 s. */
    void awaitReady() throws IOException, InterruptedException {
        for (int i = 0; i < 600 && process.isAlive(); i++) {
            try (Socket socket = connect()) {
                RawHttp.write(socket, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
                HttpMessage response = RawHttp.readMessage(socket);
                if (response != null && response.head().startsWith("HTTP/1.1 200")) {
                    return;
                }
            } catch (IOException e) {
                // The relay does not listen yet.
            }
            Thread.sleep(50);
        }
        throw new AssertionError("expected the relay to become ready, log: " + log());
    }

    /** Connects as a client. */
    public Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(CLIENT_TIMEOUT_MS);
        return socket;
    }

    /** Connects as soon as the relay listens, which can be before it is ready; fails after about 10 s. */
    public Socket connectWhenListening() throws IOException, InterruptedException {
        for (int i = 0; i < 5_000; i++) {
            try {
                return connect();
            } catch (IOException e) {
                Thread.sleep(2);
            }
        }
        throw new AssertionError("expected the relay to listen, log: " + log());
    }

    /** Sends a signal, such as {@code "HUP"}, and waits until it is sent. */
    public void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
    }

    /** Returns all output of the process so far. */
    public String log() throws IOException {
        return Files.readString(log);
    }

    /** Waits for this text in the log after the text that was awaited before; fails after about 60 s. */
    public void awaitLog(String text) throws IOException, InterruptedException {
        for (int i = 0; i < 1200; i++) {
            int found = log().indexOf(text, logPosition);
            if (found >= 0) {
                logPosition = found + text.length();
                return;
            }
            Thread.sleep(50);
        }
        throw new AssertionError("expected the text " + text + " in the log: " + log());
    }

    @Override
    public void close() throws IOException {
        if (process != null) {
            process.destroyForcibly();
        }
        Files.delete(config);
        Files.delete(log);
    }
}
