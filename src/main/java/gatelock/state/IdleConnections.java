package gatelock.state;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Connections that stand without a call, by address; the one that was used last is taken first. */
public final class IdleConnections<C> {
    private final Map<InetSocketAddress, ArrayDeque<C>> byAddress = new HashMap<>();
    private final Map<C, Since> since = new LinkedHashMap<>();
    private final Consumer<C> close;
    private final int most;

    private record Since(InetSocketAddress address, long us) {}

    /**
     * @param most how many are kept at all; beyond that the longest idle goes
     * @param close ends one of them
     */
    public IdleConnections(int most, Consumer<C> close) {
        this.most = most;
        this.close = close;
    }

    /** The one last used of those that stood idle by that time, or null. */
    public C take(InetSocketAddress address, long byUs) {
        ArrayDeque<C> there = byAddress.get(address);
        if (there != null) {
            for (Iterator<C> latest = there.descendingIterator(); latest.hasNext(); ) {
                C found = latest.next();
                if (since.get(found).us <= byUs) {
                    remove(found);
                    return found;
                }
            }
        }
        return null;
    }

    public void put(long nowUs, InetSocketAddress address, C connection) {
        byAddress.computeIfAbsent(address, a -> new ArrayDeque<>()).addLast(connection);
        since.put(connection, new Since(address, nowUs));
        if (since.size() > most) {
            closeOldest();
        }
    }

    public void remove(C connection) {
        Since was = since.remove(connection);
        if (was != null) {
            ArrayDeque<C> there = byAddress.get(was.address);
            there.removeLastOccurrence(connection);
            if (there.isEmpty()) {
                byAddress.remove(was.address);
            }
        }
    }

    /** Closes all to one address. */
    public void closeAll(InetSocketAddress address) {
        for (C next = take(address, Long.MAX_VALUE); next != null; next = take(address, Long.MAX_VALUE)) {
            close.accept(next);
        }
    }

    /** Closes what stood idle since before that time. */
    public void closeBefore(long timeUs) {
        while (!since.isEmpty() && since.values().iterator().next().us < timeUs) {
            closeOldest();
        }
    }

    /** Closes the one that has been idle longest, if there is one. */
    public void closeOldest() {
        if (!since.isEmpty()) {
            C connection = since.keySet().iterator().next();
            remove(connection);
            close.accept(connection);
        }
    }

    public int size() {
        return since.size();
    }
}
