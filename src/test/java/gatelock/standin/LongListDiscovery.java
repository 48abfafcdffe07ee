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
 * A stand-in for discovery with a list of any length. Only the entries that changed are stored; the others are computed
 * each time they are written. Each relay has its own address, like that of the discovery agent on its machine, so that a
 * watch (a long poll from an index) shows that this relay has the list of that index.
 */
public final class LongListDiscovery implements AutoCloseable {
    private static final String LIST_START_FORMAT = "{\"index\":%d,\"snapshot\":%b,\"endpoints\":[";

    private static final String LIST_END = "]}";
    private static final int BUFFER_BYTES = 64 * 1024;

    /** An entry that was changed or added after the start, or removed if it is no longer listed. */
    private record ChangedEntry(long index, String text, boolean listed) {}

    private final ExecutorService threads = LoopbackHttpServer.daemonThreads("discovery");
    private final List<HttpServer> servers = new ArrayList<>();
    private final int size;
    private final IntFunction<String> entries;
    private final long sizeBytes;
    /** Changed entries by entry number; numbers from {@code size} on belong to entries that were added after the start. */
    private final TreeMap<Integer, ChangedEntry> changedEntries = new TreeMap<>();

    /** By relay and index: the time of System.nanoTime at which the relay first watched from that index. */
    private final Map<String, Map<Long, Long>> watchedSinceNs = new HashMap<>();

    private long index = 1;
    private long snapshotCalls;
    private long watchCalls;
    private long abortedAnswers;
    private final LongAdder bytesOut = new LongAdder();
    private boolean closed;

    /**
     * Creates a discovery that does not listen before the first call of {@link #address}.
     *
     * @param size number of entries at the start
     * @param entries returns the initial text of an entry by its number, a JSON object in ASCII
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

    /** Returns an entry in the platform's format, of about 190 bytes with its service; null omits the service. */
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

    /** Starts a server for one more relay and returns its host and port. */
    public synchronized String address(String relay) throws IOException {
        HttpServer server = LoopbackHttpServer.start(threads);
        server.createContext("/api/targets", call -> handle(relay, call));
        servers.add(server);
        return LoopbackHttpServer.address(server);
    }

    /** Replaces or adds an entry; returns the index of the change. */
    public synchronized long replace(int number, String text) {
        return recordChange(number, text, true);
    }

    /** Removes an entry, of which watches receive the last status; returns the index of the change. */
    public synchronized long remove(int number, String text) {
        return recordChange(number, text, false);
    }

    private long recordChange(int number, String entryJson, boolean listed) {
        changedEntries.put(number, new ChangedEntry(++index, entryJson, listed));
        notifyAll();
        return index;
    }

    private void handle(String relay, HttpExchange call) throws IOException {
        String query = call.getRequestURI().getQuery();
        try {
            if (query == null) {
                respondWithSnapshot(call);
            } else {
                respondToWatch(
                        relay,
                        call,
                        Long.parseLong(query.replaceAll(".*from=(\\d+).*", "$1")),
                        Long.parseLong(query.replaceAll(".*hold_ms=(\\d+).*", "$1")));
            }
        } catch (IOException e) {
            synchronized (this) {
                abortedAnswers++;
            }
            call.close();
        }
    }

    private void respondWithSnapshot(HttpExchange call) throws IOException {
        TreeMap<Integer, ChangedEntry> changedNow;
        String head;
        synchronized (this) {
            snapshotCalls++;
            changedNow = new TreeMap<>(changedEntries);
            head = String.format(LIST_START_FORMAT, index, true);
        }
        // The size of each entry includes the comma after it, which the last entry does not have.
        long bytes = sizeBytes;
        for (Map.Entry<Integer, ChangedEntry> e : changedNow.entrySet()) {
            bytes -= e.getKey() < size ? entries.apply(e.getKey()).length() + 1 : 0;
            bytes += e.getValue().listed ? e.getValue().text.length() + 1 : 0;
        }
        call.sendResponseHeaders(200, head.length() + Math.max(0, bytes - 1) + LIST_END.length());
        OutputStream out = new BufferedOutputStream(call.getResponseBody(), BUFFER_BYTES);
        write(out, head);
        String comma = "";
        int last = changedNow.isEmpty() ? size : Math.max(size, changedNow.lastKey() + 1);
        for (int i = 0; i < last; i++) {
            ChangedEntry change = changedNow.get(i);
            boolean listed = change == null ? i < size : change.listed;
            if (listed) {
                write(out, comma);
                write(out, change == null ? entries.apply(i) : change.text);
                comma = ",";
            }
        }
        write(out, LIST_END);
        out.close();
    }

    private void respondToWatch(String relay, HttpExchange call, long from, long holdMs) throws IOException {
        String answer;
        try {
            answer = awaitChanges(relay, from, holdMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            call.close();
            return;
        }
        if (answer == null) {
            respondWithSnapshot(call);
            return;
        }
        call.sendResponseHeaders(200, answer.length());
        OutputStream out = call.getResponseBody();
        write(out, answer);
        out.close();
    }

    /**
     * Waits until there is a change after an index or the hold time ends.
     *
     * @return the response, or null if this discovery has not reached that index
     */
    private synchronized String awaitChanges(String relay, long from, long holdMs) throws InterruptedException {
        watchCalls++;
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
        StringBuilder text = new StringBuilder(String.format(LIST_START_FORMAT, index, false));
        String comma = "";
        for (ChangedEntry change : changedEntries.values()) {
            if (change.index > from) {
                text.append(comma).append(change.text);
                comma = ",";
            }
        }
        return text.append(LIST_END).toString();
    }

    private void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        bytesOut.add(text.length());
    }

    /** Returns the relays that have this index or a later one, and the time of System.nanoTime since when they have it. */
    public synchronized Map<String, Long> watchedSince(long index) {
        Map<String, Long> since = new TreeMap<>();
        watchedSinceNs.forEach((relay, watchedIndexes) -> watchedIndexes.entrySet().stream()
                .filter(e -> e.getKey() >= index)
                .mapToLong(Map.Entry::getValue)
                .min()
                .ifPresent(ns -> since.put(relay, ns)));
        return since;
    }

    /** Waits until a number of relays have this index or a later one, or the time ends; returns the relays that have it. */
    public synchronized Map<String, Long> awaitWatches(long index, int relays, long withinMs)
            throws InterruptedException {
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

    /** Returns the number of responses with the full list. */
    public synchronized long snapshotCalls() {
        return snapshotCalls;
    }

    /** Returns the number of watches. */
    public synchronized long watchCalls() {
        return watchCalls;
    }

    /** Returns the number of responses that a relay did not read to the end. */
    public synchronized long abortedAnswers() {
        return abortedAnswers;
    }

    /** Returns the number of body bytes written so far; heads are not counted. */
    public long bytesOut() {
        return bytesOut.sum();
    }

    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        servers.forEach(server -> server.stop(0));
        threads.shutdownNow();
    }
}
