package gatelock.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What came before this relay knows its endpoints, in order, each with what is to be done once it may go on. Guards
 * against requests of clients of an earlier life, which come as soon as the relay listens, and that must not go by a list
 * from before the restart. Could harm where a start takes longer than clients wait: those are given up one by one.
 *
 * @param <T> whatever waits; equal only to itself
 */
public final class StartupQueue<T> {
    private final Map<T, Runnable> waiting = new LinkedHashMap<>();
    private boolean open;

    /** Whether all goes on at once from now on. */
    public boolean isOpen() {
        return open;
    }

    /**
     * One comes; tells how long it may wait. What has waited for half of its time is better given up: its client
     * may find another relay in the other half, and a refusal later than that has a price of its own.
     */
    public long come(long nowUs, long endUs, T what, Runnable goesOn) {
        waiting.put(what, goesOn);
        return Math.max(0, endUs - nowUs) / 2;
    }

    /** It waits no more, as it is given up or has left; tells whether it did until now. */
    public boolean leave(T what) {
        return waiting.remove(what) != null;
    }

    /** All go on, now and from now on; tells how many had waited. */
    public int open() {
        open = true;
        List<Runnable> all = new ArrayList<>(waiting.values());
        waiting.clear();
        all.forEach(Runnable::run);
        return all.size();
    }
}
