package gatelock.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.IntFunction;

/**
 * A discovery with a list of any length. Only the entries that changed are stored; the others are computed each time they
 * are written. Each relay has an address of its own, as of the agent on its machine, so that a watch from an index shows
 * that this relay has the list of that index.
 */
public final class LongListDiscovery implements AutoCloseable {
    private static final String HEAD = "{\"index\":%d,\"snapshot\":%b,\"endpoints\":[";

    private static final String END = "]}";
    private static final int BUFFER_BYTES = 64 * 1024;

    /** An entry that is not as it was at the start; one that is not listed was removed. */
    private record Changed(long index, String text, boolean listed) {}

    private final ExecutorService threads = LoopbackHttpServer.daemonThreads("discovery");
    private final List<HttpServer> servers = new ArrayList<>();
    private final int size;
    private final IntFunction<String> entries;
    private final long sizeBytes;
    /** By the number of the entry; those from the first size on were added later. */
    private final TreeMap<Integer, Changed> changed = new TreeMap<>();

    /** By relay and index: when the relay first watched from that index, by System.nanoTime. */
    private final Map<String, Map<Long, Long>> watchedSinceNs = new HashMap<>();

    private long index = 1;
    private long wholes;
    private long watches;
    private long brokenOff;
    private final LongAdder bytesOut = new LongAdder();
    private boolean closed;

    /**
     * Creates a discovery that listens nowhere yet.
     *
     * @param entries the text of each entry as it is at the start, a JSON object in ASCII
     */
    public LongListDiscovery(int size, IntFunction<String> entries) {
        this.size = size;
        this.entries = entries;
        long bytes = 0;
        for (int i = 0; i < size; i++) {
            bytes += entries.apply(i).length() + 1;
        }
        sizeBytes = bytes;
    }

    /** Returns an entry as the platform has them, about 190 bytes with the field that names its service. */
    public static String entry(
            int number, String address, String zone, String service, String status, long sinceMs, int build) {
        return "{\"name\":\"" + name(number) + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"type\":\"small\",\"group\":" + number % 10 + ",\"status\":\"" + status
                + "\",\"weight\":1.0,\"since_ms\":" + sinceMs + ",\"image_id\":" + build
                + (service == null ? "" : ",\"service\":\"" + service + "\"") + "}";
    }

    /** Returns the name of an entry. */
    public static String name(int number) {
        return String.format("s-%08x", number * 0x9E3779B1);
    }

    /** Returns an address at which one more relay finds the list. */
    public synchronized String address(String relay) throws IOException {
        HttpServer server = LoopbackHttpServer.start(threads);
        server.createContext("/api/targets", call -> handle(relay, call));
        servers.add(server);
        return LoopbackHttpServer.address(server);
    }

    /** Replaces an entry, or adds one; returns the index of the change. */
    public synchronized long replace(int number, String text) {
        return changed(number, text, true);
    }

    /** Removes an entry: watches get it once more, with its last status. Returns the index of the change. */
    public synchronized long remove(int number, String text) {
        return changed(number, text, false);
    }

    private long changed(int number, String text, boolean listed) {
        changed.put(number, new Changed(++index, text, listed));
        notifyAll();
        return index;
    }

    private void handle(String relay, HttpExchange call) throws IOException {
        String query = call.getRequestURI().getQuery();
        try {
            if (query == null) {
                whole(call);
            } else {
                watch(
                        relay,
                        call,
                        Long.parseLong(query.replaceAll(".*from=(\\d+).*", "$1")),
                        Long.parseLong(query.replaceAll(".*hold_ms=(\\d+).*", "$1")));
            }
        } catch (IOException e) {
            synchronized (this) {
                brokenOff++;
            }
            call.close();
        }
    }

    private void whole(HttpExchange call) throws IOException {
        TreeMap<Integer, Changed> now;
        String head;
        synchronized (this) {
            wholes++;
            now = new TreeMap<>(changed);
            head = String.format(HEAD, index, true);
        }
        // Each entry counts with the comma before the next one; the last has none.
        long bytes = sizeBytes;
        for (Map.Entry<Integer, Changed> e : now.entrySet()) {
            bytes -= e.getKey() < size ? entries.apply(e.getKey()).length() + 1 : 0;
            bytes += e.getValue().listed ? e.getValue().text.length() + 1 : 0;
        }
        call.sendResponseHeaders(200, head.length() + Math.max(0, bytes - 1) + END.length());
        OutputStream out = new BufferedOutputStream(call.getResponseBody(), BUFFER_BYTES);
        write(out, head);
        String comma = "";
        int last = now.isEmpty() ? size : Math.max(size, now.lastKey() + 1);
        for (int i = 0; i < last; i++) {
            Changed other = now.get(i);
            boolean listed = other == null ? i < size : other.listed;
            if (listed) {
                write(out, comma);
                write(out, other == null ? entries.apply(i) : other.text);
                comma = ",";
            }
        }
        write(out, END);
        out.close();
    }

    private void watch(String relay, HttpExchange call, long from, long holdMs) throws IOException {
        String answer;
        try {
            answer = changes(relay, from, holdMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            call.close();
            return;
        }
        if (answer == null) {
            whole(call);
            return;
        }
        call.sendResponseHeaders(200, answer.length());
        OutputStream out = call.getResponseBody();
        write(out, answer);
        out.close();
    }

    /** Waits for a change after an index, or until the hold is over; returns the answer, or null if the index is not ours. */
    private synchronized String changes(String relay, long from, long holdMs) throws InterruptedException {
        watches++;
        watchedSinceNs.computeIfAbsent(relay, r -> new LinkedHashMap<>()).putIfAbsent(from, System.nanoTime());
        notifyAll();
        if (from > index) {
            return null;
        }
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(holdMs);
        for (long leftNs = endNs - System.nanoTime();
                index == from && leftNs > 0 && !closed;
                leftNs = endNs - System.nanoTime()) {
            TimeUnit.NANOSECONDS.timedWait(this, leftNs);
        }
        StringBuilder text = new StringBuilder(String.format(HEAD, index, false));
        String comma = "";
        for (Changed change : changed.values()) {
            if (change.index > from) {
                text.append(comma).append(change.text);
                comma = ",";
            }
        }
        return text.append(END).toString();
    }

    private void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        bytesOut.add(text.length());
    }

    /** Returns since when each relay that has this index or a later one has it, by System.nanoTime. */
    public synchronized Map<String, Long> watchedSince(long index) {
        Map<String, Long> since = new TreeMap<>();
        watchedSinceNs.forEach((relay, held) -> held.entrySet().stream()
                .filter(e -> e.getKey() >= index)
                .mapToLong(Map.Entry::getValue)
                .min()
                .ifPresent(ns -> since.put(relay, ns)));
        return since;
    }

    /** Waits until so many relays have this index or a later one, or the time is over; returns those that have it. */
    public synchronized Map<String, Long> await(long index, int relays, long withinMs) throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMs);
        for (long leftNs = endNs - System.nanoTime();
                watchedSince(index).size() < relays && leftNs > 0;
                leftNs = endNs - System.nanoTime()) {
            TimeUnit.NANOSECONDS.timedWait(this, leftNs);
        }
        return watchedSince(index);
    }

    /** Returns the index of the last change. */
    public synchronized long index() {
        return index;
    }

    /** Returns the number of calls for the whole list. */
    public synchronized long snapshotCalls() {
        return wholes;
    }

    /** Returns the number of calls that waited for a change. */
    public synchronized long watchCalls() {
        return watches;
    }

    /** Returns the number of answers that a relay did not read to the end. */
    public synchronized long abortedAnswers() {
        return brokenOff;
    }

    /** Returns the bytes of bodies written so far, without heads. */
    public long bytesOut() {
        return bytesOut.sum();
    }

    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        servers.forEach(d -> d.stop(0));
        threads.shutdownNow();
    }
}
