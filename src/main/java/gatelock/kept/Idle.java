package gatelock.kept;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Connections that stand without a call, by address; the one that was used last is taken first. */
public final class Idle<C> {
    private final Map<InetSocketAddress, ArrayDeque<C>> byAddress = new HashMap<>();
    private final Map<C, Since> since = new LinkedHashMap<>();
    private final Consumer<C> close;
    private final int most;

    private record Since(InetSocketAddress address, long us) {
    }

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
        since.remove(found);
        return found;
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
            byAddress.get(was.address).remove(connection);
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
        while (!since.isEmpty() && since.values().iterator().next().us < timeUs) {
            closeOldest();
        }
    }

    private void closeOldest() {
        C connection = since.keySet().iterator().next();
        remove(connection);
        close.accept(connection);
    }
}
