package gatelock.pipeline;

import gatelock.api.AttemptResult;
import gatelock.api.LoadReport;
import gatelock.net.EventLoop;
import gatelock.state.Counters;
import gatelock.state.InFlightRequest;
import gatelock.state.InFlightRequests;
import gatelock.state.UpstreamResponse;

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

    /** An attempt has ended; the first that completed is the request's answer. */
    public void ended(
            InFlightRequest request, int attemptNo, AttemptResult ending, long tookUs, UpstreamResponse answer) {
        counters.ended(ending);
        if (ending == AttemptResult.COMPLETED && !request.over()) {
            relayBack.completed(request, answer);
        }
        request.handle().ended(turn.nowUs(), attemptNo, ending, tookUs, request.over(), LoadReport.NONE);
        settle(request);
    }

    /** The caller has left. */
    void left(InFlightRequest request) {
        if (!request.over()) {
            counters.add("callers left");
            open.close(request);
            if (request.taken()) {
                request.handle().concluded(turn.nowUs());
            }
            settle(request);
        }
    }

    /**
     * Forgets a request once it is answered and its last attempt has ended; an answer may still be on its way out.
     */
    void settle(InFlightRequest request) {
        if (request.over() && (!request.taken() || request.handle().settled())) {
            open.forget(request);
        }
    }
}
