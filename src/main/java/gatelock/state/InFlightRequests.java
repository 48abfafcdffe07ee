package gatelock.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** All requests in flight, by id. An answered request remains in flight until its last attempt has ended. */
public final class InFlightRequests {
    private final Map<String, InFlightRequest> byId = new HashMap<>();
    private final AbandonedRequests abandoned = new AbandonedRequests();
    private final Counters counters;

    /**
     * Creates an empty set.
     *
     * @param counters counts requests that are answered twice, which violates an invariant
     */
    public InFlightRequests(Counters counters) {
        this.counters = counters;
    }

    /** Returns the request with this id, or null if it is not in flight. */
    public InFlightRequest get(String id) {
        return byId.get(id);
    }

    /** Returns the number of requests in flight. */
    public int size() {
        return byId.size();
    }

    /** Adds a request; its id must not be in use. */
    public void add(InFlightRequest request) {
        byId.put(request.id(), request);
    }

    /** Returns the requests that have no final answer although their deadline was at or before the given time. */
    public List<InFlightRequest> unansweredAt(long deadlineUs) {
        List<InFlightRequest> unanswered = new ArrayList<>();
        for (InFlightRequest request : byId.values()) {
            if (!request.isCompleted() && request.deadlineUs() <= deadlineUs) {
                unanswered.add(request);
            }
        }
        return unanswered;
    }

    /** Marks a request as completed: it gets its final answer now, or its client has disconnected. */
    public void markCompleted(InFlightRequest request) {
        counters.checkInvariant(!request.isCompleted(), "a second final answer");
        request.markCompleted();
    }

    /** Records that the client of a request has left, which completes the request without a response. */
    public void markAbandoned(InFlightRequest request) {
        markCompleted(request);
        if (request.hasAttempts()) {
            abandoned.add(request.id());
        }
    }

    /** Returns whether a request with this id was sent to an endpoint for a client that left before the response. */
    public boolean wasAbandoned(String id) {
        return abandoned.contains(id);
    }

    /** Removes a request. Another request that has its id by now stays. */
    public void remove(InFlightRequest request) {
        byId.remove(request.id(), request);
    }
}
