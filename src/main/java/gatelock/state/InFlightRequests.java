package gatelock.state;

import java.util.HashMap;
import java.util.Map;

/** All requests not settled yet, by id; a request whose caller has its answer stays until its last attempt has ended. */
public final class InFlightRequests {
    private final Map<String, InFlightRequest> byId = new HashMap<>();
    private final Counters counters;

    public InFlightRequests(Counters counters) {
        this.counters = counters;
    }

    public InFlightRequest get(String id) {
        return byId.get(id);
    }

    public int size() {
        return byId.size();
    }

    public void add(InFlightRequest request) {
        byId.put(request.id(), request);
    }

    /** Notes that a request has its final answer or its caller left. */
    public void close(InFlightRequest request) {
        counters.holds(!request.over(), "a second final answer");
        request.close();
    }

    public void forget(InFlightRequest request) {
        byId.remove(request.id());
    }
}
