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
 * Second stage: applies the limits of the active configuration version, if there is one, to a valid request and passes
 * it to the decision engine. From this stage on, the relay owes the client a response.
 */
public final class RequestAdmitter {
    /** The maximum time between two checks of the limits while requests are queued for them. */
    private static final long MAX_CHECK_INTERVAL_US = 10_000;

    private final EventLoop eventLoop;
    private final InFlightRequests inFlight;
    private final Counters counters;
    private final OutcomeRecorder outcomeRecorder;
    private final ResponseWriter responseWriter;
    private final RequestFailureHandler failures;
    private final DecisionEngine engine;
    private final Admission admission;
    private final long maxRetryAfterUs;
    private final StartupQueue<InFlightRequest> startupQueue = new StartupQueue<>();
    private boolean checkScheduled;

    /**
     * Creates the stage. Requests are queued until the endpoints are known.
     *
     * @param eventLoop the I/O thread
     * @param inFlight the accepted requests
     * @param counters counts accepted and rejected requests
     * @param outcomeRecorder notified of the requests that end in this stage
     * @param responseWriter responds to the requests that are rejected in this stage
     * @param failures ends the requests on which this stage or the engine fails
     * @param engine decides on the requests
     * @param admission applies the active configuration version, or null if versioned configuration is disabled
     * @param maxRetryAfterUs the maximum Retry-After sent to a client, in microseconds; 0 to send none
     */
    public RequestAdmitter(
            EventLoop eventLoop,
            InFlightRequests inFlight,
            Counters counters,
            OutcomeRecorder outcomeRecorder,
            ResponseWriter responseWriter,
            RequestFailureHandler failures,
            DecisionEngine engine,
            Admission admission,
            long maxRetryAfterUs) {
        this.eventLoop = eventLoop;
        this.inFlight = inFlight;
        this.counters = counters;
        this.outcomeRecorder = outcomeRecorder;
        this.responseWriter = responseWriter;
        this.failures = failures;
        this.engine = engine;
        this.admission = admission;
        this.maxRetryAfterUs = maxRetryAfterUs;
    }

    /**
     * Returns whether a request must not be accepted because of its id: a request with the same id is in flight, from
     * which it could not be distinguished, or may have been executed already for a client that left.
     *
     * @param id the id of the request
     * @param repeatable whether the request may be executed more than once
     */
    public boolean isDuplicate(String id, boolean repeatable) {
        return inFlight.get(id) != null || (!repeatable && inFlight.wasAbandoned(id));
    }

    /**
     * Accepts a valid request, to which exactly one response will be sent unless its client leaves first. Does not
     * throw: if processing the request fails, the request is ended with an error.
     *
     * @param request the request
     * @param matchedRoute the route of the active configuration version that matches it, or null if there is no version
     *     or no route matches
     * @param profile the properties of the request that the decision engine uses
     */
    public void admit(InFlightRequest request, Admission.MatchedRoute matchedRoute, RequestProfile profile) {
        counters.increment("taken");
        inFlight.add(request);
        failures.run(request, () -> {
            if (matchedRoute == null) {
                submitToEngine(request, profile, RequestConstraints.NONE);
            } else {
                submitToLimits(request, matchedRoute, profile);
            }
        });
    }

    private void submitToLimits(InFlightRequest request, Admission.MatchedRoute matchedRoute, RequestProfile profile) {
        LimitedRequest limitedRequest = new LimitedRequest(request, profile);
        Admission.RoutedRequest routedRequest = admission.admit(
                eventLoop.nowUs(), matchedRoute, profile.tenant(), request.deadlineUs(), limitedRequest);
        limitedRequest.routedRequest = routedRequest;
        request.onCompleted(() -> {
            routedRequest.release(eventLoop.nowUs());
            scheduleLimitCheck();
        });
        if (routedRequest.isShed()) {
            limitedRequest.onShed(eventLoop.nowUs(), routedRequest.retryAfterUs());
        } else if (routedRequest.isQueued()) {
            counters.increment("waited for limits");
            scheduleLimitCheck();
        } else {
            submitToEngine(request, profile, routedRequest);
        }
    }

    /**
     * Ends the startup phase: the decision engine knows the endpoints from now on. The requests that were queued until
     * now are passed on first, in order.
     *
     * @return the number of requests that were queued
     */
    public int releaseQueued() {
        return startupQueue.openAndDrain();
    }

    private void submitToEngine(InFlightRequest request, RequestProfile profile, RequestConstraints constraints) {
        if (startupQueue.isOpen()) {
            long nowUs = eventLoop.nowUs();
            request.markAccepted(engine.acceptRequest(
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
            queueForStartup(request, () -> failures.run(request, () -> submitToEngine(request, profile, constraints)));
        }
    }

    private void queueForStartup(InFlightRequest request, Runnable submission) {
        long maxWaitUs = startupQueue.add(eventLoop.nowUs(), request.deadlineUs(), request, submission);
        eventLoop.schedule(maxWaitUs, () -> {
            if (startupQueue.remove(request)) {
                counters.increment("given up before listed");
                reject(request, maxWaitUs);
            }
        });
    }

    private void reject(InFlightRequest request, long retryAfterUs) {
        responseWriter.reject(request, Math.min(retryAfterUs, maxRetryAfterUs));
        outcomeRecorder.removeIfSettled(request);
    }

    /** A request to which limits apply. */
    private final class LimitedRequest implements QueuedRequest {
        private final InFlightRequest request;
        private final RequestProfile profile;
        private Admission.RoutedRequest routedRequest;

        LimitedRequest(InFlightRequest request, RequestProfile profile) {
            this.request = request;
            this.profile = profile;
        }

        @Override
        public void onAdmitted(long nowUs) {
            // This method may be called while the decision engine processes another request, so the request is passed
            // to the engine later.
            eventLoop.execute(() -> {
                if (!request.isCompleted()) {
                    failures.run(request, () -> submitToEngine(request, profile, routedRequest));
                }
            });
        }

        @Override
        public void onShed(long nowUs, long retryAfterUs) {
            counters.increment("shed by limits");
            eventLoop.execute(() -> reject(request, retryAfterUs));
        }
    }

    /** Schedules the next check of the limits, if requests are queued for them and no check is scheduled yet. */
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
            try {
                admission.processQueues(eventLoop.nowUs());
            } finally {
                scheduleLimitCheck();
            }
        });
    }

    /** Records that the client of a request has closed the connection, so that no response is owed any more. */
    public void clientDisconnected(InFlightRequest request) {
        startupQueue.remove(request);
        failures.run(request, () -> outcomeRecorder.clientDisconnected(request));
    }
}
