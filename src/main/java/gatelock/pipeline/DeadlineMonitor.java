package gatelock.pipeline;

import gatelock.net.EventLoop;
import gatelock.state.InFlightRequest;
import gatelock.state.InFlightRequests;
import java.util.List;

/**
 * Ends requests that have no response some time after their deadline. The decision engine answers each request by its
 * deadline; this guards against a response that is lost with an exception that cannot be attributed to its request, for
 * example one thrown while the engine handles a timer. It does harm only if the engine is later than the grace period,
 * in which case its own response would have been too late as well.
 */
public final class DeadlineMonitor {
    /** Leaves the decision engine time to answer first, and is shorter than the 0.5 s after which a response is lost. */
    private static final long GRACE_US = 250_000;

    private static final long CHECK_INTERVAL_US = 100_000;

    private final EventLoop eventLoop;
    private final InFlightRequests inFlight;
    private final RequestFailureHandler failures;

    /**
     * Creates a monitor, which does nothing before {@link #start}.
     *
     * @param eventLoop the I/O thread
     * @param inFlight the requests in flight
     * @param failures ends the requests
     */
    public DeadlineMonitor(EventLoop eventLoop, InFlightRequests inFlight, RequestFailureHandler failures) {
        this.eventLoop = eventLoop;
        this.inFlight = inFlight;
        this.failures = failures;
    }

    /** Checks the requests in flight periodically from now on. */
    public void start() {
        eventLoop.scheduleRepeatedly(CHECK_INTERVAL_US, this::check);
    }

    private void check() {
        List<InFlightRequest> overdue = inFlight.unansweredAt(eventLoop.nowUs() - GRACE_US);
        if (!overdue.isEmpty()) {
            // If the thread was delayed, the response may be among the tasks that are queued already.
            eventLoop.execute(() -> overdue.forEach(this::endIfUnanswered));
        }
    }

    private void endIfUnanswered(InFlightRequest request) {
        if (!request.isCompleted()) {
            failures.end(request, "no response by the deadline, the request is ended", null);
        }
    }
}
