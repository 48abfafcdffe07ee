package gatelock.kept;

import java.util.HashMap;
import java.util.Map;

/** All reqs not settled yet, by id; a req whose caller has its answer stays until its last try has ended. */
public final class OpenReqs {
    private final Map<String, OpenReq> byId = new HashMap<>();
    private int unanswered;

    public OpenReq get(String id) {
        return byId.get(id);
    }

    public void add(OpenReq req) {
        byId.put(req.id(), req);
        unanswered++;
    }

    /** Notes that a req has its final answer or its caller left. */
    public void close(OpenReq req) {
        assert !req.over() : "a second final answer";
        req.close();
        unanswered--;
    }

    public void forget(OpenReq req) {
        byId.remove(req.id());
    }

    /** Reqs that are still owed an answer. */
    public int unanswered() {
        return unanswered;
    }
}
