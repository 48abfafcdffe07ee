package gatelock.fleet;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** The idle connections of a relay, by endpoint; a connection carries one request at a time. */
final class KeepAliveConnections {
    static final long IDLE_TIMEOUT_US = 20 * VirtualClock.SECOND_US;

    private final Map<String, ArrayDeque<Long>> idleSinceUs = new HashMap<>();

    /** Takes the connection that was used last; false: none is open, and a new one is needed. */
    boolean tryTake(String endpoint, long nowUs) {
        ArrayDeque<Long> idle = idleSinceUs.get(endpoint);
        if (idle == null) {
            return false;
        }
        idle.removeIf(sinceUs -> sinceUs < nowUs - IDLE_TIMEOUT_US);
        return idle.pollLast() != null;
    }

    /** A connection is idle from now on. */
    void release(String endpoint, long nowUs) {
        idleSinceUs.computeIfAbsent(endpoint, name -> new ArrayDeque<>()).add(nowUs);
    }

    void clear() {
        idleSinceUs.clear();
    }
}
