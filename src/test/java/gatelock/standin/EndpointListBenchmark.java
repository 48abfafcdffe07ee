package gatelock.standin;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.Histogram;

/**
 * Measures one relay with the platform's flags before a list of 200,000 endpoints, with and without a scope: time until
 * it is ready, memory, processor time at an ordinary day's changes of the list, and requests at the end. Not a test: run
 * by {@code make measure-list}, from the directory of the project. Words: rows by number (all if none), then
 * {@code write COMMIT} to note them in docs/capacity/relay-scope.json.
 */
public final class EndpointListBenchmark {
    /** The file whose run line has the flags; another one by {@code -Ddeploy}. */
    private static final Path DEPLOY = Path.of(System.getProperty("deploy", "deploy/balancer.toml"));

    private static final int QUIET_S = 15;
    private static final int CHANGES_S = 30;
    private static final int SERVICES = 7_200;
    private static final int REQS_S = 5;
    /** Of an ordinary day: half a restart a second, of three changes each, and 0.014 failures a second. */
    private static final int STEP_MS = 667;

    private static final Pattern TAKEN =
            Pattern.compile("list \\d+ of (\\d+) endpoints in (\\d+) services, (\\d+) in scope");

    /** What is played. */
    private record Play(int endpoints, String membership) {}

    private static final List<Play> PLAYS = List.of(
            new Play(200_000, null),
            new Play(10_000, null),
            new Play(200_000, "\"most\": 1024, \"perService\": 4"),
            new Play(200_000, "\"most\": 7300, \"perService\": 4"),
            new Play(10_000, "\"most\": 1024, \"perService\": 4"));

    /** One relay as a process. */
    private record Relay(Process process, int port, Path log, long startNs) {

        /** Milliseconds until it says that it is ready, -1: not in time. */
        long ready(long withinMs) throws InterruptedException {
            for (long ms = 0; process.isAlive() && ms < withinMs; ms = (System.nanoTime() - startNs) / 1_000_000) {
                try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                    socket.setSoTimeout(1_000);
                    socket.getOutputStream()
                            .write("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    if (new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).endsWith("200")) {
                        return (System.nanoTime() - startNs) / 1_000_000;
                    }
                } catch (IOException e) {
                    // not listening yet
                }
                TimeUnit.MILLISECONDS.sleep(5);
            }
            return -1;
        }

        /** Of all its threads; the system counts it in steps of 10 ms. */
        long cpuUs() {
            return process.toHandle()
                            .info()
                            .totalCpuDuration()
                            .orElse(Duration.ZERO)
                            .toNanos()
                    / 1_000;
        }

        double memoryMb(String which) throws IOException {
            String status = Files.readString(Path.of("/proc/" + process.pid() + "/status"));
            return Long.parseLong(status.replaceAll("(?s).*" + which + ":\\s*(\\d+) kB.*", "$1")) / 1024.0;
        }

        String jcmd(String what) throws IOException {
            Process asked = new ProcessBuilder("jcmd", "" + process.pid(), what)
                    .redirectErrorStream(true)
                    .start();
            return new String(asked.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }

        double oldHeapMb() throws IOException {
            Matcher used = Pattern.compile("tenured generation\\s+total \\d+K, used (\\d+)K")
                    .matcher(jcmd("GC.heap_info"));
            return used.find() ? Long.parseLong(used.group(1)) / 1024.0 : -1;
        }
    }

    /** The words of the platform's run line between the program's name and the jar. */
    private static List<String> flags() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"exec java (.*) -jar (\\S+) serve( --operator \\S+)?\"$")
                .matcher(Files.readString(DEPLOY));
        if (!run.find()) {
            throw new IOException(DEPLOY + " has no run line of the usual form");
        }
        return List.of(run.group(1).split(" "));
    }

    private EndpointListBenchmark() {}

    public static void main(String[] args) throws Exception {
        List<Map<String, Object>> rows = new ArrayList<>();
        List<Integer> wanted = new ArrayList<>();
        String commit = null;
        for (int i = 0; i < args.length; i++) {
            if (args[i].equals("write")) {
                commit = args[++i];
            } else {
                wanted.add(Integer.parseInt(args[i]));
            }
        }
        for (int i = 0; i < PLAYS.size(); i++) {
            if (wanted.isEmpty() || wanted.contains(i)) {
                rows.add(row(PLAYS.get(i)));
                System.out.println(JSON.std.asString(rows.get(rows.size() - 1)));
            }
        }
        if (commit != null) {
            note(commit, rows);
        }
        System.exit(0);
    }

    private static void note(String commit, List<Map<String, Object>> rows) throws Exception {
        Instant now = Instant.now().truncatedTo(ChronoUnit.SECONDS);
        Map<String, Object> run = new LinkedHashMap<>();
        run.put("id", now.toString().replaceAll("[-:]", "") + "-" + commit);
        run.put("date", now.toString());
        run.put("commit", commit);
        run.put("cores", Runtime.getRuntime().availableProcessors());
        run.put("java", System.getProperty("java.version"));
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("run", run);
        all.put("rows", rows);
        Files.createDirectories(Path.of("docs/capacity"));
        Files.writeString(
                Path.of("docs/capacity/relay-scope.json"),
                JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT).asString(all) + "\n");
    }

    private static Map<String, Object> row(Play play) throws Exception {
        Path directory = Files.createTempDirectory("gatelock-list");
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        try (FakeDeployment village = new FakeDeployment(4)) {
            String example =
                    village.configuration(Files.readString(Path.of("examples/relay.json")), "127.0.0.1:" + port);
            List<String> endpoints = new ArrayList<>();
            Matcher at = Pattern.compile("\"name\":\"[a-d]\",\"address\":\"([^\"]*)\"")
                    .matcher(example);
            while (at.find()) {
                endpoints.add(at.group(1));
            }
            try (LongListDiscovery list =
                    new LongListDiscovery(play.endpoints, i -> entry(i, endpoints, "in_service", 0, 1))) {
                String config = example.replaceFirst(
                        "\"discovery\": \"[^\"]*:[0-9]+\"", "\"discovery\": \"" + list.address("relay") + "\"");
                List<String> more = new ArrayList<>();
                if (play.membership != null) {
                    Path operator = directory.resolve("operator.json");
                    Files.writeString(
                            operator,
                            "{\"membership\": {\"leastHolders\": 0, " + play.membership
                                    + ", \"number\": 17, \"zone\": \"east\", \"service\": {\"label\": \"service\"}}}");
                    more.addAll(List.of("--operator", operator.toString()));
                }
                Path log = directory.resolve("relay.log");
                Path file = directory.resolve("relay.json");
                Files.writeString(file, config);
                List<String> command = new ArrayList<>(List.of("java"));
                command.addAll(flags());
                command.addAll(List.of("-jar", "target/gatelock.jar", "serve"));
                command.addAll(more);
                ProcessBuilder builder =
                        new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
                builder.environment().put("PROXY_CONFIG", file.toString());
                Relay relay = new Relay(builder.start(), port, log, System.nanoTime());
                try {
                    return measured(play, endpoints, list, relay);
                } finally {
                    relay.process.destroyForcibly().waitFor();
                }
            }
        }
    }

    private static String entry(int i, List<String> endpoints, String status, long sinceMs, int build) {
        return LongListDiscovery.entry(
                i,
                endpoints.get(i % endpoints.size()),
                i % 3 == 0 ? "east" : "west",
                "service-" + i % SERVICES,
                status,
                sinceMs,
                build);
    }

    private static Map<String, Object> measured(Play play, List<String> endpoints, LongListDiscovery list, Relay relay)
            throws Exception {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("units", play.endpoints);
        row.put("membership", play.membership == null ? "off" : "{" + play.membership + "}");
        row.put("readyMs", relay.ready(60_000));
        row.put("readyCpuMs", relay.cpuUs() / 1_000);
        Matcher taken = TAKEN.matcher(Files.readString(relay.log));
        row.put("inScope", taken.find() ? Integer.parseInt(taken.group(3)) : null);
        row.put("listBytes", list.bytesOut());
        row.put("lists", list.wholes());
        // The first seconds hold what a start leaves behind: compiling, the rehearsal's garbage.
        TimeUnit.SECONDS.sleep(5);
        long cpuUs = relay.cpuUs();
        TimeUnit.SECONDS.sleep(QUIET_S);
        double quiet = (relay.cpuUs() - cpuUs) / 1e6 / QUIET_S;
        row.put("quietCorePercent", round(quiet * 100));
        long bytes = list.bytesOut();
        cpuUs = relay.cpuUs();
        long index = changes(endpoints, list, play.endpoints);
        double changing = (relay.cpuUs() - cpuUs) / 1e6 / CHANGES_S;
        row.put("changesCorePercent", round(changing * 100));
        row.put("changesBytesPerS", (list.bytesOut() - bytes) / CHANGES_S);
        row.put("followed", !list.await(index, 1, 5_000).isEmpty());
        Histogram us = ConfigUpdateBenchmark.load(relay.port, REQS_S);
        row.put("reqs200", us.getTotalCount());
        row.put("reqsP99Ms", round(us.getValueAtPercentile(99) / 1e3));
        row.put("residentMb", round(relay.memoryMb("VmRSS")));
        row.put("peakResidentMb", round(relay.memoryMb("VmHWM")));
        row.put("oldHeapMb", round(relay.oldHeapMb()));
        row.put("liveHeapMb", round(liveMb(relay)));
        row.put("saysTooLong", Files.readString(relay.log).contains("discovery's list is too long"));
        row.put("saysSilent", Files.readString(relay.log).contains("discovery is silent"));
        return row;
    }

    /** The classes' histogram collects all garbage first. */
    private static double liveMb(Relay relay) throws Exception {
        Matcher total = Pattern.compile("(?m)^Total\\s+\\d+\\s+(\\d+)").matcher(relay.jcmd("GC.class_histogram"));
        return total.find() ? Long.parseLong(total.group(1)) / 1024.0 / 1024.0 : -1;
    }

    private static double round(double value) {
        return Math.round(value * 100) / 100.0;
    }

    /** An ordinary day's changes for a while; returns the last one's index. */
    private static long changes(List<String> endpoints, LongListDiscovery list, int size) throws InterruptedException {
        long fromNs = System.nanoTime();
        long index = list.index();
        for (int i = 0; i * (long) STEP_MS < CHANGES_S * 1_000L; i++) {
            long dueNs = fromNs + TimeUnit.MILLISECONDS.toNanos(i * (long) STEP_MS);
            TimeUnit.NANOSECONDS.sleep(Math.max(0, dueNs - System.nanoTime()));
            int endpoint = (int) (i / 3 * 7_919L % size);
            long nowMs = System.currentTimeMillis();
            index = switch (i % 3) {
                case 0 -> list.change(endpoint, entry(endpoint, endpoints, "terminating", 0, 1));
                case 1 -> list.leave(endpoint, entry(endpoint, endpoints, "terminated", 0, 1));
                default -> list.change(endpoint, entry(endpoint, endpoints, "in_service", nowMs, 1));
            };
            if (i == 20) {
                index = list.leave(size - 1, entry(size - 1, endpoints, "terminated", 0, 1));
            }
        }
        TimeUnit.NANOSECONDS.sleep(Math.max(0, fromNs + TimeUnit.SECONDS.toNanos(CHANGES_S) - System.nanoTime()));
        return index;
    }
}
