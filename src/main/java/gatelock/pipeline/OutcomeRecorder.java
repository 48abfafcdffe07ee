package gatelock.pipeline;

import gatelock.net.EventLoop;
import gatelock.state.Counters;
import gatelock.state.InFlightRequest;
import gatelock.state.InFlightRequests;
import gatelock.state.UpstreamResponse;
import gatelock.api.AttemptResult;
import gatelock.api.LoadReport;

/** Last stage: whatever ended is told to the decisions and counted, and what is settled is forgotten. */
public final class OutcomeRecorder {
    private final EventLoop turn;
    private final InFlightRequests open;
    private final Counters counters;
    private final ResponseWriter relayBack;

    public OutcomeRecorder(EventLoop turn, InFlightRequests open, Counters counters, ResponseWriter relayBack) {
        this.turn = turn;
        this.open = open;
        this.counters = counters;
        this.relayBack = relayBack;
    }

    /** A try has ended; the first that completed is the req's answer. */
    public void ended(InFlightRequest req, int tryNo, AttemptResult ending, long tookUs, UpstreamResponse answer) {
        counters.ended(ending);
        if (ending == AttemptResult.COMPLETED && !req.over()) {
            relayBack.completed(req, answer);
        }
        req.handle().ended(turn.nowUs(), tryNo, ending, tookUs, req.over(), LoadReport.NONE);
        settle(req);
    }

    /** The caller has left. */
    void left(InFlightRequest req) {
        if (!req.over()) {
            counters.add("callers left");
            open.close(req);
            if (req.taken()) {
                req.handle().concluded(turn.nowUs());
            }
            settle(req);
        }
    }

    /**
     * Forgets a req once it is answered and its last try has ended; an answer may still be on its way out.
     */
    void settle(InFlightRequest req) {
        if (req.over() && (!req.taken() || req.handle().settled())) {
            open.forget(req);
        }
    }
}
