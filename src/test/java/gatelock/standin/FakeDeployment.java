package gatelock.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins for all peers of a relay with the configuration examples/relay.json: endpoints, discovery and the release
 * controller. They listen on free ports and answer without the test's help.
 */
public final class FakeDeployment implements AutoCloseable {
    private static final long DEFAULT_WORK_MS = 5;
    private static final long HEARTBEAT_MS = 1_000;
    private static final String RELEASED_STATE =
            "{\"release\":1,\"tranche\":0,\"mode\":\"released\",\"exposure\":1.0,\"old_ms\":60000}";

    /**
     * A request that reached an endpoint.
     *
     * @param traceId the id of the request
     * @param atNs time of System.nanoTime
     */
    public record Execution(String traceId, long atNs) {}

    private static final Pattern WORK_MS = Pattern.compile("work_ms=(\\d+)");
    private static final Pattern RESPONSE_BYTES = Pattern.compile("response_bytes=(\\d+)");

    private final Queue<Execution> executions = new ConcurrentLinkedQueue<>();
    private final Queue<String> requestsWithoutId = new ConcurrentLinkedQueue<>();
    private final ExecutorService threads = LoopbackHttpServer.daemonThreads("deployment");
    private final List<HttpServer> servers = new ArrayList<>();
    private final List<HttpServer> endpoints = new ArrayList<>();
    private final List<AtomicLong> requestCounts = new ArrayList<>();
    private final HttpServer discovery;
    private final HttpServer controller;

    /**
     * Starts the given number of endpoints, named a, b, c and so on, alternately in the zones east and west. Each takes
     * 5 ms to answer a request.
     */
    public FakeDeployment(int endpointCount) throws IOException {
        this(endpointCount, DEFAULT_WORK_MS);
    }

    /**
     * Starts endpoints that wait before they answer a request. The parameters {@code work_ms} and {@code
     * response_bytes} of a request's query set its wait and the length of its response.
     *
     * @param workMs the wait of other requests; 0 answers at once
     */
    public FakeDeployment(int endpointCount, long workMs) throws IOException {
        for (int i = 0; i < endpointCount; i++) {
            endpoints.add(startEndpoint(name(i), workMs));
        }
        discovery = start();
        discovery.createContext("/api/targets", this::answerDiscovery);
        controller = start();
        controller.createContext(
                "/v2/projects/main/judgements", call -> LoopbackHttpServer.respond(call, RELEASED_STATE));
        controller.createContext("/v2/projects/main/changes", FakeDeployment::streamReleaseState);
    }

    private HttpServer start() throws IOException {
        HttpServer server = LoopbackHttpServer.start(threads);
        servers.add(server);
        return server;
    }

    private HttpServer startEndpoint(String name, long workMs) throws IOException {
        AtomicLong requestCount = new AtomicLong();
        requestCounts.add(requestCount);
        HttpServer endpoint = start();
        endpoint.createContext("/", call -> {
            call.getRequestBody().readAllBytes();
            record(name, call);
            String query = String.valueOf(call.getRequestURI().getQuery());
            sleep(parameter(WORK_MS, query, workMs));
            requestCount.incrementAndGet();
            String response = "unit " + name + " did " + call.getRequestMethod() + " " + call.getRequestURI() + "\n";
            int padding = (int) parameter(RESPONSE_BYTES, query, response.length()) - response.length();
            LoopbackHttpServer.respond(call, response + "x".repeat(Math.max(0, padding)));
        });
        return endpoint;
    }

    /** Records a request with its id, or all that is known of one without an id, which no client of a test sends. */
    private void record(String name, HttpExchange call) {
        String traceId = call.getRequestHeaders().getFirst("X-Trace-Id");
        if (traceId == null) {
            requestsWithoutId.add(String.format(
                    "%s at %s (%s) from %s, headers %s",
                    call.getRequestMethod() + " " + call.getRequestURI(),
                    name,
                    call.getLocalAddress(),
                    call.getRemoteAddress(),
                    call.getRequestHeaders().entrySet()));
        } else {
            executions.add(new Execution(traceId, System.nanoTime()));
        }
    }

    private static long parameter(Pattern pattern, String query, long absent) {
        Matcher parameter = pattern.matcher(query);
        return parameter.find() ? Long.parseLong(parameter.group(1)) : absent;
    }

    /** Answers a call for the full list at once, and a long poll with an empty change when its hold time ends. */
    private void answerDiscovery(HttpExchange call) throws IOException {
        String query = call.getRequestURI().getQuery();
        if (query == null) {
            LoopbackHttpServer.respond(call, "{\"index\":1,\"snapshot\":true,\"endpoints\":" + entries() + "}");
        } else {
            sleep(Long.parseLong(query.replaceAll(".*hold_ms=", "")));
            LoopbackHttpServer.respond(call, "{\"index\":1,\"snapshot\":false,\"endpoints\":[]}");
        }
    }

    private static void streamReleaseState(HttpExchange call) throws IOException {
        call.sendResponseHeaders(200, 0);
        try (OutputStream out = call.getResponseBody()) {
            out.write(("{\"type\":\"news\",\"object\":" + RELEASED_STATE + "}\n").getBytes(StandardCharsets.US_ASCII));
            while (true) {
                out.flush();
                sleep(HEARTBEAT_MS);
                out.write("{}\n".getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    private static String name(int endpoint) {
        return "" + (char) ('a' + endpoint);
    }

    /** Returns the host and port on which an endpoint listens. */
    public String address(int endpoint) {
        return LoopbackHttpServer.address(endpoints.get(endpoint));
    }

    /** Returns all requests that have reached any endpoint. */
    public Queue<Execution> executions() {
        return executions;
    }

    /** Returns what is known of the requests that have reached any endpoint without an id. */
    public Queue<String> requestsWithoutId() {
        return requestsWithoutId;
    }

    /** Returns the number of requests that an endpoint has served. */
    public long requestCount(int endpoint) {
        return requestCounts.get(endpoint).get();
    }

    /**
     * Returns the example configuration with the addresses and endpoints of this deployment and the zones
     * east and west.
     *
     * @param example text of examples/relay.json
     * @param listen address on which the relay listens
     */
    public String configuration(String example, String listen) {
        String known = "{\"index\": 1, \"snapshot\": true, \"endpoints\": " + entries() + "},\n  \"settings\"";
        return example.replace("127.0.0.1:8480", listen)
                .replace("127.0.0.1:8500", LoopbackHttpServer.address(discovery))
                .replace("127.0.0.1:8501", LoopbackHttpServer.address(controller))
                .replace("\"zones\": [\"east\"]", "\"zones\": [\"east\", \"west\"]")
                .replaceFirst("(?s)\\{\"index\".*?\\]\\},\\s*\"settings\"", known);
    }

    private String entries() {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < endpoints.size(); i++) {
            entries.add(String.format(
                    "{\"name\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"type\":\"small\",\"group\":0,"
                            + "\"status\":\"in_service\",\"weight\":1.0,\"since_ms\":0,\"image_id\":1}",
                    name(i), address(i), i % 2 == 0 ? "east" : "west"));
        }
        return entries.toString();
    }

    private static void sleep(long ms) {
        try {
            if (ms > 0) {
                Thread.sleep(ms);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        servers.forEach(server -> server.stop(0));
        threads.shutdownNow();
    }
}
