package gatelock.standin;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * Versions on their way to a relay that serves, to look at: stand-ins for endpoints, discovery, release controller and control
 * service, the
 * built program, requests all the time. Run by {@code make demo}.
 */
public final class Demo {
    private static final String SOUND = """
        {"format": 1, "by": "demo", "note": "%s", "unmatched": "refuse",
         "pools": {"near": {"zones": ["east"], "fallback": "all", "leastShare": 0.5}, "all": {}},
         "limits": {"reads": {"per": "tenant", "ratePerS": %s, "burst": 5, "queue": {"length": 20, "waitMs": 100}}},
         "retries": {"proven": {"tries": 2}, "again": {"tries": 3, "after": ["errored", "timed-out"]}},
         "routes": [{"name": "reads", "path": "/read", "class": "read", "pool": "%s", "limits": ["reads"], "retries": "again"},
          {"name": "claims", "path": "/claim", "class": "claim", "retries": "%s"}]}
        """;

    private final Map<String, Integer> answers = new TreeMap<>();
    private int sent;

    private Demo() {}

    public static void main(String[] args) throws Exception {
        new Demo().play(Path.of("target/gatelock.jar"));
    }

    private void play(Path jar) throws Exception {
        Path directory = Files.createTempDirectory("gatelock-demo");
        int port;
        int window;
        try (ServerSocket one = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                ServerSocket two = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = one.getLocalPort();
            window = two.getLocalPort();
        }
        try (FakeDeployment village = new FakeDeployment(4);
                ControlService control = new ControlService()) {
            Path config = directory.resolve("relay.json");
            Files.writeString(
                    config,
                    village.configuration(Files.readString(Path.of("examples/relay.json")), "127.0.0.1:" + port));
            Path operator = directory.resolve("operator.json");
            Files.writeString(
                    operator,
                    "{\"control\": {\"services\": [\"" + control.address()
                            + "\"], \"holdMs\": 1000},"
                            + " \"listener\": \"127.0.0.1:" + window + "\"}");
            long born = System.currentTimeMillis();
            control.offer(
                    born, "demo", 1, String.format(SOUND, "reads go to zone east, 50 a second", 50, "near", "proven"));
            ProcessBuilder builder = new ProcessBuilder(
                            "java", "-jar", jar.toString(), "serve", "--cold", "--operator", operator.toString())
                    .redirectError(directory.resolve("relay.log").toFile());
            builder.environment().put("PROXY_CONFIG", config.toString());
            Process relay = builder.start();
            try {
                say("a relay with 4 units and a control service; its log is " + directory.resolve("relay.log"));
                while (ask(port, "GET", "/-/ready") != 200) {
                    Thread.sleep(50);
                }
                show(control, born, 1, port, village);
                control.offer(born, "demo", 2, String.format(SOUND, "claims are tried again", 50, "near", "again"));
                show(control, born, 2, port, village);
                control.offer(
                        born, "demo", 3, String.format(SOUND, "reads go everywhere, 10 a second", 10, "all", "proven"));
                show(control, born, 3, port, village);
                control.manner(ControlService.Manner.SILENT);
                say("the control service falls silent");
                traffic(port, village);
                control.manner(ControlService.Manner.USUAL);
                control.offer(born - 1000, "demo", 9, String.format(SOUND, "an old copy", 500, "all", "proven"));
                show(control, born - 1000, 9, port, village);
                say("status: "
                        + new String(URI.create("http://127.0.0.1:" + window + "/status")
                                .toURL()
                                .openStream()
                                .readAllBytes()));
                say(sent + " reqs, answers by status " + answers + ", every one answered");
            } finally {
                relay.destroy();
                relay.waitFor();
            }
        }
    }

    private void show(ControlService control, long born, int number, int port, FakeDeployment village)
            throws Exception {
        Map<String, Object> report = control.report(born + "/" + number);
        say("version " + number + ": "
                + (Boolean.TRUE.equals(report.get("accepted"))
                        ? "in force"
                        : "turned down ("
                                + report.get("answer") + "), " + report.get("version") + " stays"
                                + (report.containsKey("findings") ? ": " + report.get("findings") : "")));
        traffic(port, village);
    }

    private void traffic(int port, FakeDeployment village) throws Exception {
        Map<Integer, Integer> now = new TreeMap<>();
        long[] before = new long[4];
        for (int i = 0; i < 4; i++) {
            before[i] = village.did(i);
        }
        for (int i = 0; i < 100; i++) {
            int status = i % 5 == 0 ? ask(port, "POST", "/claim/" + i) : ask(port, "GET", "/read/" + i);
            now.merge(status, 1, Integer::sum);
            answers.merge("" + status, 1, Integer::sum);
            sent++;
        }
        StringBuilder endpoints = new StringBuilder();
        for (int i = 0; i < 4; i++) {
            endpoints
                    .append(endpoints.length() == 0 ? "" : ", ")
                    .append((char) ('a' + i))
                    .append(' ')
                    .append(village.did(i) - before[i]);
        }
        say("   100 reqs: answers " + now + "; units " + endpoints);
    }

    private int ask(int port, String method, String path) {
        try {
            HttpURLConnection call = (HttpURLConnection)
                    URI.create("http://127.0.0.1:" + port + path).toURL().openConnection();
            call.setRequestMethod(method);
            call.setRequestProperty("X-Trace-Id", "demo-" + sent + "-" + System.nanoTime());
            call.setRequestProperty("X-Customer", "acme");
            if (method.equals("POST")) {
                call.setDoOutput(true);
                call.getOutputStream().write(new byte[] {'x'});
            }
            int status = call.getResponseCode();
            InputStream body = status < 400 ? call.getInputStream() : call.getErrorStream();
            (body == null ? InputStream.nullInputStream() : body).readAllBytes();
            return status;
        } catch (IOException e) {
            return 0;
        }
    }

    private static void say(String line) {
        System.out.println(line);
    }
}
