package gatelock.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/**
 * All that a relay of examples/relay.json speaks to, on free ports: units that take 5 ms, discovery, the
 * release desk.
 */
public final class Village implements AutoCloseable {
    private static final String NEWS =
        "{\"release\":1,\"tranche\":0,\"mode\":\"released\",\"exposure\":1.0,\"old_ms\":60000}";

    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "village");
        thread.setDaemon(true);
        return thread;
    });
    private final List<HttpServer> servers = new ArrayList<>();
    private final List<HttpServer> units = new ArrayList<>();
    private final AtomicLong[] did;
    private final HttpServer discovery;
    private final HttpServer desk;

    /** As many units, named a, b, c and so on, by turns in zone east and west. */
    public Village(int howMany) throws IOException {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        did = new AtomicLong[howMany];
        for (int i = 0; i < howMany; i++) {
            AtomicLong mine = new AtomicLong();
            did[i] = mine;
            HttpServer unit = server();
            String name = name(i);
            unit.createContext("/", call -> {
                call.getRequestBody().readAllBytes();
                sleep(5);
                mine.incrementAndGet();
                answer(call, "unit " + name + " did " + call.getRequestMethod() + " " + call.getRequestURI()
                    + "\n");
            });
            units.add(unit);
        }
        discovery = server();
        discovery.createContext("/api/targets", call -> {
            String query = call.getRequestURI().getQuery();
            if (query != null) {
                sleep(Long.parseLong(query.replaceAll(".*hold_ms=", "")));
            }
            answer(call, query == null ? list() : "{\"index\":1,\"snapshot\":false,\"endpoints\":[]}");
        });
        desk = server();
        desk.createContext("/v2/projects/main/judgements", call -> answer(call, NEWS));
        desk.createContext("/v2/projects/main/changes", call -> {
            call.sendResponseHeaders(200, 0);
            try (OutputStream out = call.getResponseBody()) {
                out.write(("{\"type\":\"news\",\"object\":" + NEWS + "}\n")
                    .getBytes(StandardCharsets.US_ASCII));
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

    /** How many reqs a unit has done. */
    public long did(int unit) {
        return did[unit].get();
    }

    /** The example's configuration with this village's addresses, two zones, and the relay's own address. */
    public String configuration(String example, String listen) {
        String known = "{\"index\": 1, \"snapshot\": true, \"endpoints\": " + entries()
            + "},\n  \"settings\"";
        return example.replace("127.0.0.1:8480", listen).replace("127.0.0.1:8500", at(discovery))
            .replace("127.0.0.1:8501", at(desk)).replace("\"zones\": [\"east\"]",
            "\"zones\": [\"east\", \"west\"]")
            .replaceFirst("(?s)\\{\"index\".*?\\]\\},\\s*\"settings\"", known);
    }

    private String list() {
        return "{\"index\":1,\"snapshot\":true,\"endpoints\":" + entries() + "}";
    }

    private String entries() {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < units.size(); i++) {
            entries.add(String.format("{\"name\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"type\":\"small\",\"group\":0,"
                + "\"status\":\"in_service\",\"weight\":1.0,\"since_ms\":0,\"image_id\":1}", name(i),
                at(units.get(i)),
                i % 2 == 0 ? "east" : "west"));
        }
        return entries.toString();
    }

    private static String at(HttpServer server) {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private HttpServer server() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            100);
        server.setExecutor(threads);
        server.start();
        servers.add(server);
        return server;
    }

    private static void answer(HttpExchange call, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        call.sendResponseHeaders(200, bytes.length);
        try (OutputStream out = call.getResponseBody()) {
            out.write(bytes);
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
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
