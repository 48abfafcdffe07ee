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

/** Helpers for the stand-ins that use the JDK's HTTP server. */
final class LoopbackHttpServer {
    private static final int BACKLOG = 100;

    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    private LoopbackHttpServer() {}

    /** Returns an executor of daemon threads with this name. */
    static ExecutorService daemonThreads(String name) {
        return Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Starts a server on a free port on loopback. */
    static HttpServer start(ExecutorService threads) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        server.setExecutor(threads);
        server.start();
        return server;
    }

    /** Returns the host and port on which a server listens. */
    static String address(HttpServer server) {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Answers a call with status 200. */
    static void respond(HttpExchange call, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        call.sendResponseHeaders(200, bytes.length);
        try (OutputStream out = call.getResponseBody()) {
            out.write(bytes);
        }
    }
}
