package gatelock.pipeline;

import gatelock.api.AttemptResult;
import gatelock.api.LoadReport;
import gatelock.net.EventLoop;
import gatelock.state.Counters;
import gatelock.state.InFlightRequest;
import gatelock.state.InFlightRequests;
import gatelock.state.UpstreamResponse;

/** Last stage: counts the end of each attempt, reports it to the decision engine and removes settled requests. */
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
     * @param responseWriter forwards the first complete response to a request
     */
    public OutcomeRecorder(
            EventLoop eventLoop, InFlightRequests inFlight, Counters counters, ResponseWriter responseWriter) {
        this.eventLoop = eventLoop;
        this.inFlight = inFlight;
        this.counters = counters;
        this.responseWriter = responseWriter;
    }

    /**
     * Records that an attempt has ended. The response of the first completed attempt is forwarded to the client.
     *
     * @param request the request
     * @param attemptNo the number of the attempt
     * @param result how the attempt ended
     * @param durationUs how long the attempt took, in microseconds
     * @param response the response of the endpoint; required if {@code result} is {@link AttemptResult#COMPLETED},
     *     otherwise ignored
     */
    public void attemptEnded(
            InFlightRequest request, int attemptNo, AttemptResult result, long durationUs, UpstreamResponse response) {
        counters.attemptEnded(result);
        if (result == AttemptResult.COMPLETED && !request.isCompleted()) {
            responseWriter.forward(request, response);
        }
        request.handle()
                .attemptEnded(eventLoop.nowUs(), attemptNo, result, durationUs, request.isCompleted(), LoadReport.NONE);
        removeIfSettled(request);
    }

    /** Records that the client of a request has closed the connection. */
    void clientDisconnected(InFlightRequest request) {
        if (!request.isCompleted()) {
            counters.increment("callers left");
            inFlight.markAbandoned(request);
            request.runCompletionAction();
            if (request.isAccepted()) {
                request.handle().responseNoLongerOwed(eventLoop.nowUs());
            }
            removeIfSettled(request);
        }
    }

    /** Removes a request if it is completed and its last attempt has ended. Its response may still be in transit. */
    void removeIfSettled(InFlightRequest request) {
        if (request.isCompleted() && (!request.isAccepted() || request.handle().isSettled())) {
            inFlight.remove(request);
        }
    }
}
