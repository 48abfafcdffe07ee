package gatelock.pipeline;

import gatelock.api.DecisionEngine;
import gatelock.api.RequestConstraints;
import gatelock.config.Admission;
import gatelock.config.QueuedRequest;
import gatelock.config.StartupQueue;
import gatelock.net.EventLoop;
import gatelock.state.Counters;
import gatelock.state.InFlightRequest;
import gatelock.state.InFlightRequests;

/**
 * Second stage: a request in good form asks the plan's limits, where there is a plan, and is handed to the
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
    public RequestAdmitter(
            EventLoop turn,
            InFlightRequests open,
            Counters counters,
            OutcomeRecorder book,
            ResponseWriter relayBack,
            DecisionEngine gate,
            Admission admission,
            long longestPauseUs) {
        this.turn = turn;
        this.open = open;
        this.counters = counters;
        this.book = book;
        this.relayBack = relayBack;
        this.gate = gate;
        this.admission = admission;
        this.longestPauseUs = longestPauseUs;
    }

    /** Whether a request of this id is still open, so that another can't be told from it. */
    public boolean isOpen(String id) {
        return open.get(id) != null;
    }

    /** @param way where the plan leads it, or null: no plan, or none of its routes is for it */
    public void admit(InFlightRequest request, Admission.Way way, int route, int tenant, long key, long costUs) {
        counters.add("taken");
        open.add(request);
        if (way == null) {
            decide(request, route, tenant, key, costUs, RequestConstraints.NONE);
            return;
        }
        Passage passage = new Passage(request, route, tenant, key, costUs);
        Admission.Pass pass = admission.ask(turn.nowUs(), way, tenant, request.endUs(), passage);
        passage.pass = pass;
        request.whenOver(() -> {
            pass.over(turn.nowUs());
            look();
        });
        if (pass.shed()) {
            passage.shed(turn.nowUs(), pass.pauseUs());
        } else if (pass.waits()) {
            counters.add("waited for limits");
            look();
        } else {
            decide(request, route, tenant, key, costUs, pass);
        }
    }

    /** From now on the decisions know where requests may go; those that came before go first. Tells how many. */
    public int open() {
        return early.open();
    }

    private void decide(
            InFlightRequest request, int route, int tenant, long key, long costUs, RequestConstraints bounds) {
        if (!early.isOpen()) {
            long waitsUs = early.come(
                    turn.nowUs(), request.endUs(), request, () -> decide(request, route, tenant, key, costUs, bounds));
            turn.in(waitsUs, () -> {
                if (early.leave(request)) {
                    counters.add("given up before listed");
                    relayBack.shed(request, Math.min(longestPauseUs, waitsUs));
                    book.settle(request);
                }
            });
            return;
        }
        long nowUs = turn.nowUs();
        request.taken(gate.take(
                nowUs, request.id(), route, tenant, key, Math.max(1, request.endUs() - nowUs), costUs, bounds));
        book.settle(request);
    }

    /** A request on its way past its limits. */
    private final class Passage implements QueuedRequest {
        private final InFlightRequest request;
        private final int route;
        private final int tenant;
        private final long key;
        private final long costUs;
        private Admission.Pass pass;

        Passage(InFlightRequest request, int route, int tenant, long key, long costUs) {
            this.request = request;
            this.route = route;
            this.tenant = tenant;
            this.key = key;
            this.costUs = costUs;
        }

        @Override
        public void passes(long nowUs) {
            // Its turn may come while the decisions are at work on another.
            turn.soon(() -> {
                if (!request.over()) {
                    decide(request, route, tenant, key, costUs, pass);
                }
            });
        }

        @Override
        public void shed(long nowUs, long pauseUs) {
            counters.add("shed by limits");
            turn.soon(() -> {
                relayBack.shed(request, Math.min(pauseUs, longestPauseUs));
                book.settle(request);
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

    public void left(InFlightRequest request) {
        early.leave(request);
        book.left(request);
    }
}
