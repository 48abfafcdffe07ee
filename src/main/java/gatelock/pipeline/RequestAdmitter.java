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
    public void admit(InFlightRequest request, Admission.MatchedRoute way, RequestProfile profile) {
        counters.increment("taken");
        inFlight.add(request);
        if (way == null) {
            decide(request, profile, RequestConstraints.NONE);
            return;
        }
        LimitedRequest limited = new LimitedRequest(request, profile);
        Admission.RoutedRequest pass =
                admission.admit(eventLoop.nowUs(), way, profile.tenant(), request.deadlineUs(), limited);
        limited.pass = pass;
        request.onOver(() -> {
            pass.release(eventLoop.nowUs());
            scheduleLimitCheck();
        });
        if (pass.isShed()) {
            limited.onShed(eventLoop.nowUs(), pass.retryAfterUs());
        } else if (pass.isQueued()) {
            counters.increment("waited for limits");
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
    public int releaseQueued() {
        return startupQueue.openAndDrain();
    }

    private void decide(InFlightRequest request, RequestProfile profile, RequestConstraints constraints) {
        if (startupQueue.isOpen()) {
            long nowUs = eventLoop.nowUs();
            request.accepted(engine.acceptRequest(
                    nowUs,
                    request.id(),
                    profile.route(),
                    profile.tenant(),
                    profile.key(),
                    Math.max(1, request.deadlineUs() - nowUs),
                    profile.costUs(),
                    constraints));
            outcomeRecorder.removeIfSettled(request);
        } else {
            queueForStartup(request, () -> decide(request, profile, constraints));
        }
    }

    private void queueForStartup(InFlightRequest request, Runnable decision) {
        long maxWaitUs = startupQueue.add(eventLoop.nowUs(), request.deadlineUs(), request, decision);
        eventLoop.schedule(maxWaitUs, () -> {
            if (startupQueue.remove(request)) {
                counters.increment("given up before listed");
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
        private Admission.RoutedRequest pass;

        LimitedRequest(InFlightRequest request, RequestProfile profile) {
            this.request = request;
            this.profile = profile;
        }

        @Override
        public void onAdmitted(long nowUs) {
            // This may be called while the decision engine is at work on another request, hence not at once.
            eventLoop.execute(() -> {
                if (!request.isOver()) {
                    decide(request, profile, pass);
                }
            });
        }

        @Override
        public void onShed(long nowUs, long pauseUs) {
            counters.increment("shed by limits");
            eventLoop.execute(() -> reject(request, pauseUs));
        }
    }

    /** Schedules the next check of the limits, if a request is queued for them and no check is scheduled yet. */
    private void scheduleLimitCheck() {
        if (checkScheduled) {
            return;
        }
        long nowUs = eventLoop.nowUs();
        long nextUs = admission.nextDueUs(nowUs);
        if (nextUs == Long.MAX_VALUE) {
            return;
        }
        checkScheduled = true;
        eventLoop.schedule(Math.min(nextUs - nowUs, MAX_CHECK_INTERVAL_US), () -> {
            checkScheduled = false;
            admission.processQueues(eventLoop.nowUs());
            scheduleLimitCheck();
        });
    }

    /** Tells that a request's client has left: nothing is owed any more. */
    public void clientLeft(InFlightRequest request) {
        startupQueue.remove(request);
        outcomeRecorder.clientLeft(request);
    }
}
