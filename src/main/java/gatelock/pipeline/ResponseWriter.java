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
        complete(request, "completed", () -> request.responseSink().forward(response));
    }

    /** Rejects a request, unless it is completed. If {@code retryAfterUs} is 0, no Retry-After is sent. */
    void reject(InFlightRequest request, long retryAfterUs) {
        if (!request.isCompleted()) {
            complete(request, "shed", () -> request.responseSink().reject(retryAfterUs));
        }
    }

    /** Reports a request as failed, unless it is completed. */
    void fail(InFlightRequest request) {
        if (!request.isCompleted()) {
            boolean timedOut = eventLoop.nowUs() >= request.deadlineUs();
            complete(request, "errored", () -> request.responseSink().fail(timedOut));
        }
    }

    /** Completes a request and responds, even if the completion action throws. */
    private void complete(InFlightRequest request, String counter, Runnable response) {
        counters.increment(counter);
        inFlight.markCompleted(request);
        try {
            request.runCompletionAction();
        } finally {
            response.run();
        }
    }
}
