package gatelock.fleet;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** The idle keep-alive connections of a relay, by endpoint. A connection serves one request at a time. */
final class KeepAliveConnections {
    /** A connection is closed after this time without a request. */
    static final long IDLE_TIMEOUT_US = 20 * VirtualClock.SECOND_US;

    private final Map<String, ArrayDeque<Long>> idleSinceUs = new HashMap<>();

    /** Takes the most recently used connection; returns false if none is open and a new one is needed. */
    boolean tryTake(String endpoint, long nowUs) {
        ArrayDeque<Long> idle = idleSinceUs.get(endpoint);
        if (idle == null) {
            return false;
        }
        idle.removeIf(sinceUs -> sinceUs < nowUs - IDLE_TIMEOUT_US);
        return idle.pollLast() != null;
    }

    /** Returns a connection to the pool as idle from {@code nowUs}. */
    void release(String endpoint, long nowUs) {
        idleSinceUs.computeIfAbsent(endpoint, name -> new ArrayDeque<>()).add(nowUs);
    }

    /** Closes all connections. */
    void clear() {
        idleSinceUs.clear();
    }
}
