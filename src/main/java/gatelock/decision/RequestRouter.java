package gatelock.decision;

import gatelock.api.AttemptResult;
import gatelock.api.LoadReport;
import gatelock.api.RelaySettings;
import gatelock.api.RoutePolicy;
import java.util.HashMap;
import java.util.Map;

/** The path of a request: its first attempt, its retries, and its final answer where no endpoint gives one. */
final class RequestRouter {
    /** The pause that a rejected client is advised, where clients heed one. */
    private static final long REJECT_PAUSE_US = 500_000;

    private final DecisionContext context;
    private final EndpointRegistry registry;
    private final AdmissionControl admission;
    private final EndpointSelector selector;
    private final RetryBudget retryBudget;
    private final OutlierDetector outliers;
    private final AttemptResultRecorder recorder;
    private final Map<Long, RequestState> openRequests = new HashMap<>();
    private long nextToken;

    /** Uses timer tokens from the given one on. */
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

    /** Takes a request whose client waits for {@code leftUs} from now, and sends its first attempt. */
    RequestState take(RequestState.Arrival arrival, long leftUs) {
        int route = arrival.route();
        RoutePolicy policy = context.settings().routes().get(route);
        long costUs = arrival.announcedUs() > 0
                ? arrival.announcedUs()
                : context.latency().costUs(route);
        RequestState request = new RequestState(this, context.clock(), arrival, policy, costUs, nextToken++);
        registry.builds().forEach(build -> build.earnExposure(route));
        retryBudget.requestArrived();
        admission.requestArrived(arrival.tenant());
        context.throughput().requestArrived(costUs);
        openRequests.put(request.token(), request);
        context.actions().scheduleTimer(leftUs, request.token());
        sendAttempt(request);
        return request;
    }

    /** A timer is due: tells whether it was the deadline of a request, which is then answered. */
    boolean onTimer(long token) {
        RequestState request = openRequests.get(token);
        if (request == null) {
            return false;
        }
        reject(request);
        return true;
    }

    /** The ordinary path, for a first attempt and for any retry. */
    private void sendAttempt(RequestState request) {
        EndpointState endpoint = admission.admits(request) ? selectEndpoint(request) : null;
        if (endpoint == null || request.isPastDeadline()) {
            reject(request);
            return;
        }
        endpoint.build().spendExposure(request.route());
        Attempt attempt = new Attempt(request, endpoint, context.nowUs());
        request.attemptSent(attempt);
        outliers.attemptSent(attempt);
        admission.attemptSent(attempt);
        endpoint.attemptSent(attempt);
        context.actions()
                .sendAttempt(request.id(), endpoint.id(), request.constraints().attemptTimeoutUs());
    }

    /**
     * First attempts fill the cap of the canary build. The rest goes to the released build, and what it has no capacity for
     * to those before it. A retry goes to the canary only if nowhere else, as first attempts have the cap.
     */
    private EndpointState selectEndpoint(RequestState request) {
        boolean canaryFirst = request.isFirstAttempt();
        EndpointState endpoint = selector.select(request, canaryFirst);
        return endpoint != null ? endpoint : selector.select(request, !canaryFirst);
    }

    /** Whether an attempt that was sent may still go, asked before its first byte. */
    boolean maySend(Attempt attempt) {
        return !attempt.request().isConcluded()
                && registry.mayReceive(attempt.endpoint())
                && attempt.request().mayBeSentTo(attempt.endpoint(), attempt.number());
    }

    /** An attempt has ended; {@code isAnswered} tells whether its request has its final answer. */
    void attemptEnded(Attempt attempt, long tookUs, boolean isAnswered, LoadReport load) {
        RequestState request = attempt.request();
        request.attemptEnded();
        admission.attemptEnded(attempt);
        outliers.attemptEnded(attempt);
        recorder.record(attempt, tookUs, load);
        if (request.isConcluded()) {
            return;
        }
        if (isAnswered || attempt.result() == AttemptResult.COMPLETED) {
            conclude(request);
        } else if (request.isPastDeadline() || !request.hasAttemptsInFlight()) {
            retryOrReject(request);
        }
    }

    /** An attempt has failed: one more, within the budget, or the final answer at once. */
    private void retryOrReject(RequestState request) {
        AttemptResult last = request.lastAttempt().result();
        double price = RetryBudget.priceAfter(last);
        if (mayRetry(request, last, price)) {
            retryBudget.spend(price);
            sendAttempt(request);
        } else {
            reject(request);
        }
    }

    /** The request's own constraints are asked last, as their consent counts as the retry. */
    private boolean mayRetry(RequestState request, AttemptResult last, double price) {
        RelaySettings settings = context.settings();
        int maxAttempts = Math.min(settings.maxAttempts(), request.constraints().maxAttempts());
        return !request.isPastDeadline()
                && (request.neverRan() || !request.isNonRetriable())
                && retryBudget.covers(price)
                && request.attempts().size() < maxAttempts
                && request.constraints().acquireRetry(context.nowUs(), last);
    }

    /** The final answer without an endpoint: rejected where a repeat is harmless, else an error. */
    private void reject(RequestState request) {
        boolean isHarmless = !request.isPastDeadline() && request.isHarmlessToRepeat();
        conclude(request);
        if (isHarmless) {
            context.actions().shedRequest(request.id(), rejectPauseUs());
        } else {
            context.actions().failRequest(request.id());
        }
    }

    private long rejectPauseUs() {
        RelaySettings settings = context.settings();
        return settings.retryAfterHonored() ? Math.min(settings.maxRetryAfterUs(), REJECT_PAUSE_US) : 0;
    }

    /** Nobody waits for an answer to this request any more. */
    void conclude(RequestState request) {
        request.conclude();
        openRequests.remove(request.token());
    }
}
