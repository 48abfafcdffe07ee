package gatelock.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A queue that serves tenants round robin and keeps the items of each tenant in order of arrival.
 *
 * @param <T> the type of queued items; must have identity equality
 */
final class TenantFairQueue<T> {
    /** The items by tenant, in the order in which the tenants are served; tenants without items are absent. */
    private final Map<Integer, ArrayDeque<T>> queues = new LinkedHashMap<>();

    private int size;

    /** Returns the number of items of all tenants. */
    int size() {
        return size;
    }

    /** Returns whether the queue has no items. */
    boolean isEmpty() {
        return size == 0;
    }

    /** Returns the number of items of one tenant. */
    int sizeOf(int tenant) {
        ArrayDeque<T> queue = queues.get(tenant);
        return queue == null ? 0 : queue.size();
    }

    /** Returns a copy of the list of tenants with items, in the order in which they are served. */
    List<Integer> tenants() {
        return List.copyOf(queues.keySet());
    }

    /** Returns the first item of a tenant, or null if the tenant has none. */
    T firstOf(int tenant) {
        ArrayDeque<T> queue = queues.get(tenant);
        return queue == null ? null : queue.peekFirst();
    }

    /** Returns the first item of each tenant with items, in the order in which the tenants are served. */
    List<T> firstOfEachTenant() {
        List<T> firsts = new ArrayList<>(queues.size());
        for (ArrayDeque<T> queue : queues.values()) {
            firsts.add(queue.peekFirst());
        }
        return firsts;
    }

    /** Adds an item after the other items of its tenant. */
    void add(int tenant, T item) {
        queues.computeIfAbsent(tenant, t -> new ArrayDeque<>()).addLast(item);
        size++;
    }

    /** Removes an item, which must be in the queue. */
    void remove(int tenant, T item) {
        ArrayDeque<T> queue = queues.get(tenant);
        queue.remove(item);
        if (queue.isEmpty()) {
            queues.remove(tenant);
        }
        size--;
    }

    /** Moves a tenant behind all others in the order in which they are served. */
    void moveToBack(int tenant) {
        ArrayDeque<T> queue = queues.remove(tenant);
        if (queue != null) {
            queues.put(tenant, queue);
        }
    }

    /** Returns the number of items of the tenant that has the most, or 0 if the queue is empty. */
    int longestQueueSize() {
        ArrayDeque<T> longest = longestQueue();
        return longest == null ? 0 : longest.size();
    }

    /** Returns the last item of the tenant that has the most, or null if the queue is empty. */
    T lastOfLongestQueue() {
        ArrayDeque<T> longest = longestQueue();
        return longest == null ? null : longest.peekLast();
    }

    private ArrayDeque<T> longestQueue() {
        ArrayDeque<T> longest = null;
        for (ArrayDeque<T> queue : queues.values()) {
            if (longest == null || queue.size() > longest.size()) {
                longest = queue;
            }
        }
        return longest;
    }
}
