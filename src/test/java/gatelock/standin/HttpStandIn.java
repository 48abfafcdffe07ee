package gatelock.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** What the stand-ins that speak HTTP share: listeners on loopback, answers. */
final class HttpStandIn {
    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    private HttpStandIn() {}

    static ExecutorService threads(String name) {
        return Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
    }

    /** A listener on a free port. */
    static HttpServer server(ExecutorService threads) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 100);
        server.setExecutor(threads);
        server.start();
        return server;
    }

    static String at(HttpServer server) {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    static void answer(HttpExchange call, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        call.sendResponseHeaders(200, bytes.length);
        try (OutputStream out = call.getResponseBody()) {
            out.write(bytes);
        }
    }
}
