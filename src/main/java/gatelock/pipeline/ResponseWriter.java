package gatelock.pipeline;

import gatelock.net.EventLoop;
import gatelock.state.Counters;
import gatelock.state.InFlightRequest;
import gatelock.state.InFlightRequests;
import gatelock.state.UpstreamResponse;

/** Fifth stage: sends the final response to the client. */
public final class ResponseWriter {
    private final EventLoop eventLoop;
    private final InFlightRequests inFlight;
    private final Counters counters;

    /**
     * Creates the stage.
     *
     * @param eventLoop the I/O thread
     * @param inFlight the requests in flight
     * @param counters counts the responses by outcome
     */
    public ResponseWriter(EventLoop eventLoop, InFlightRequests inFlight, Counters counters) {
        this.eventLoop = eventLoop;
        this.inFlight = inFlight;
        this.counters = counters;
    }

    /** Forwards the response of an endpoint to the client of a request that is not completed. */
    void forward(InFlightRequest request, UpstreamResponse response) {
        counters.increment("completed");
        inFlight.markCompleted(request);
        request.responseSink().forward(response);
    }

    /** Rejects a request, unless it is completed. If {@code retryAfterUs} is 0, no Retry-After is sent. */
    void reject(InFlightRequest request, long retryAfterUs) {
        if (!request.isCompleted()) {
            counters.increment("shed");
            inFlight.markCompleted(request);
            request.responseSink().reject(retryAfterUs);
        }
    }

    /** Reports a request as failed, unless it is completed. */
    void fail(InFlightRequest request) {
        if (!request.isCompleted()) {
            counters.increment("errored");
            inFlight.markCompleted(request);
            request.responseSink().fail(eventLoop.nowUs() >= request.deadlineUs());
        }
    }
}
