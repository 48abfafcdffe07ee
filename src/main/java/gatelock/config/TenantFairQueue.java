package gatelock.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A queue in which tenants take turns, and requests of one tenant keep their order.
 *
 * @param <T> what waits; equal only to itself
 */
final class TenantFairQueue<T> {
    /** By tenant, in the order of turns; a tenant without anything that waits is not in it. */
    private final Map<Integer, ArrayDeque<T>> queues = new LinkedHashMap<>();

    private int size;

    int size() {
        return size;
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** Returns how many of one tenant wait. */
    int sizeOf(int tenant) {
        ArrayDeque<T> queue = queues.get(tenant);
        return queue == null ? 0 : queue.size();
    }

    /** Returns the tenants in the order of their turns, as a copy. */
    List<Integer> tenants() {
        return List.copyOf(queues.keySet());
    }

    /** Returns a tenant's first, or null if none of its waits. */
    T first(int tenant) {
        ArrayDeque<T> queue = queues.get(tenant);
        return queue == null ? null : queue.peekFirst();
    }

    /** Returns the first of each tenant, in the order of turns. */
    List<T> firstOfEach() {
        List<T> firsts = new ArrayList<>(queues.size());
        for (ArrayDeque<T> queue : queues.values()) {
            firsts.add(queue.peekFirst());
        }
        return firsts;
    }

    void add(int tenant, T item) {
        queues.computeIfAbsent(tenant, t -> new ArrayDeque<>()).addLast(item);
        size++;
    }

    /** Removes an item that waits. */
    void remove(int tenant, T item) {
        ArrayDeque<T> queue = queues.get(tenant);
        queue.remove(item);
        if (queue.isEmpty()) {
            queues.remove(tenant);
        }
        size--;
    }

    /** Gives a tenant its turn after all others. */
    void moveToBack(int tenant) {
        ArrayDeque<T> queue = queues.remove(tenant);
        if (queue != null) {
            queues.put(tenant, queue);
        }
    }

    /** Returns how many wait of the tenant with most; 0 if the queue is empty. */
    int longestSize() {
        ArrayDeque<T> longest = longest();
        return longest == null ? 0 : longest.size();
    }

    /** Returns the last of the tenant with most, or null if the queue is empty. */
    T lastOfLongest() {
        ArrayDeque<T> longest = longest();
        return longest == null ? null : longest.peekLast();
    }

    private ArrayDeque<T> longest() {
        ArrayDeque<T> longest = null;
        for (ArrayDeque<T> queue : queues.values()) {
            if (longest == null || queue.size() > longest.size()) {
                longest = queue;
            }
        }
        return longest;
    }
}
