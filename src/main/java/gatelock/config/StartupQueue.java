package gatelock.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Requests that arrive before the relay has its endpoint list, in order of arrival, each with the action that continues
 * it. Guards against clients that were connected before a restart: their requests come as soon as the relay listens, and
 * must not be routed by an endpoint list from before the restart. Could do harm where a start takes longer than clients
 * wait: those requests are given up one by one.
 *
 * @param <T> a waiting request; equal only to itself
 */
public final class StartupQueue<T> {
    private final Map<T, Runnable> continuations = new LinkedHashMap<>();
    private boolean open;

    /** Whether requests need not wait any more. */
    public boolean isOpen() {
        return open;
    }

    /**
     * Adds a request.
     *
     * @param nowUs the current time
     * @param deadlineUs the request's deadline
     * @param request the request
     * @param continuation runs when the queue opens
     * @return how long the request may wait, in microseconds: half of its remaining time. After that it is better given
     *     up, so that its client can try another relay in the other half; a later rejection would cost the client its
     *     deadline.
     */
    public long add(long nowUs, long deadlineUs, T request, Runnable continuation) {
        continuations.put(request, continuation);
        return Math.max(0, deadlineUs - nowUs) / 2;
    }

    /** Removes a request that is given up or whose client left; returns whether it was still waiting. */
    public boolean remove(T request) {
        return continuations.remove(request) != null;
    }

    /** Opens the queue for good and continues all waiting requests; returns how many there were. */
    public int openAndDrain() {
        open = true;
        List<Runnable> pending = new ArrayList<>(continuations.values());
        continuations.clear();
        pending.forEach(Runnable::run);
        return pending.size();
    }
}
