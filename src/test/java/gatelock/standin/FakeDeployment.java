package gatelock.standin;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicLong;

/**
 * All that a relay of examples/relay.json speaks to, on free ports: endpoints that take 5 ms if nothing else is said,
 * discovery, the release controller.
 */
public final class FakeDeployment implements AutoCloseable {
    private static final String NEWS =
            "{\"release\":1,\"tranche\":0,\"mode\":\"released\",\"exposure\":1.0,\"old_ms\":60000}";

    private final ExecutorService threads = HttpStandIn.threads("village");
    private final List<HttpServer> servers = new ArrayList<>();
    private final List<HttpServer> endpoints = new ArrayList<>();
    private final AtomicLong[] did;
    private final HttpServer discovery;
    private final HttpServer controller;

    /** As many endpoints, named a, b, c and so on, by turns in zone east and west. */
    public FakeDeployment(int howMany) throws IOException {
        this(howMany, 5);
    }

    /** The same with endpoints that take so long; 0: as long as they need to answer. */
    public FakeDeployment(int howMany, long workMs) throws IOException {
        did = new AtomicLong[howMany];
        for (int i = 0; i < howMany; i++) {
            AtomicLong mine = new AtomicLong();
            did[i] = mine;
            HttpServer endpoint = server();
            String name = name(i);
            endpoint.createContext("/", call -> {
                call.getRequestBody().readAllBytes();
                sleep(workMs);
                mine.incrementAndGet();
                HttpStandIn.answer(
                        call, "unit " + name + " did " + call.getRequestMethod() + " " + call.getRequestURI() + "\n");
            });
            endpoints.add(endpoint);
        }
        discovery = server();
        discovery.createContext("/api/targets", call -> {
            String query = call.getRequestURI().getQuery();
            if (query != null) {
                sleep(Long.parseLong(query.replaceAll(".*hold_ms=", "")));
            }
            HttpStandIn.answer(call, query == null ? list() : "{\"index\":1,\"snapshot\":false,\"endpoints\":[]}");
        });
        controller = server();
        controller.createContext("/v2/projects/main/judgements", call -> HttpStandIn.answer(call, NEWS));
        controller.createContext("/v2/projects/main/changes", call -> {
            call.sendResponseHeaders(200, 0);
            try (OutputStream out = call.getResponseBody()) {
                out.write(("{\"type\":\"news\",\"object\":" + NEWS + "}\n").getBytes(StandardCharsets.US_ASCII));
                while (true) {
                    out.flush();
                    sleep(1000);
                    out.write("{}\n".getBytes(StandardCharsets.US_ASCII));
                }
            }
        });
    }

    private static String name(int i) {
        return "" + (char) ('a' + i);
    }

    /** Where an endpoint is to be reached. */
    public String address(int endpoint) {
        return HttpStandIn.at(endpoints.get(endpoint));
    }

    /** How many requests an endpoint has done. */
    public long did(int endpoint) {
        return did[endpoint].get();
    }

    /** The example's configuration with this village's addresses, two zones, and the relay's own address. */
    public String configuration(String example, String listen) {
        String known = "{\"index\": 1, \"snapshot\": true, \"endpoints\": " + entries() + "},\n  \"settings\"";
        return example.replace("127.0.0.1:8480", listen)
                .replace("127.0.0.1:8500", HttpStandIn.at(discovery))
                .replace("127.0.0.1:8501", HttpStandIn.at(controller))
                .replace("\"zones\": [\"east\"]", "\"zones\": [\"east\", \"west\"]")
                .replaceFirst("(?s)\\{\"index\".*?\\]\\},\\s*\"settings\"", known);
    }

    private String list() {
        return "{\"index\":1,\"snapshot\":true,\"endpoints\":" + entries() + "}";
    }

    private String entries() {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < endpoints.size(); i++) {
            entries.add(String.format(
                    "{\"name\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"type\":\"small\",\"group\":0,"
                            + "\"status\":\"in_service\",\"weight\":1.0,\"since_ms\":0,\"image_id\":1}",
                    name(i), HttpStandIn.at(endpoints.get(i)), i % 2 == 0 ? "east" : "west"));
        }
        return entries.toString();
    }

    private HttpServer server() throws IOException {
        HttpServer server = HttpStandIn.server(threads);
        servers.add(server);
        return server;
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
        servers.forEach(s -> s.stop(0));
        threads.shutdownNow();
    }
}
