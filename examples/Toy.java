import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

/**
 * All that a relay speaks to, for trying it out on one machine: two units, discovery and the release desk.
 * Start it with {@code java examples/Toy.java}; examples/relay.json names the same addresses.
 */
public final class Toy {
    private static final String NEWS =
        "{\"release\":1,\"tranche\":0,\"mode\":\"released\",\"exposure\":1.0,\"old_ms\":60000}";

    private Toy() {
    }

    public static void main(String[] args) throws IOException {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        unit("a", 8481);
        unit("b", 8482);
        HttpServer discovery = server(8500);
        discovery.createContext("/api/targets", call -> {
            String query = call.getRequestURI().getQuery();
            if (query == null) {
                answer(call, 200, list());
            } else {
                sleep(Long.parseLong(query.replaceAll(".*hold_ms=", "")));
                answer(call, 200, "{\"index\":1,\"snapshot\":false,\"endpoints\":[]}");
            }
        });
        HttpServer desk = server(8501);
        desk.createContext("/v2/projects/main/judgements", call -> answer(call, 200, NEWS));
        desk.createContext("/v2/projects/main/changes", call -> {
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
        System.out.println("units on 8481 and 8482, discovery on 8500, release desk on 8501");
    }

    private static String list() {
        String entry = "{\"name\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"east\",\"type\":\"small\",\"group\":0,"
            + "\"status\":\"in_service\",\"weight\":1.0,\"since_ms\":0,\"image_id\":1}";
        return "{\"index\":1,\"snapshot\":true,\"endpoints\":[" + String.format(entry, "a", 8481) + ","
            + String.format(entry, "b", 8482) + "]}";
    }

    private static void unit(String name, int port) throws IOException {
        server(port).createContext("/", call -> {
            call.getRequestBody().readAllBytes();
            sleep(5);
            answer(call, 200, "unit " + name + " did " + call.getRequestMethod() + " " + call.getRequestURI() + "\n");
        });
    }

    private static HttpServer server(int port) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 100);
        server.setExecutor(Executors.newCachedThreadPool());
        server.start();
        return server;
    }

    private static void answer(HttpExchange call, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        call.sendResponseHeaders(status, bytes.length);
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
}
