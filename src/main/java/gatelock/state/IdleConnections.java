package gatelock.state;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Open connections that carry no request, by address. The one that was used last is reused first.
 *
 * @param <C> a connection; equal only to itself
 */
public final class IdleConnections<C> {
    private final Map<InetSocketAddress, ArrayDeque<C>> byAddress = new HashMap<>();
    /** All idle connections, the longest idle first. */
    private final Map<C, IdleSince> idleSince = new LinkedHashMap<>();

    private final Consumer<C> closer;
    private final int maxIdle;

    private record IdleSince(InetSocketAddress address, long timeUs) {}

    /**
     * Creates an empty set.
     *
     * @param maxIdle how many connections are kept; beyond that the longest idle one is closed
     * @param closer closes a connection
     */
    public IdleConnections(int maxIdle, Consumer<C> closer) {
        this.maxIdle = maxIdle;
        this.closer = closer;
    }

    /**
     * Takes out the connection to an address that was used last, among those that have been idle long enough.
     *
     * @param address where it leads
     * @param idleByUs the time by which it must have been idle
     * @return the connection, or null if there is none
     */
    public C take(InetSocketAddress address, long idleByUs) {
        ArrayDeque<C> candidates = byAddress.get(address);
        if (candidates == null) {
            return null;
        }
        Iterator<C> latestFirst = candidates.descendingIterator();
        while (latestFirst.hasNext()) {
            C candidate = latestFirst.next();
            if (idleSince.get(candidate).timeUs <= idleByUs) {
                remove(candidate);
                return candidate;
            }
        }
        return null;
    }

    /**
     * Adds a connection that has become idle.
     *
     * @param nowUs the current time, which never goes back
     * @param address where it leads
     * @param connection the connection
     */
    public void put(long nowUs, InetSocketAddress address, C connection) {
        byAddress.computeIfAbsent(address, a -> new ArrayDeque<>()).addLast(connection);
        idleSince.put(connection, new IdleSince(address, nowUs));
        if (idleSince.size() > maxIdle) {
            closeOldest();
        }
    }

    /** Takes out a connection, if it is here, without closing it. */
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

    /** Closes all connections to an address. */
    public void closeAll(InetSocketAddress address) {
        C connection = take(address, Long.MAX_VALUE);
        while (connection != null) {
            closer.accept(connection);
            connection = take(address, Long.MAX_VALUE);
        }
    }

    /** Closes the connections that have been idle since before a time. */
    public void closeBefore(long timeUs) {
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

    /** The number of idle connections. */
    public int size() {
        return idleSince.size();
    }
}
