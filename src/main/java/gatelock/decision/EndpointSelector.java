package gatelock.decision;

import java.util.Collections;
import java.util.List;

/**
 * Selects endpoints by the power of two choices: of two endpoints drawn at random that may receive the request, the one
 * with the shorter expected wait. An endpoint that may not receive the request is replaced by another draw.
 */
final class EndpointSelector {
    private static final int CHOICES = 2;

    /** An ejected endpoint still receives this share of its retriable requests, so that its recovery is noticed. */
    private static final double PROBE_SHARE = 0.1;

    /** If a new connection has a cost, up to this many endpoints are examined to find two with an idle connection. */
    private static final int IDLE_CONNECTION_CHOICES = 8;

    private final DecisionContext context;
    private final EndpointRegistry registry;
    private final StickyBuilds stickyBuilds;
    private final AdmissionControl admission;
    private final EndpointCapacity capacity;
    private final OutlierDetector outliers;

    /** Creates a selector over the endpoints of the registry. */
    EndpointSelector(
            DecisionContext context,
            EndpointRegistry registry,
            StickyBuilds stickyBuilds,
            AdmissionControl admission,
            EndpointCapacity capacity,
            OutlierDetector outliers) {
        this.context = context;
        this.registry = registry;
        this.stickyBuilds = stickyBuilds;
        this.admission = admission;
        this.capacity = capacity;
        this.outliers = outliers;
    }

    /**
     * Selects an endpoint of a canary build or, if {@code canary} is false, of the newest other build that has one
     * which may receive the request. Returns null if there is none.
     */
    EndpointState select(RequestState request, boolean canary) {
        for (BuildState build : registry.buildsNewestFirst()) {
            if (build.isCanary() == canary && mayReceive(build, request)) {
                EndpointState endpoint = selectFrom(build, request);
                if (endpoint != null) {
                    return endpoint;
                }
            }
        }
        return null;
    }

    private boolean mayReceive(BuildState build, RequestState request) {
        return build.acceptsNewRequests()
                && stickyBuilds.allows(request.key(), build.number(), context.rollout())
                && (!build.isCanary() || canaryMayReceive(build, request));
    }

    private boolean canaryMayReceive(BuildState canary, RequestState request) {
        boolean guarded = context.rollout().isGuardedStage(canary.number());
        return canary.exposure().allows(request.route()) && (!guarded || request.isRetriable());
    }

    private EndpointState selectFrom(BuildState build, RequestState request) {
        EndpointState best = null;
        double share = admission.capacityShare(request);
        boolean connectionsScarce = context.connectFailures().connectionsAreScarce();
        List<EndpointState> endpoints = build.readyEndpoints();
        int choices = 0;
        for (int i = 0; i < endpoints.size() && choices < CHOICES; i++) {
            Collections.swap(endpoints, i, i + context.random().nextInt(endpoints.size() - i));
            EndpointState candidate = endpoints.get(i);
            if (!isEligible(candidate, request, share)) {
                continue;
            }
            if (best == null || isBetter(candidate, best, request, connectionsScarce)) {
                best = candidate;
            }
            if (countsAsChoice(candidate, connectionsScarce, i + 1)) {
                choices++;
            }
        }
        return best;
    }

    /**
     * Whether a request may go to an endpoint. The random number for probing an ejected endpoint is drawn first, so
     * that the sequence of draws does not depend on the other conditions.
     */
    private boolean isEligible(EndpointState endpoint, RequestState request, double share) {
        boolean isProbe = request.isRetriable()
                && request.isFirstAttempt()
                && context.random().nextDouble() < PROBE_SHARE;
        return request.constraints().allowsEndpoint(endpoint.name())
                && capacity.hasCapacity(endpoint, request, share)
                && request.mayBeSentTo(endpoint, request.attempts().size())
                && !request.wasAttemptedAt(endpoint)
                && (isProbe || !outliers.isEjected(endpoint));
    }

    private boolean isBetter(
            EndpointState candidate, EndpointState best, RequestState request, boolean connectionsScarce) {
        if (connectionsScarce && candidate.hasOpenConnection() != best.hasOpenConnection()) {
            return candidate.hasOpenConnection();
        }
        return expectedWait(candidate, request) < expectedWait(best, request);
    }

    /**
     * Whether an endpoint counts as one of the two choices. An endpoint without an existing connection may be only a
     * fallback.
     */
    private boolean countsAsChoice(EndpointState endpoint, boolean connectionsScarce, int examined) {
        if (connectionsScarce) {
            return endpoint.hasOpenConnection();
        }
        return context.settings().connectionCost() == 0
                || endpoint.isCanary()
                || endpoint.hasIdleConnection()
                || examined >= IDLE_CONNECTION_CHOICES;
    }

    /**
     * Returns the expected wait per unit of announced cost. For endpoints not running the canary, a new connection
     * counts as the wait that lowers the value of the request as much as the connection costs.
     */
    private double expectedWait(EndpointState endpoint, RequestState request) {
        boolean needsNoConnection = endpoint.hasIdleConnection() || endpoint.isCanary();
        double connectionWait = needsNoConnection
                ? 0
                : context.settings().connectionCost() * request.policy().latencyObjectiveUs() / request.costUs();
        double requests = endpoint.attemptsInFlight().size() + 1 + endpoint.reportedQueue();
        return endpoint.expectedSlowness() * requests + connectionWait;
    }
}
