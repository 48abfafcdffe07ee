package gatelock.wire;

import gatelock.kept.Counters;
import gatelock.kept.OpenReq;
import gatelock.kept.OpenReqs;
import gatelock.relay.Gate;

/** Second stage: a req in good form is handed to the decisions, and is owed an answer from then on. */
public final class Admit {
    private final Turn turn;
    private final OpenReqs open;
    private final Counters counters;
    private final Book book;
    private final Gate gate;

    public Admit(Turn turn, OpenReqs open, Counters counters, Book book, Gate gate) {
        this.turn = turn;
        this.open = open;
        this.counters = counters;
        this.book = book;
        this.gate = gate;
    }

    /** Whether a req of this id is still open, so that another can't be told from it. */
    boolean isOpen(String id) {
        return open.get(id) != null;
    }

    void admit(OpenReq req, int route, int tenant, long key, long costUs) {
        counters.add("taken");
        open.add(req);
        long nowUs = turn.nowUs();
        req.taken(gate.take(nowUs, req.id(), route, tenant, key, Math.max(1, req.endUs() - nowUs), costUs));
        book.settle(req);
    }

    void left(OpenReq req) {
        book.left(req);
    }
}
