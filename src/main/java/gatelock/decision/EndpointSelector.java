package gatelock.decision;

import java.util.Collections;
import java.util.List;

/**
 * Endpoint selection by power of two choices: of two endpoints drawn at random that may take the request, the one with the
 * shorter expected wait. More than two are looked at where one is refused.
 */
final class EndpointSelector {
    private static final int CHOICES = 2;

    /** The share of its retriable requests that an ejected endpoint still gets, so that its recovery shows. */
    private static final double PROBE_SHARE = 0.1;

    /** Where a new connection has a price, so many endpoints are looked at for two with an idle connection. */
    private static final int IDLE_CONNECTION_CHOICES = 8;

    private final DecisionContext context;
    private final EndpointRegistry registry;
    private final StickyBuilds stickyBuilds;
    private final AdmissionControl admission;
    private final EndpointCapacity capacity;
    private final OutlierDetector outliers;

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

    /** An endpoint of the canary, or of the newest other build that may take the request; null where there is none. */
    EndpointState select(RequestState request, boolean canary) {
        for (BuildState build : registry.buildsNewestFirst()) {
            if (build.isCanary() == canary && mayTake(build, request)) {
                EndpointState endpoint = selectFrom(build, request);
                if (endpoint != null) {
                    return endpoint;
                }
            }
        }
        return null;
    }

    private boolean mayTake(BuildState build, RequestState request) {
        return build.isOpen()
                && stickyBuilds.allows(request.key(), build.number(), context.rollout())
                && (!build.isCanary() || canaryMayTake(build, request));
    }

    private boolean canaryMayTake(BuildState canary, RequestState request) {
        boolean guarded = context.rollout().isGuardedStage(canary.number());
        return canary.exposure().allows(request.route()) && (!guarded || request.isRetriable());
    }

    private EndpointState selectFrom(BuildState build, RequestState request) {
        EndpointState best = null;
        double share = admission.capacityShare(request);
        boolean scarce = context.connectFailures().connectionsAreScarce();
        List<EndpointState> endpoints = build.readyEndpoints();
        int found = 0;
        for (int i = 0; i < endpoints.size() && found < CHOICES; i++) {
            Collections.swap(endpoints, i, i + context.random().nextInt(endpoints.size() - i));
            EndpointState candidate = endpoints.get(i);
            if (!isEligible(candidate, request, share)) {
                continue;
            }
            if (best == null || isBetter(candidate, best, request, scarce)) {
                best = candidate;
            }
            if (countsAsChoice(candidate, scarce, i + 1)) {
                found++;
            }
        }
        return best;
    }

    /** Whether a request may go to an endpoint. The draw for an ejected one comes first, whatever the rest says. */
    private boolean isEligible(EndpointState endpoint, RequestState request, double share) {
        boolean probes = request.isRetriable()
                && request.isFirstAttempt()
                && context.random().nextDouble() < PROBE_SHARE;
        return request.constraints().allowsEndpoint(endpoint.id())
                && capacity.hasCapacity(endpoint, request, share)
                && request.mayBeSentTo(endpoint, request.attempts().size())
                && !request.wasTriedAt(endpoint)
                && (probes || !outliers.isEjected(endpoint));
    }

    private boolean isBetter(EndpointState candidate, EndpointState best, RequestState request, boolean scarce) {
        if (scarce && candidate.hasOpenConnection() != best.hasOpenConnection()) {
            return candidate.hasOpenConnection();
        }
        return expectedWait(candidate, request) < expectedWait(best, request);
    }

    /** Whether an endpoint is one of the two choices, and not only a stopgap for want of an existing connection. */
    private boolean countsAsChoice(EndpointState endpoint, boolean scarce, int lookedAt) {
        if (scarce) {
            return endpoint.hasOpenConnection();
        }
        return context.settings().connectionCost() == 0
                || endpoint.isCanary()
                || endpoint.hasIdleConnection()
                || lookedAt >= IDLE_CONNECTION_CHOICES;
    }

    /**
     * The expected wait per announced work. At endpoints not canary opening a new connection counts as the wait that costs
     * as much worth.
     */
    private double expectedWait(EndpointState endpoint, RequestState request) {
        boolean isFree = endpoint.hasIdleConnection() || endpoint.isCanary();
        double opening = isFree
                ? 0
                : context.settings().connectionCost() * request.policy().latencyObjectiveUs() / request.costUs();
        double requests = endpoint.attemptsInFlight().size() + 1 + endpoint.reportedQueue();
        return endpoint.expectedSlowness() * requests + opening;
    }
}
