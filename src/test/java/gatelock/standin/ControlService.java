package gatelock.standin;

import com.fasterxml.jackson.jr.ob.JSON;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A control service: holds one version, hands it to whoever holds another, and notes all that relays tell it.
 */
public final class ControlService implements AutoCloseable {
    /** How it serves a call. */
    public enum Manner {
        /** A later version at once, or when there is one; 204 when the hold is over. */
        USUAL,
        /** No answer at all. */
        SILENT,
        /** Its version whatever the relay holds. */
        STUBBORN,
        /** Half of a version, then the connection ends. */
        CUT,
        /** 204 at once, whatever hold was asked for. */
        HASTY,
        /** A version whose hash is another's. */
        DAMAGED,
        /** 500. */
        FAILING
    }

    private static final class Version {
        private final long born;
        private final String id;
        private final long number;
        private final byte[] text;

        Version(long born, String id, long number, byte[] text) {
            this.born = born;
            this.id = id;
            this.number = number;
            this.text = text;
        }
    }

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "control service");
        thread.setDaemon(true);
        return thread;
    });
    private final BlockingQueue<Map<String, Object>> reports = new LinkedBlockingQueue<>();
    private Version version;
    private Manner manner = Manner.USUAL;
    private int calls;
    private boolean closed;

    public ControlService() throws IOException {
        this(0);
    }

    /** On a port of loopback; 0: any that is free. */
    public ControlService(int port) throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 100);
        server.setExecutor(threads);
        server.createContext("/v1/plans", this::handle);
        server.start();
    }

    public String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** From now on this is the version to be had. */
    public synchronized void offer(long born, String id, long number, String text) {
        version = new Version(born, id, number, text.getBytes(StandardCharsets.UTF_8));
        notifyAll();
    }

    public synchronized void manner(Manner manner) {
        this.manner = manner;
        notifyAll();
    }

    public synchronized int calls() {
        return calls;
    }

    /** The next call that told what came of a version. */
    public Map<String, Object> report() throws InterruptedException {
        Map<String, Object> report = reports.poll(20, TimeUnit.SECONDS);
        if (report == null) {
            throw new AssertionError("no relay told anything");
        }
        return report;
    }

    /** Waits for the report on that nonce. */
    public Map<String, Object> report(String nonce) throws InterruptedException {
        Map<String, Object> report = report();
        while (!nonce.equals(report.get("nonce"))) {
            report = report();
        }
        return report;
    }

    private void handle(HttpExchange call) throws IOException {
        Map<String, Object> said = JSON.std.mapFrom(call.getRequestBody().readAllBytes());
        if (said.containsKey("nonce")) {
            reports.add(said);
        }
        Version answer;
        Manner how;
        synchronized (this) {
            calls++;
            try {
                answer = await(said);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            how = manner;
        }
        if (how == Manner.FAILING) {
            call.sendResponseHeaders(500, -1);
        } else if (answer == null) {
            call.sendResponseHeaders(204, -1);
        } else {
            send(call, answer, how);
        }
        call.close();
    }

    private Version await(Map<String, Object> said) throws InterruptedException {
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(((Number) said.get("hold_ms")).longValue());
        while (!closed) {
            long leftMs = TimeUnit.NANOSECONDS.toMillis(untilNs - System.nanoTime());
            boolean later = version != null
                    && (!(version.born + "-" + version.id).equals(said.get("epoch"))
                            || version.number > ((Number) said.get("version")).longValue());
            switch (manner) {
                case SILENT -> wait();
                case STUBBORN, CUT, DAMAGED -> {
                    return version;
                }
                case HASTY, FAILING -> {
                    return null;
                }
                case USUAL -> {
                    if (later || leftMs <= 0) {
                        return later ? version : null;
                    }
                    wait(leftMs);
                }
            }
        }
        return null;
    }

    private static void send(HttpExchange call, Version v, Manner how) throws IOException {
        call.getResponseHeaders().set("X-Plan-Epoch-Born", "" + v.born);
        call.getResponseHeaders().set("X-Plan-Epoch-Id", v.id);
        call.getResponseHeaders().set("X-Plan-Version", "" + v.number);
        call.getResponseHeaders().set("X-Plan-Nonce", v.born + "/" + v.number);
        if (how == Manner.DAMAGED) {
            call.getResponseHeaders().set("X-Plan-Hash", "0".repeat(64));
        }
        call.sendResponseHeaders(200, v.text.length);
        try (OutputStream out = call.getResponseBody()) {
            out.write(v.text, 0, how == Manner.CUT ? v.text.length / 2 : v.text.length);
            out.flush();
        }
    }

    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        server.stop(0);
        threads.shutdownNow();
    }
}
