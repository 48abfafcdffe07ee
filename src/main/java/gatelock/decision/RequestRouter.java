package gatelock.decision;

import gatelock.api.AttemptResult;
import gatelock.api.LoadReport;
import gatelock.api.RelaySettings;
import gatelock.api.RoutePolicy;
import java.util.HashMap;
import java.util.Map;

/** Routes requests: sends first attempts and retries, and answers a request itself if no endpoint does. */
final class RequestRouter {
    /** The Retry-After of a shed request, if clients honor one. */
    private static final long SHED_RETRY_AFTER_US = 500_000;

    private final DecisionContext context;
    private final EndpointRegistry registry;
    private final AdmissionControl admission;
    private final EndpointSelector selector;
    private final RetryBudget retryBudget;
    private final OutlierDetector outliers;
    private final AttemptResultRecorder recorder;
    private final Map<Long, RequestState> openRequests = new HashMap<>();
    private long nextToken;

    /** Creates a router whose timer tokens start at {@code firstToken}. */
    RequestRouter(
            DecisionContext context,
            EndpointRegistry registry,
            AdmissionControl admission,
            EndpointSelector selector,
            RetryBudget retryBudget,
            OutlierDetector outliers,
            AttemptResultRecorder recorder,
            long firstToken) {
        this.context = context;
        this.registry = registry;
        this.admission = admission;
        this.selector = selector;
        this.retryBudget = retryBudget;
        this.outliers = outliers;
        this.recorder = recorder;
        this.nextToken = firstToken;
    }

    /** Accepts a request whose client waits for {@code remainingUs} from now, and sends its first attempt. */
    RequestState accept(RequestState.Arrival arrival, long remainingUs) {
        int route = arrival.route();
        RoutePolicy policy = context.settings().routes().get(route);
        long costUs = arrival.announcedCostUs() > 0
                ? arrival.announcedCostUs()
                : context.latency().costUs(route);
        RequestState request = new RequestState(this, context.clock(), arrival, policy, costUs, nextToken++);
        registry.builds().forEach(build -> build.creditExposure(route));
        retryBudget.requestArrived();
        admission.requestArrived(arrival.tenant());
        context.throughput().requestArrived(costUs);
        openRequests.put(request.token(), request);
        context.actions().scheduleTimer(remainingUs, request.token());
        try {
            sendAttempt(request);
        } catch (RuntimeException | Error e) {
            // The caller gets no handle and answers the request itself.
            conclude(request);
            throw e;
        }
        return request;
    }

    /** Handles a timer. Returns whether the timer was the deadline of an open request, which is then answered. */
    boolean onTimer(long token) {
        RequestState request = openRequests.get(token);
        if (request == null) {
            return false;
        }
        shedOrFail(request);
        return true;
    }

    /** Sends an attempt, the first one or a retry, or answers the request if no attempt is possible. */
    private void sendAttempt(RequestState request) {
        EndpointState endpoint = admission.admits(request) ? selectEndpoint(request) : null;
        if (endpoint == null || request.isPastDeadline()) {
            shedOrFail(request);
            return;
        }
        endpoint.build().spendExposure(request.route());
        Attempt attempt = new Attempt(request, endpoint, context.nowUs());
        request.attemptSent(attempt);
        outliers.attemptSent(attempt);
        admission.attemptSent(attempt);
        endpoint.attemptSent(attempt);
        context.actions()
                .sendAttempt(
                        request.id(), endpoint.name(), request.constraints().attemptTimeoutUs());
    }

    /**
     * Selects an endpoint. First attempts go to the canary build as far as its cap allows; the remaining requests go to
     * the released build and, if it has no capacity, to earlier builds. A retry goes to the canary only if no other
     * endpoint is available, as the cap is meant for first attempts.
     */
    private EndpointState selectEndpoint(RequestState request) {
        boolean canaryFirst = request.isFirstAttempt();
        EndpointState endpoint = selector.select(request, canaryFirst);
        return endpoint != null ? endpoint : selector.select(request, !canaryFirst);
    }

    /** Whether an attempt that was ordered may still start; asked before its first byte is sent. */
    boolean mayStart(Attempt attempt) {
        return !attempt.request().isConcluded()
                && registry.mayReceive(attempt.endpoint())
                && attempt.request().mayBeSentTo(attempt.endpoint(), attempt.number());
    }

    /** Processes the end of an attempt; {@code isAnswered} tells whether its request has its final answer. */
    void attemptEnded(Attempt attempt, long durationUs, boolean isAnswered, LoadReport load) {
        RequestState request = attempt.request();
        request.attemptEnded();
        admission.attemptEnded(attempt);
        outliers.attemptEnded(attempt);
        recorder.record(attempt, durationUs, load);
        if (request.isConcluded()) {
            return;
        }
        if (isAnswered || attempt.result() == AttemptResult.COMPLETED) {
            conclude(request);
        } else if (request.isPastDeadline() || !request.hasAttemptsInFlight()) {
            retryOrConclude(request);
        }
    }

    /** Retries a request whose attempt failed, if the limits allow it; otherwise gives the final answer at once. */
    private void retryOrConclude(RequestState request) {
        AttemptResult last = request.lastAttempt().result();
        double cost = RetryBudget.costAfter(last);
        if (mayRetry(request, last, cost)) {
            retryBudget.spend(cost);
            sendAttempt(request);
        } else {
            shedOrFail(request);
        }
    }

    /**
     * Whether a request may be retried. Its own constraints are asked last, because a retry that they grant is charged
     * to their retry budget.
     */
    private boolean mayRetry(RequestState request, AttemptResult last, double cost) {
        RelaySettings settings = context.settings();
        int maxAttempts = Math.min(settings.maxAttempts(), request.constraints().maxAttempts());
        return !request.isPastDeadline()
                && (request.neverExecuted() || !request.isNonRetriable())
                && retryBudget.covers(cost)
                && request.attempts().size() < maxAttempts
                && request.constraints().acquireRetry(context.nowUs(), last);
    }

    /** Gives the final answer without an endpoint: sheds a request that can safely be retried, and fails any other. */
    private void shedOrFail(RequestState request) {
        boolean isSafeToRetry = !request.isPastDeadline() && request.isSafeToRetry();
        conclude(request);
        if (isSafeToRetry) {
            context.actions().shedRequest(request.id(), retryAfterUs());
        } else {
            context.actions().failRequest(request.id());
        }
    }

    private long retryAfterUs() {
        RelaySettings settings = context.settings();
        return settings.retryAfterHonored() ? Math.min(settings.maxRetryAfterUs(), SHED_RETRY_AFTER_US) : 0;
    }

    /** Marks a request as one that needs no answer any more. */
    void conclude(RequestState request) {
        request.conclude();
        openRequests.remove(request.token());
    }
}
