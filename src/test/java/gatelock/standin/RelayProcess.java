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
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A relay as the platform starts it: the program's jar with the flags of deploy/balancer.toml. */
public final class RelayProcess implements AutoCloseable {
    public final int port;
    private final long startNs = System.nanoTime();
    private final Path log;
    private final Process process;

    private RelayProcess(int port, Path log, Process process) {
        this.port = port;
        this.log = log;
        this.process = process;
    }

    /** The run line's words between the program's name and the jar. */
    public static List<String> flags() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"exec java (.*) -jar (\\S+) serve\"$")
                .matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no run line of the usual form");
        }
        return List.of(run.group(1).split(" "));
    }

    /** @param configuration as text, with this port as where it listens */
    public static RelayProcess start(Path directory, int port, String configuration) throws IOException {
        Path config = directory.resolve("relay-" + port + ".json");
        Files.writeString(config, configuration);
        List<String> command = new ArrayList<>(List.of(tool("java")));
        command.addAll(flags());
        command.addAll(List.of("-jar", "target/gatelock.jar", "serve"));
        Path log = directory.resolve("relay-" + port + ".log");
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().put("PROXY_CONFIG", config.toString());
        return new RelayProcess(port, log, builder.start());
    }

    private static String tool(String name) {
        return Path.of(System.getProperty("java.home"), "bin", name).toString();
    }

    /** Ports that are free together. */
    public static int[] freePorts(int howMany) throws IOException {
        List<ServerSocket> taken = new ArrayList<>();
        try {
            for (int i = 0; i < howMany; i++) {
                taken.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            }
            return taken.stream().mapToInt(ServerSocket::getLocalPort).toArray();
        } finally {
            for (ServerSocket socket : taken) {
                socket.close();
            }
        }
    }

    /** Waits until it is ready; milliseconds from its start, or -1: it was not in time, or has ended. */
    public long ready(long withinMs) throws InterruptedException {
        while (process.isAlive() && sinceStartMs() < withinMs) {
            try (Socket socket = OpenLoop.open(port)) {
                if (OpenLoop.call(socket, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                                .status()
                        == 200) {
                    return sinceStartMs();
                }
            } catch (IOException | NumberFormatException e) {
                // not listening yet, or no whole answer
            }
            TimeUnit.MILLISECONDS.sleep(5);
        }
        return -1;
    }

    private long sinceStartMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    /** Processor time so far, of all its threads; the system counts it in steps of 10 ms. */
    public long cpuUs() {
        return process.toHandle()
                        .info()
                        .totalCpuDuration()
                        .orElse(Duration.ZERO)
                        .toNanos()
                / 1_000;
    }

    public double residentMb() throws IOException {
        String status = Files.readString(Path.of("/proc/" + process.pid() + "/status"));
        return Long.parseLong(status.replaceAll("(?s).*VmRSS:\\s*(\\d+) kB.*", "$1")) / 1024.0;
    }

    /** What the JDK's own tool tells of it, e.g. GC.class_histogram, which collects garbage first. */
    public String jcmd(String what) throws IOException, InterruptedException {
        Process asked = new ProcessBuilder(tool("jcmd"), "" + process.pid(), what)
                .redirectErrorStream(true)
                .start();
        String said = new String(asked.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        if (asked.waitFor() != 0) {
            throw new IOException("jcmd " + what + ": " + said);
        }
        return said;
    }

    /** Of the old generation, in MB; what young objects hold is not in it. */
    public double oldHeapMb() throws IOException, InterruptedException {
        Matcher used = Pattern.compile("tenured generation\\s+total \\d+K, used (\\d+)K")
                .matcher(jcmd("GC.heap_info"));
        if (!used.find()) {
            throw new IOException("no tenured generation");
        }
        return Long.parseLong(used.group(1)) / 1024.0;
    }

    public String log() throws IOException {
        return Files.readString(log);
    }

    @Override
    public void close() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }
}
