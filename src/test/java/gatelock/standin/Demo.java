package gatelock.standin;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Demonstrates how a running relay takes over configuration versions while it serves requests. Starts the built program
 * with stand-ins for endpoints, discovery, the release controller and the control service. Run by {@code make demo}.
 */
public final class Demo implements AutoCloseable {
    private static final int ENDPOINTS = 4;
    private static final int REQUESTS = 100;

    private final FakeDeployment deployment = new FakeDeployment(ENDPOINTS);
    private final ControlService control = new ControlService();
    private final Map<Integer, Integer> responsesByStatus = new TreeMap<>();
    private final long epochStart = System.currentTimeMillis();
    private final int port;
    private final int adminPort;
    private int requestCount;

    private Demo() throws IOException {
        int[] ports = RelayProcess.freePorts(2);
        port = ports[0];
        adminPort = ports[1];
    }

    /** Runs the demonstration; takes no arguments. */
    public static void main(String[] args) throws Exception {
        try (Demo demo = new Demo()) {
            demo.run();
        }
    }

    private void run() throws Exception {
        Path directory = Files.createTempDirectory("gatelock-demo");
        Path operator = directory.resolve("operator.json");
        Files.writeString(
                operator,
                "{\"control\": {\"services\": [\"" + control.address()
                        + "\"], \"holdMs\": 1000}, \"listener\": \"127.0.0.1:" + adminPort + "\"}");
        publish(epochStart, 1, "reads go to zone east, 50 a second", 50, "near", "proven");
        String configuration =
                deployment.configuration(Files.readString(Path.of("examples/relay.json")), "127.0.0.1:" + port);
        List<String> arguments = List.of("--cold", "--operator", operator.toString());
        try (RelayProcess relay = RelayProcess.start(directory, port, configuration, List.of(), arguments)) {
            print("a relay with 4 endpoints and a control service; the log of the relay is " + relay.logFile());
            while (sendRequest("GET", "/-/ready") != 200) {
                Thread.sleep(50);
            }
            runVersions();
            print("status: " + status());
            print(requestCount + " requests, responses by status " + responsesByStatus + " (status 0: no response)");
            relay.stop();
        }
    }

    private void runVersions() throws InterruptedException {
        showReport(epochStart, 1);
        publish(epochStart, 2, "claims are tried again", 50, "near", "again");
        showReport(epochStart, 2);
        publish(epochStart, 3, "reads go everywhere, 10 a second", 10, "all", "proven");
        showReport(epochStart, 3);
        control.setBehavior(ControlService.Behavior.SILENT);
        print("the control service stops answering polls");
        showTraffic();
        control.setBehavior(ControlService.Behavior.NORMAL);
        publish(epochStart - 1000, 9, "an old copy", 500, "all", "proven");
        showReport(epochStart - 1000, 9);
    }

    private void publish(long epoch, int number, String note, int readsPerS, String pool, String retries) {
        control.publish(epoch, "demo", number, String.format("""
        {"format": 1, "by": "demo", "note": "%s", "unmatched": "refuse",
         "pools": {"near": {"zones": ["east"], "fallback": "all", "leastShare": 0.5}, "all": {}},
         "limits": {"reads": {"per": "tenant", "ratePerS": %s, "burst": 5, "queue": {"length": 20, "waitMs": 100}}},
         "retries": {"proven": {"tries": 2}, "again": {"tries": 3, "after": ["errored", "timed-out"]}},
         "routes": [{"name": "reads", "path": "/read", "class": "read", "pool": "%s", "limits": ["reads"], "retries": "again"},
          {"name": "claims", "path": "/claim", "class": "claim", "retries": "%s"}]}
        """, note, readsPerS, pool, retries));
    }

    /** Prints the relay's report on a version, then the results of 100 requests. */
    private void showReport(long epoch, int number) throws InterruptedException {
        Map<String, Object> report = control.awaitReport(epoch + "/" + number);
        if (Boolean.TRUE.equals(report.get("accepted"))) {
            print("version " + number + ": in force");
        } else {
            String findings = report.containsKey("findings") ? ": " + report.get("findings") : "";
            print("version " + number + ": rejected (" + report.get("answer") + "), " + report.get("version")
                    + " stays in force" + findings);
        }
        showTraffic();
    }

    private void showTraffic() {
        Map<Integer, Integer> statuses = new TreeMap<>();
        long[] countsBefore = new long[ENDPOINTS];
        for (int i = 0; i < ENDPOINTS; i++) {
            countsBefore[i] = deployment.requestCount(i);
        }
        for (int i = 0; i < REQUESTS; i++) {
            int status = i % 5 == 0 ? sendRequest("POST", "/claim/" + i) : sendRequest("GET", "/read/" + i);
            statuses.merge(status, 1, Integer::sum);
            responsesByStatus.merge(status, 1, Integer::sum);
            requestCount++;
        }
        StringBuilder endpoints = new StringBuilder();
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints
                    .append(endpoints.length() == 0 ? "" : ", ")
                    .append((char) ('a' + i))
                    .append(' ')
                    .append(deployment.requestCount(i) - countsBefore[i]);
        }
        print("   100 requests: responses by status " + statuses + "; requests by endpoint " + endpoints);
    }

    /** Sends a request; returns the status of its response, or 0 if there was none. */
    private int sendRequest(String method, String path) {
        try {
            HttpURLConnection call = (HttpURLConnection)
                    URI.create("http://127.0.0.1:" + port + path).toURL().openConnection();
            call.setRequestMethod(method);
            call.setRequestProperty("X-Trace-Id", "demo-" + requestCount + "-" + System.nanoTime());
            call.setRequestProperty("X-Customer", "acme");
            if (method.equals("POST")) {
                call.setDoOutput(true);
                call.getOutputStream().write(new byte[] {'x'});
            }
            int status = call.getResponseCode();
            InputStream body = status < 400 ? call.getInputStream() : call.getErrorStream();
            if (body != null) {
                body.readAllBytes();
            }
            return status;
        } catch (IOException e) {
            return 0;
        }
    }

    private String status() throws IOException {
        URI uri = URI.create("http://127.0.0.1:" + adminPort + "/status");
        try (InputStream body = uri.toURL().openStream()) {
            return new String(body.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static void print(String line) {
        System.out.println(line);
    }

    @Override
    public void close() {
        deployment.close();
        control.close();
    }
}
