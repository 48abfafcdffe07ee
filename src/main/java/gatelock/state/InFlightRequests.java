package gatelock.state;

import java.util.HashMap;
import java.util.Map;

/** All requests in flight, by id. An answered request stays until its last attempt has ended. */
public final class InFlightRequests {
    private final Map<String, InFlightRequest> byId = new HashMap<>();
    private final Counters counters;

    /**
     * Creates an empty set.
     *
     * @param counters counts violations of "one final answer"
     */
    public InFlightRequests(Counters counters) {
        this.counters = counters;
    }

    /** The request of this id, or null. */
    public InFlightRequest get(String id) {
        return byId.get(id);
    }

    /** How many requests are in flight. */
    public int size() {
        return byId.size();
    }

    /** Adds a request; its id must not be in use. */
    public void add(InFlightRequest request) {
        byId.put(request.id(), request);
    }

    /** Records that a request gets its final answer now or that its client has left. */
    public void markOver(InFlightRequest request) {
        counters.checkInvariant(!request.isOver(), "a second final answer");
        request.markOver();
    }

    /** Forgets a request to which nothing more can happen. */
    public void remove(InFlightRequest request) {
        byId.remove(request.id());
    }
}
