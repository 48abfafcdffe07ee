package gatelock.standin;

import com.fasterxml.jackson.jr.ob.JSON;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A stand-in for the control service: sends one configuration version to relays that poll and queues their reports. */
public final class ControlService implements AutoCloseable {
    private static final int REPORT_TIMEOUT_S = 20;

    /** How the service answers a poll. */
    public enum Behavior {
        /** Answers with a later version as soon as there is one, or with 204 when the hold time of the poll ends. */
        NORMAL,
        /** Does not answer. */
        SILENT,
        /** Answers with the version even if the relay has it already. */
        REPEATS_VERSION,
        /** Sends half of the version, then closes the connection. */
        TRUNCATES,
        /** Answers with 204 at once, whatever hold time the poll requests. */
        IGNORES_HOLD,
        /** Answers with the version and a wrong hash. */
        WRONG_HASH,
        /** Answers with 500. */
        FAILS
    }

    /** A configuration version. Its epoch is identified by a start time and an id. */
    private record Version(long epochStart, String epochId, long number, String text) {
        boolean isLaterThan(Map<String, Object> poll) {
            return !(epochStart + "-" + epochId).equals(poll.get("epoch"))
                    || number > ((Number) poll.get("version")).longValue();
        }
    }

    private final ExecutorService threads = LoopbackHttpServer.daemonThreads("control service");
    private final HttpServer server;
    private final BlockingQueue<Map<String, Object>> reports = new LinkedBlockingQueue<>();
    private Version version;
    private Behavior behavior = Behavior.NORMAL;
    private int pollCount;
    private boolean closed;

    /** Starts a service that has no version yet. */
    public ControlService() throws IOException {
        server = LoopbackHttpServer.start(threads);
        server.createContext("/v1/plans", this::handle);
    }

    /** Returns the host and port on which the service listens. */
    public String address() {
        return LoopbackHttpServer.address(server);
    }

    /** Replaces the version that is sent to relays. */
    public synchronized void publish(long epochStart, String epochId, long number, String text) {
        version = new Version(epochStart, epochId, number, text);
        notifyAll();
    }

    /** Sets how polls are answered from now on, including polls that are on hold. */
    public synchronized void setBehavior(Behavior newBehavior) {
        behavior = newBehavior;
        notifyAll();
    }

    /** Returns the number of polls so far. */
    public synchronized int pollCount() {
        return pollCount;
    }

    /** Returns the next report of a relay on a version; fails if none arrives within 20 s. */
    public Map<String, Object> awaitReport() throws InterruptedException {
        Map<String, Object> report = reports.poll(REPORT_TIMEOUT_S, TimeUnit.SECONDS);
        if (report == null) {
            throw new AssertionError("expected a report within 20 s");
        }
        return report;
    }

    /**
     * Returns the next report on the version with this nonce and drops the reports before it.
     *
     * @param nonce {@code EPOCH_START/NUMBER}
     */
    public Map<String, Object> awaitReport(String nonce) throws InterruptedException {
        Map<String, Object> report = awaitReport();
        while (!nonce.equals(report.get("nonce"))) {
            report = awaitReport();
        }
        return report;
    }

    private void handle(HttpExchange call) throws IOException {
        Map<String, Object> poll = JSON.std.mapFrom(call.getRequestBody().readAllBytes());
        if (poll.containsKey("nonce")) {
            reports.add(poll);
        }
        Version answer;
        Behavior currentBehavior;
        synchronized (this) {
            pollCount++;
            try {
                answer = awaitAnswer(poll);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            currentBehavior = behavior;
        }
        if (currentBehavior == Behavior.FAILS) {
            call.sendResponseHeaders(500, -1);
        } else if (answer == null) {
            call.sendResponseHeaders(204, -1);
        } else {
            send(call, answer, currentBehavior);
        }
        call.close();
    }

    /** Waits as the current behavior requires, then returns the version to send, or null for none. */
    private synchronized Version awaitAnswer(Map<String, Object> poll) throws InterruptedException {
        long holdMs = ((Number) poll.get("hold_ms")).longValue();
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(holdMs);
        while (!closed) {
            long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime());
            switch (behavior) {
                case SILENT -> wait();
                case REPEATS_VERSION, TRUNCATES, WRONG_HASH -> {
                    return version;
                }
                case IGNORES_HOLD, FAILS -> {
                    return null;
                }
                case NORMAL -> {
                    boolean later = version != null && version.isLaterThan(poll);
                    if (later || remainingMs <= 0) {
                        return later ? version : null;
                    }
                    wait(remainingMs);
                }
            }
        }
        return null;
    }

    private static void send(HttpExchange call, Version version, Behavior sendBehavior) throws IOException {
        call.getResponseHeaders().set("X-Plan-Epoch-Born", "" + version.epochStart);
        call.getResponseHeaders().set("X-Plan-Epoch-Id", version.epochId);
        call.getResponseHeaders().set("X-Plan-Version", "" + version.number);
        call.getResponseHeaders().set("X-Plan-Nonce", version.epochStart + "/" + version.number);
        if (sendBehavior == Behavior.WRONG_HASH) {
            call.getResponseHeaders().set("X-Plan-Hash", "0".repeat(64));
        }
        byte[] body = version.text.getBytes(StandardCharsets.UTF_8);
        call.sendResponseHeaders(200, body.length);
        try (OutputStream out = call.getResponseBody()) {
            out.write(body, 0, sendBehavior == Behavior.TRUNCATES ? body.length / 2 : body.length);
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
