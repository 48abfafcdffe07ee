package gatelock.pipeline;

import gatelock.net.EventLoop;
import gatelock.state.Counters;
import gatelock.state.InFlightRequest;
import gatelock.state.InFlightRequests;
import java.lang.System.Logger.Level;

/**
 * Ends requests whose processing has thrown an unexpected exception. Without it the event loop would only log the
 * exception, the client would never be answered, and its connection would stay open until the client closes it.
 */
public final class RequestFailureHandler {
    private static final System.Logger LOG = System.getLogger("gatelock.pipeline");

    private final EventLoop eventLoop;
    private final InFlightRequests inFlight;
    private final Counters counters;
    private final ResponseWriter responseWriter;

    /**
     * Creates the handler.
     *
     * @param eventLoop the I/O thread
     * @param inFlight the requests in flight
     * @param counters counts the requests that failed
     * @param responseWriter answers them
     */
    public RequestFailureHandler(
            EventLoop eventLoop, InFlightRequests inFlight, Counters counters, ResponseWriter responseWriter) {
        this.eventLoop = eventLoop;
        this.inFlight = inFlight;
        this.counters = counters;
        this.responseWriter = responseWriter;
    }

    /** Runs a step in the processing of a request. If it throws, the request is ended. */
    public void run(InFlightRequest request, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            end(request, "unexpected exception, the request is ended", e);
        }
    }

    /**
     * Ends a request: answers it with an error, unless it is completed, and stops tracking it even if attempts have not
     * ended. Their end has no effect on the client any more.
     *
     * @param request the request
     * @param reason why it is ended, for the log
     * @param cause the exception that was thrown; null if there was none
     */
    void end(InFlightRequest request, String reason, Throwable cause) {
        counters.increment("failed unexpectedly");
        LOG.log(Level.ERROR, reason + ": " + request.id(), cause);
        try {
            responseWriter.fail(request);
        } catch (RuntimeException | Error e) {
            eventLoop.logUnexpected(e);
        }
        try {
            if (request.isAccepted()) {
                request.handle().responseNoLongerOwed(eventLoop.nowUs());
            }
        } catch (RuntimeException | Error e) {
            eventLoop.logUnexpected(e);
        }
        inFlight.remove(request);
    }
}
