package gatelock.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A relay process that is started from the program's jar as the platform does, with access to its resource use. */
public final class RelayProcess implements AutoCloseable {
    private static final Path PLATFORM_CONFIG = Path.of("deploy/balancer.toml");
    private static final Path LAUNCHER = Path.of("deploy/relay.sh");
    private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern RUN_LINE_WITH_FLAGS =
            Pattern.compile("(?m)^run = \"exec java (.*) -jar (\\S+) serve( --operator \\S+)?\"$");
    /** The environment variable that names the program that the launcher starts in place of the jar. */
    private static final String PROGRAM_VARIABLE = "RELAY_PROGRAM";

    private static final Pattern OLD_GENERATION = Pattern.compile("tenured generation\\s+total \\d+K, used (\\d+)K");
    private static final int READY_POLL_MS = 5;
    private static final long THROTTLE_PERIOD_MS = 100;

    /** The port on which clients connect. */
    public final int port;

    private final long startNs = System.nanoTime();
    private final Path log;
    private final Process process;

    private RelayProcess(int port, Path log, Process process) {
        this.port = port;
        this.log = log;
        this.process = process;
    }

    /** Returns the JVM flags that the launcher passes without a configuration, which are those of the largest heap. */
    public static List<String> flags() throws IOException {
        Process launcher = new ProcessBuilder("bash", LAUNCHER.toString(), "flags").start();
        return new String(launcher.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                .lines()
                .toList();
    }

    /** Returns the JVM flags of a platform configuration, whose run line may name them or the launcher. */
    static List<String> flags(Path platformConfig) throws IOException {
        Matcher runLine = RUN_LINE_WITH_FLAGS.matcher(Files.readString(platformConfig));
        return runLine.find() ? List.of(runLine.group(1).split(" ", -1)) : flags();
    }

    private static String runLine() throws IOException {
        Matcher runLine = RUN_LINE.matcher(Files.readString(PLATFORM_CONFIG));
        if (!runLine.find()) {
            throw new IOException(PLATFORM_CONFIG + " has no line of the form run = \"COMMAND\"");
        }
        return runLine.group(1);
    }

    /**
     * Starts a relay as the platform does.
     *
     * @param directory where the configuration and the log are written
     * @param port port on which clients connect
     * @param configuration text of the configuration, which must name the same port
     */
    public static RelayProcess start(Path directory, int port, String configuration) throws IOException {
        return start(directory, port, configuration, List.of("/bin/sh", "-c", runLine()), Map.of());
    }

    /**
     * Starts a relay.
     *
     * @param directory where the configuration and the log are written
     * @param port port on which clients connect
     * @param configuration text of the configuration, which must name the same port
     * @param flags JVM flags
     * @param arguments command-line arguments after {@code serve}
     */
    static RelayProcess start(
            Path directory, int port, String configuration, List<String> flags, List<String> arguments)
            throws IOException {
        List<String> command = new ArrayList<>(List.of(jdkTool("java")));
        command.addAll(flags);
        command.addAll(List.of("-jar", "target/gatelock.jar", "serve"));
        command.addAll(arguments);
        return start(directory, port, configuration, command, Map.of());
    }

    /**
     * Starts a relay as the platform does, but from the classes that the tests are compiled against, not from the jar.
     *
     * @param directory where the configuration and the log are written
     * @param port port on which clients connect
     * @param configuration text of the configuration, which must name the same port
     * @param arguments command-line arguments after {@code serve}
     */
    public static RelayProcess startFromClasses(Path directory, int port, String configuration, String... arguments)
            throws IOException {
        return startFromClasses(directory, port, configuration, Map.of(), arguments);
    }

    /** Starts a relay in the same way, with further variables in its environment. */
    public static RelayProcess startFromClasses(
            Path directory, int port, String configuration, Map<String, String> environment, String... arguments)
            throws IOException {
        String command = String.join(" ", runLine(), String.join(" ", arguments));
        String program = "-cp " + System.getProperty("java.class.path") + " gatelock.boot.Main";
        Map<String, String> variables = new HashMap<>(environment);
        variables.put(PROGRAM_VARIABLE, program);
        return start(directory, port, configuration, List.of("/bin/sh", "-c", command), variables);
    }

    private static RelayProcess start(
            Path directory, int port, String configuration, List<String> command, Map<String, String> variables)
            throws IOException {
        Path config = directory.resolve("relay-" + port + ".json");
        Files.writeString(config, configuration);
        Path log = directory.resolve("relay-" + port + ".log");
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("JAVA_HOME", System.getProperty("java.home"));
        builder.environment().putAll(variables);
        return new RelayProcess(port, log, ChildProcesses.start(builder));
    }

    private static String jdkTool(String name) {
        return Path.of(System.getProperty("java.home"), "bin", name).toString();
    }

    /** Returns a port that is free now. */
    public static int freePort() throws IOException {
        return freePorts(1)[0];
    }

    /** Returns different ports that are free now. */
    public static int[] freePorts(int count) throws IOException {
        List<ServerSocket> taken = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                taken.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            }
            return taken.stream().mapToInt(ServerSocket::getLocalPort).toArray();
        } finally {
            for (ServerSocket socket : taken) {
                socket.close();
            }
        }
    }

    /** Waits until the relay is ready; returns the time since its start, or -1 after the timeout or if it has ended. */
    public long awaitReadyMs(long timeoutMs) throws InterruptedException {
        while (process.isAlive() && sinceStartMs() < timeoutMs) {
            try (Socket socket = LoadGenerator.open(port)) {
                LoadGenerator.Response response =
                        LoadGenerator.exchange(socket, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
                if (response.status() == 200) {
                    return sinceStartMs();
                }
            } catch (IOException | NumberFormatException e) {
                // The relay does not listen yet, or the response is incomplete.
            }
            TimeUnit.MILLISECONDS.sleep(READY_POLL_MS);
        }
        return -1;
    }

    private long sinceStartMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    /** Returns the CPU time of all threads so far; the operating system counts it in steps of 10 ms. */
    public long cpuUs() {
        Duration cpu = process.toHandle().info().totalCpuDuration().orElse(Duration.ZERO);
        return cpu.toNanos() / 1_000;
    }

    /** Returns the resident memory. */
    public double residentMb() throws IOException {
        return memoryMb("VmRSS");
    }

    /** Stops the process for a time, as a machine that is late does. */
    void pause(long ms) throws IOException, InterruptedException {
        signal("STOP");
        TimeUnit.MILLISECONDS.sleep(ms);
        signal("CONT");
    }

    /**
     * Lets the process run only for a part of each tenth of a second from now on, as one that has a part of a core does.
     *
     * @param cores the part; nothing is changed from 1 on
     */
    void limitTo(double cores) {
        long runMs = Math.round(cores * THROTTLE_PERIOD_MS);
        if (runMs < THROTTLE_PERIOD_MS) {
            BackgroundTask.start(() -> {
                while (isAlive()) {
                    pause(THROTTLE_PERIOD_MS - runMs);
                    TimeUnit.MILLISECONDS.sleep(runMs);
                }
            });
        }
    }

    /** Sends a signal to the process. */
    public void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
    }

    /** Returns whether the process has not ended. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the peak resident memory so far. */
    public double peakResidentMb() throws IOException {
        return memoryMb("VmHWM");
    }

    private double memoryMb(String field) throws IOException {
        String status = Files.readString(Path.of("/proc/" + process.pid() + "/status"));
        return Long.parseLong(status.replaceAll("(?s).*" + field + ":\\s*(\\d+) kB.*", "$1")) / 1024.0;
    }

    /** Returns the output of a jcmd command, such as GC.class_histogram, which collects garbage first. */
    public String jcmd(String command) throws IOException, InterruptedException {
        Process jcmd = new ProcessBuilder(jdkTool("jcmd"), "" + process.pid(), command)
                .redirectErrorStream(true)
                .start();
        String output = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        if (jcmd.waitFor() != 0) {
            throw new IOException("jcmd " + command + ": " + output);
        }
        return output;
    }

    /** Returns the used size of the old generation; objects in the young generation are not counted. */
    public double oldHeapMb() throws IOException, InterruptedException {
        Matcher used = OLD_GENERATION.matcher(jcmd("GC.heap_info"));
        if (!used.find()) {
            throw new IOException("expected the used size of the tenured generation in the output of GC.heap_info");
        }
        return Long.parseLong(used.group(1)) / 1024.0;
    }

    /** Returns all output of the process so far. */
    public String log() throws IOException {
        return Files.readString(log);
    }

    /** Returns the file to which the output is written. */
    Path logFile() {
        return log;
    }

    /** Stops the relay with SIGTERM and waits until it has ended. */
    void stop() throws InterruptedException {
        process.destroy();
        process.waitFor();
    }

    /** Kills the relay, if it has not ended. */
    @Override
    public void close() {
        kill();
    }

    /** Kills the relay and waits until it has ended; an interrupt ends the wait. */
    void kill() {
        try {
            process.destroyForcibly().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
