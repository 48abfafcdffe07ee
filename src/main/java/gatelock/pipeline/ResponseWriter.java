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

    void completed(InFlightRequest request, UpstreamResponse answer) {
        counters.add("completed");
        open.close(request);
        request.caller().completed(answer);
    }

    void shed(InFlightRequest request, long pauseUs) {
        if (!request.over()) {
            counters.add("shed");
            open.close(request);
            request.caller().shed(pauseUs);
        }
    }

    void errored(InFlightRequest request) {
        if (!request.over()) {
            counters.add("errored");
            open.close(request);
            request.caller().errored(turn.nowUs() >= request.endUs());
        }
    }
}
