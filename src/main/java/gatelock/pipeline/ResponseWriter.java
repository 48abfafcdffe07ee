package gatelock.pipeline;

import gatelock.net.EventLoop;
import gatelock.state.Counters;
import gatelock.state.InFlightRequest;
import gatelock.state.InFlightRequests;
import gatelock.state.UpstreamResponse;

/** Fifth stage: the one final answer goes back to the caller. */
public final class ResponseWriter {
    private final EventLoop turn;
    private final InFlightRequests open;
    private final Counters counters;

    public ResponseWriter(EventLoop turn, InFlightRequests open, Counters counters) {
        this.turn = turn;
        this.open = open;
        this.counters = counters;
    }

    void completed(InFlightRequest req, UpstreamResponse answer) {
        counters.add("completed");
        open.close(req);
        req.caller().completed(answer);
    }

    void shed(InFlightRequest req, long pauseUs) {
        if (!req.over()) {
            counters.add("shed");
            open.close(req);
            req.caller().shed(pauseUs);
        }
    }

    void errored(InFlightRequest req) {
        if (!req.over()) {
            counters.add("errored");
            open.close(req);
            req.caller().errored(turn.nowUs() >= req.endUs());
        }
    }
}
