package gatelock.state;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Open connections without a request in flight, by address. The most recently used connection is reused first.
 *
 * @param <C> the connection type; its instances must be equal only to themselves
 */
public final class IdleConnections<C> {
    private final Map<InetSocketAddress, ArrayDeque<C>> byAddress = new HashMap<>();
    /** All idle connections, the one that has been idle longest first. */
    private final Map<C, IdleSince> idleSince = new LinkedHashMap<>();

    private final Consumer<C> closer;
    private final int maxIdle;

    private record IdleSince(InetSocketAddress address, long timeUs) {}

    /**
     * Creates an empty set.
     *
     * @param maxIdle the maximum number of connections; above it the one that has been idle longest is closed
     * @param closer closes a connection
     */
    public IdleConnections(int maxIdle, Consumer<C> closer) {
        this.maxIdle = maxIdle;
        this.closer = closer;
    }

    /**
     * Removes and returns the most recently used connection to an address that has been idle long enough.
     *
     * @param address the remote address
     * @param latestIdleStartUs the latest time at which the connection may have become idle
     * @return the connection, or null if there is none
     */
    public C take(InetSocketAddress address, long latestIdleStartUs) {
        ArrayDeque<C> candidates = byAddress.get(address);
        if (candidates == null) {
            return null;
        }
        Iterator<C> latestFirst = candidates.descendingIterator();
        while (latestFirst.hasNext()) {
            C candidate = latestFirst.next();
            if (idleSince.get(candidate).timeUs <= latestIdleStartUs) {
                remove(candidate);
                return candidate;
            }
        }
        return null;
    }

    /**
     * Adds a connection that has become idle.
     *
     * @param nowUs the current time, which must not decrease between calls
     * @param address the remote address
     * @param connection the connection
     */
    public void put(long nowUs, InetSocketAddress address, C connection) {
        byAddress.computeIfAbsent(address, a -> new ArrayDeque<>()).addLast(connection);
        idleSince.put(connection, new IdleSince(address, nowUs));
        if (idleSince.size() > maxIdle) {
            closeOldest();
        }
    }

    /** Removes a connection without closing it; has no effect if it is not idle. */
    public void remove(C connection) {
        IdleSince removed = idleSince.remove(connection);
        if (removed != null) {
            ArrayDeque<C> sameAddress = byAddress.get(removed.address);
            sameAddress.removeLastOccurrence(connection);
            if (sameAddress.isEmpty()) {
                byAddress.remove(removed.address);
            }
        }
    }

    /** Closes all idle connections to an address. */
    public void closeAll(InetSocketAddress address) {
        C connection = take(address, Long.MAX_VALUE);
        while (connection != null) {
            closer.accept(connection);
            connection = take(address, Long.MAX_VALUE);
        }
    }

    /** Closes the connections that became idle before the given time. */
    public void closeIdleSinceBefore(long timeUs) {
        while (!idleSince.isEmpty() && idleSince.values().iterator().next().timeUs < timeUs) {
            closeOldest();
        }
    }

    /** Closes the connection that has been idle longest, if there is one. */
    public void closeOldest() {
        if (!idleSince.isEmpty()) {
            C connection = idleSince.keySet().iterator().next();
            remove(connection);
            closer.accept(connection);
        }
    }

    /** Returns the number of idle connections. */
    public int size() {
        return idleSince.size();
    }
}
