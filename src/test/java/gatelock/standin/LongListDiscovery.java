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
 * A discovery with a list of any length, of which only what changed is held: the rest is worked out each time it
 * is written. Each relay has an address of its own, as the agent on its machine, so that what it asks for tells
 * what it has: a watch from an index means that the relay holds the list of that index.
 */
public final class LongListDiscovery implements AutoCloseable {
    /** Beginning of a watch's answers and whole lists, and what ends them. */
    private static final String HEAD = "{\"index\":%d,\"snapshot\":%b,\"endpoints\":[";

    private static final String END = "]}";
    private static final int BUFFER_BYTES = 64 * 1024;

    /** An entry that is not as it was at the start; not listed: it has left. */
    private record Changed(long index, String text, boolean listed) {}

    private final ExecutorService threads = HttpStandIn.threads("long list");
    private final List<HttpServer> doors = new ArrayList<>();
    private final int size;
    private final IntFunction<String> entries;
    private final long sizeBytes;
    /** By the entry's number, in order; those past the first size came later. */
    private final TreeMap<Integer, Changed> changed = new TreeMap<>();

    private final Map<String, Map<Long, Long>> holds = new HashMap<>();
    private long index = 1;
    private long wholes;
    private long watches;
    private long brokenOff;
    private final LongAdder bytesOut = new LongAdder();
    private boolean closed;

    /** @param entries the text of each entry as it is at the start, a JSON object in ASCII */
    public LongListDiscovery(int size, IntFunction<String> entries) {
        this.size = size;
        this.entries = entries;
        long bytes = 0;
        for (int i = 0; i < size; i++) {
            bytes += entries.apply(i).length() + 1;
        }
        sizeBytes = bytes;
    }

    /** An entry as the platform gives them, about 190 bytes with the field that names its service. */
    public static String entry(
            int number, String address, String zone, String service, String status, long sinceMs, int build) {
        return "{\"name\":\"" + name(number) + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"type\":\"small\",\"group\":" + number % 10 + ",\"status\":\"" + status
                + "\",\"weight\":1.0,\"since_ms\":" + sinceMs + ",\"image_id\":" + build
                + (service == null ? "" : ",\"service\":\"" + service + "\"") + "}";
    }

    public static String name(int number) {
        return String.format("s-%08x", number * 0x9E3779B1);
    }

    /** Where one more relay finds the list. */
    public synchronized String address(String relay) throws IOException {
        HttpServer door = HttpStandIn.server(threads);
        door.createContext("/api/targets", call -> handle(relay, call));
        doors.add(door);
        return HttpStandIn.at(door);
    }

    /** From now on an entry reads so; tells the index with which it does. A number past the size is a new entry. */
    public synchronized long change(int number, String text) {
        return changed(number, text, true);
    }

    /** An entry is told once more, with the status it ends with, and is no part of whole lists from now on. */
    public synchronized long leave(int number, String text) {
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
            if (other == null && i < size || other != null && other.listed) {
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

    /** What changed since an index, as soon as something has or the hold is over; null: that index is not ours. */
    private synchronized String changes(String relay, long from, long holdMs) throws InterruptedException {
        watches++;
        holds.computeIfAbsent(relay, r -> new LinkedHashMap<>()).putIfAbsent(from, System.nanoTime());
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
        for (Changed c : changed.values()) {
            if (c.index > from) {
                text.append(comma).append(c.text);
                comma = ",";
            }
        }
        return text.append(END).toString();
    }

    private void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        bytesOut.add(text.length());
    }

    /** When each relay that has it came to hold this index or a later one, by System.nanoTime. */
    public synchronized Map<String, Long> holding(long index) {
        Map<String, Long> since = new TreeMap<>();
        holds.forEach((relay, held) -> held.entrySet().stream()
                .filter(e -> e.getKey() >= index)
                .mapToLong(Map.Entry::getValue)
                .min()
                .ifPresent(ns -> since.put(relay, ns)));
        return since;
    }

    /** Waits until so many relays hold this index or a later one, or the time is over; tells which do. */
    public synchronized Map<String, Long> await(long index, int relays, long withinMs) throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMs);
        for (long leftNs = endNs - System.nanoTime();
                holding(index).size() < relays && leftNs > 0;
                leftNs = endNs - System.nanoTime()) {
            TimeUnit.NANOSECONDS.timedWait(this, leftNs);
        }
        return holding(index);
    }

    public synchronized long index() {
        return index;
    }

    /** Calls for the whole list. */
    public synchronized long wholes() {
        return wholes;
    }

    /** Calls that wait for a change. */
    public synchronized long watches() {
        return watches;
    }

    /** Answers that the relay did not take to the end. */
    public synchronized long brokenOff() {
        return brokenOff;
    }

    /** Bytes of bodies handed to the sockets so far; heads not counted. */
    public long bytesOut() {
        return bytesOut.sum();
    }

    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        doors.forEach(d -> d.stop(0));
        threads.shutdownNow();
    }
}
