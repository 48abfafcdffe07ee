package gatelock.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds requests that arrive before the relay has received its endpoint list, in order of arrival, each with the action
 * that continues it. Clients that were connected before a restart send requests as soon as the relay listens, and these
 * must not be routed by an endpoint list from before the restart. If startup takes longer than requests may wait, they
 * are rejected one by one.
 *
 * @param <T> the type of a waiting request; must have identity equality
 */
public final class StartupQueue<T> {
    private final Map<T, Runnable> continuations = new LinkedHashMap<>();
    private boolean open;

    /** Returns whether the queue has been opened, so that requests no longer have to wait. */
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
     * @return how long the request may wait, in microseconds: half of its remaining time. It should be rejected after
     *     that, so that its client can try another relay in the other half; a later rejection would make the client
     *     miss its deadline.
     */
    public long add(long nowUs, long deadlineUs, T request, Runnable continuation) {
        continuations.put(request, continuation);
        return Math.max(0, deadlineUs - nowUs) / 2;
    }

    /** Removes a request that was rejected or whose client disconnected; returns whether it was still waiting. */
    public boolean remove(T request) {
        return continuations.remove(request) != null;
    }

    /** Opens the queue permanently and continues all waiting requests; returns their number. */
    public int openAndDrain() {
        open = true;
        List<Runnable> pending = new ArrayList<>(continuations.values());
        continuations.clear();
        pending.forEach(Runnable::run);
        return pending.size();
    }
}
