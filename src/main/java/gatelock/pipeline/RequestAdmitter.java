package gatelock.pipeline;

import gatelock.api.DecisionEngine;
import gatelock.api.RequestConstraints;
import gatelock.config.Admission;
import gatelock.config.QueuedRequest;
import gatelock.config.StartupQueue;
import gatelock.net.EventLoop;
import gatelock.state.Counters;
import gatelock.state.InFlightRequest;
import gatelock.state.InFlightRequests;

/**
 * Second stage: a valid request passes the limits of the configuration in force, if there is one, and is handed to the
 * decision engine. From here on it is owed an answer.
 */
public final class RequestAdmitter {
    /** The longest time between two checks of the limits while a request is queued for them. */
    private static final long MAX_CHECK_INTERVAL_US = 10_000;

    private final EventLoop eventLoop;
    private final InFlightRequests inFlight;
    private final Counters counters;
    private final OutcomeRecorder outcomeRecorder;
    private final ResponseWriter responseWriter;
    private final DecisionEngine engine;
    private final Admission admission;
    private final long maxRetryAfterUs;
    private final StartupQueue<InFlightRequest> startupQueue = new StartupQueue<>();
    private boolean checkScheduled;

    /**
     * Creates the stage; requests are queued until the endpoints are known.
     *
     * @param eventLoop the I/O thread
     * @param inFlight where accepted requests are kept
     * @param counters counts accepted and rejected requests
     * @param outcomeRecorder learns of the requests that end here
     * @param responseWriter answers the requests that are rejected here
     * @param engine decides on the requests
     * @param admission the limits of the configuration in force; null if the relay has no such configuration
     * @param maxRetryAfterUs the longest Retry-After given to a client, in microseconds; 0 for none
     */
    public RequestAdmitter(
            EventLoop eventLoop,
            InFlightRequests inFlight,
            Counters counters,
            OutcomeRecorder outcomeRecorder,
            ResponseWriter responseWriter,
            DecisionEngine engine,
            Admission admission,
            long maxRetryAfterUs) {
        this.eventLoop = eventLoop;
        this.inFlight = inFlight;
        this.counters = counters;
        this.outcomeRecorder = outcomeRecorder;
        this.responseWriter = responseWriter;
        this.engine = engine;
        this.admission = admission;
        this.maxRetryAfterUs = maxRetryAfterUs;
    }

    /** Whether a request of this id is in flight, so that another of the same id could not be told from it. */
    public boolean isInFlight(String id) {
        return inFlight.get(id) != null;
    }

    /**
     * Accepts a valid request; exactly one response will follow.
     *
     * @param request the request
     * @param way where the configuration in force leads it; null if there is none, or if none of its routes matches
     * @param profile what the decision engine learns of it
     */
    public void admit(InFlightRequest request, Admission.Way way, RequestProfile profile) {
        counters.add("taken");
        inFlight.add(request);
        if (way == null) {
            decide(request, profile, RequestConstraints.NONE);
            return;
        }
        LimitedRequest limited = new LimitedRequest(request, profile);
        Admission.Pass pass = admission.ask(eventLoop.nowUs(), way, profile.tenant(), request.endUs(), limited);
        limited.pass = pass;
        request.whenOver(() -> {
            pass.over(eventLoop.nowUs());
            scheduleLimitCheck();
        });
        if (pass.shed()) {
            limited.shed(eventLoop.nowUs(), pass.pauseUs());
        } else if (pass.waits()) {
            counters.add("waited for limits");
            scheduleLimitCheck();
        } else {
            decide(request, profile, pass);
        }
    }

    /**
     * Tells that the decision engine knows the endpoints from now on. Requests that were queued until now go first, in
     * order.
     *
     * @return how many were queued
     */
    public int open() {
        return startupQueue.open();
    }

    private void decide(InFlightRequest request, RequestProfile profile, RequestConstraints constraints) {
        if (startupQueue.isOpen()) {
            long nowUs = eventLoop.nowUs();
            request.accepted(engine.take(
                    nowUs,
                    request.id(),
                    profile.route(),
                    profile.tenant(),
                    profile.key(),
                    Math.max(1, request.endUs() - nowUs),
                    profile.costUs(),
                    constraints));
            outcomeRecorder.removeIfSettled(request);
        } else {
            queueForStartup(request, () -> decide(request, profile, constraints));
        }
    }

    private void queueForStartup(InFlightRequest request, Runnable decision) {
        long maxWaitUs = startupQueue.come(eventLoop.nowUs(), request.endUs(), request, decision);
        eventLoop.in(maxWaitUs, () -> {
            if (startupQueue.leave(request)) {
                counters.add("given up before listed");
                reject(request, maxWaitUs);
            }
        });
    }

    private void reject(InFlightRequest request, long pauseUs) {
        responseWriter.reject(request, Math.min(pauseUs, maxRetryAfterUs));
        outcomeRecorder.removeIfSettled(request);
    }

    /** A request subject to limits. */
    private final class LimitedRequest implements QueuedRequest {
        private final InFlightRequest request;
        private final RequestProfile profile;
        private Admission.Pass pass;

        LimitedRequest(InFlightRequest request, RequestProfile profile) {
            this.request = request;
            this.profile = profile;
        }

        @Override
        public void passes(long nowUs) {
            // This may be called while the decision engine is at work on another request, hence not at once.
            eventLoop.soon(() -> {
                if (!request.over()) {
                    decide(request, profile, pass);
                }
            });
        }

        @Override
        public void shed(long nowUs, long pauseUs) {
            counters.add("shed by limits");
            eventLoop.soon(() -> reject(request, pauseUs));
        }
    }

    /** Schedules the next check of the limits, if a request is queued for them and no check is scheduled yet. */
    private void scheduleLimitCheck() {
        if (checkScheduled) {
            return;
        }
        long nowUs = eventLoop.nowUs();
        long nextUs = admission.nextUs(nowUs);
        if (nextUs == Long.MAX_VALUE) {
            return;
        }
        checkScheduled = true;
        eventLoop.in(Math.min(nextUs - nowUs, MAX_CHECK_INTERVAL_US), () -> {
            checkScheduled = false;
            admission.due(eventLoop.nowUs());
            scheduleLimitCheck();
        });
    }

    /** Tells that a request's client has left: nothing is owed any more. */
    public void clientLeft(InFlightRequest request) {
        startupQueue.leave(request);
        outcomeRecorder.clientLeft(request);
    }
}
