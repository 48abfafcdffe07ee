package gatelock.pipeline;

import gatelock.net.EventLoop;
import gatelock.state.Counters;
import gatelock.state.InFlightRequest;
import gatelock.state.InFlightRequests;
import gatelock.config.Admission;
import gatelock.config.StartupQueue;
import gatelock.config.QueuedRequest;
import gatelock.api.RequestConstraints;
import gatelock.api.DecisionEngine;

/**
 * Second stage: a req in good form asks the plan's limits, where there is a plan, and is handed to the
 * decisions. It is
 * owed an answer from then on.
 */
public final class RequestAdmitter {
    /** While somebody waits, limits are looked at so often at the least. */
    private static final long LOOK_US = 10_000;

    private final EventLoop turn;
    private final InFlightRequests open;
    private final Counters counters;
    private final OutcomeRecorder book;
    private final ResponseWriter relayBack;
    private final DecisionEngine gate;
    private final Admission admission;
    private final long longestPauseUs;
    private final StartupQueue<InFlightRequest> early = new StartupQueue<>();
    private boolean looking;

    /**
     * @param admission what the plan in force means; null: there never is one
     * @param longestPauseUs that a client hears of when it is told to come back; 0: none does
     */
    public RequestAdmitter(EventLoop turn, InFlightRequests open, Counters counters, OutcomeRecorder book, ResponseWriter relayBack, DecisionEngine gate,
                 Admission admission, long longestPauseUs) {
        this.turn = turn;
        this.open = open;
        this.counters = counters;
        this.book = book;
        this.relayBack = relayBack;
        this.gate = gate;
        this.admission = admission;
        this.longestPauseUs = longestPauseUs;
    }

    /** Whether a req of this id is still open, so that another can't be told from it. */
    public boolean isOpen(String id) {
        return open.get(id) != null;
    }

    /** @param way where the plan leads it, or null: no plan, or none of its routes is for it */
    public void admit(InFlightRequest req, Admission.Way way, int route, int tenant, long key, long costUs) {
        counters.add("taken");
        open.add(req);
        if (way == null) {
            decide(req, route, tenant, key, costUs, RequestConstraints.NONE);
            return;
        }
        Passage passage = new Passage(req, route, tenant, key, costUs);
        Admission.Pass pass = admission.ask(turn.nowUs(), way, tenant, req.endUs(), passage);
        passage.pass = pass;
        req.whenOver(() -> {
            pass.over(turn.nowUs());
            look();
        });
        if (pass.shed()) {
            passage.shed(turn.nowUs(), pass.pauseUs());
        } else if (pass.waits()) {
            counters.add("waited for limits");
            look();
        } else {
            decide(req, route, tenant, key, costUs, pass);
        }
    }

    /** From now on the decisions know where reqs may go; those that came before go first. Tells how many. */
    public int open() {
        return early.open();
    }

    private void decide(InFlightRequest req, int route, int tenant, long key, long costUs, RequestConstraints bounds) {
        if (!early.isOpen()) {
            long waitsUs = early.come(turn.nowUs(), req.endUs(), req,
                () -> decide(req, route, tenant, key, costUs, bounds));
            turn.in(waitsUs, () -> {
                if (early.leave(req)) {
                    counters.add("given up before listed");
                    relayBack.shed(req, Math.min(longestPauseUs, waitsUs));
                    book.settle(req);
                }
            });
            return;
        }
        long nowUs = turn.nowUs();
        req.taken(gate.take(nowUs, req.id(), route, tenant, key, Math.max(1, req.endUs() - nowUs), costUs,
            bounds));
        book.settle(req);
    }

    /** A req on its way past its limits. */
    private final class Passage implements QueuedRequest {
        private final InFlightRequest req;
        private final int route;
        private final int tenant;
        private final long key;
        private final long costUs;
        private Admission.Pass pass;

        Passage(InFlightRequest req, int route, int tenant, long key, long costUs) {
            this.req = req;
            this.route = route;
            this.tenant = tenant;
            this.key = key;
            this.costUs = costUs;
        }

        @Override
        public void passes(long nowUs) {
            // Its turn may come while the decisions are at work on another.
            turn.soon(() -> {
                if (!req.over()) {
                    decide(req, route, tenant, key, costUs, pass);
                }
            });
        }

        @Override
        public void shed(long nowUs, long pauseUs) {
            counters.add("shed by limits");
            turn.soon(() -> {
                relayBack.shed(req, Math.min(pauseUs, longestPauseUs));
                book.settle(req);
            });
        }
    }

    /** Looks at the limits again in time, as long as somebody waits. */
    private void look() {
        long nowUs = turn.nowUs();
        long nextUs = looking ? Long.MAX_VALUE : admission.nextUs(nowUs);
        if (nextUs < Long.MAX_VALUE) {
            looking = true;
            turn.in(Math.min(nextUs - nowUs, LOOK_US), () -> {
                looking = false;
                admission.due(turn.nowUs());
                look();
            });
        }
    }

    public void left(InFlightRequest req) {
        early.leave(req);
        book.left(req);
    }
}
