package gatelock.state;

import java.util.HashMap;
import java.util.Map;

/** All reqs not settled yet, by id; a req whose caller has its answer stays until its last try has ended. */
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

    public void add(InFlightRequest req) {
        byId.put(req.id(), req);
    }

    /** Notes that a req has its final answer or its caller left. */
    public void close(InFlightRequest req) {
        counters.holds(!req.over(), "a second final answer");
        req.close();
    }

    public void forget(InFlightRequest req) {
        byId.remove(req.id());
    }
}
