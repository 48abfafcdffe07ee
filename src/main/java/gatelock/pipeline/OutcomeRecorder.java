package gatelock.pipeline;

import gatelock.api.AttemptResult;
import gatelock.api.LoadReport;
import gatelock.net.EventLoop;
import gatelock.state.Counters;
import gatelock.state.InFlightRequest;
import gatelock.state.InFlightRequests;
import gatelock.state.UpstreamResponse;

/**
 * Last stage: the end of an attempt is counted and reported to the decision engine, and settled requests are removed.
 */
public final class OutcomeRecorder {
    private final EventLoop eventLoop;
    private final InFlightRequests inFlight;
    private final Counters counters;
    private final ResponseWriter responseWriter;

    /**
     * Creates the stage.
     *
     * @param eventLoop the I/O thread
     * @param inFlight the requests in flight
     * @param counters counts attempts by result
     * @param responseWriter answers a request with its first complete response
     */
    public OutcomeRecorder(
            EventLoop eventLoop, InFlightRequests inFlight, Counters counters, ResponseWriter responseWriter) {
        this.eventLoop = eventLoop;
        this.inFlight = inFlight;
        this.counters = counters;
        this.responseWriter = responseWriter;
    }

    /**
     * Records that an attempt has ended. The first one that completed answers the request.
     *
     * @param request the request
     * @param attemptNo the number of the attempt
     * @param result how it ended
     * @param tookUs how long it took, in microseconds
     * @param response the endpoint's response; required if {@code result} is {@link AttemptResult#COMPLETED}, else
     *     unused
     */
    public void attemptEnded(
            InFlightRequest request, int attemptNo, AttemptResult result, long tookUs, UpstreamResponse response) {
        counters.attemptEnded(result);
        if (result == AttemptResult.COMPLETED && !request.isOver()) {
            responseWriter.forward(request, response);
        }
        request.handle().attemptEnded(eventLoop.nowUs(), attemptNo, result, tookUs, request.isOver(), LoadReport.NONE);
        removeIfSettled(request);
    }

    /** Records that the client of a request has left. */
    void clientLeft(InFlightRequest request) {
        if (!request.isOver()) {
            counters.increment("callers left");
            inFlight.markOver(request);
            if (request.isAccepted()) {
                request.handle().responseNoLongerOwed(eventLoop.nowUs());
            }
            removeIfSettled(request);
        }
    }

    /** Removes a request that is over and whose last attempt has ended; its response may still be on its way out. */
    void removeIfSettled(InFlightRequest request) {
        if (request.isOver() && (!request.isAccepted() || request.handle().isSettled())) {
            inFlight.remove(request);
        }
    }
}
