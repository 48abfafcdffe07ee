package gatelock.kept;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Connections that stand without a call, by address; the one that was used last is taken first. */
public final class Idle<C> {
    private final Map<InetSocketAddress, ArrayDeque<C>> byAddress = new HashMap<>();
    private final Map<C, Long> sinceUs = new LinkedHashMap<>();
    private final Consumer<C> close;
    private final int most;

    /**
     * @param most how many are kept at all; beyond that the longest idle goes
     * @param close ends one of them
     */
    public Idle(int most, Consumer<C> close) {
        this.most = most;
        this.close = close;
    }

    public C take(InetSocketAddress address) {
        ArrayDeque<C> there = byAddress.get(address);
        C found = there == null ? null : there.pollLast();
        sinceUs.remove(found);
        return found;
    }

    public void put(long nowUs, InetSocketAddress address, C connection) {
        byAddress.computeIfAbsent(address, a -> new ArrayDeque<>()).addLast(connection);
        sinceUs.put(connection, nowUs);
        if (sinceUs.size() > most) {
            closeOldest();
        }
    }

    public void remove(InetSocketAddress address, C connection) {
        if (sinceUs.remove(connection) != null) {
            byAddress.get(address).remove(connection);
        }
    }

    /** Closes all to one address. */
    public void closeAll(InetSocketAddress address) {
        for (C next = take(address); next != null; next = take(address)) {
            close.accept(next);
        }
        byAddress.remove(address);
    }

    /** Closes what stood idle since before that time. */
    public void closeBefore(long timeUs) {
        while (!sinceUs.isEmpty() && sinceUs.values().iterator().next() < timeUs) {
            closeOldest();
        }
    }

    private void closeOldest() {
        Iterator<C> oldest = sinceUs.keySet().iterator();
        C connection = oldest.next();
        oldest.remove();
        byAddress.values().forEach(there -> there.remove(connection));
        close.accept(connection);
    }
}
