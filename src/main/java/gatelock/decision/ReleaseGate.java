package gatelock.decision;

import gatelock.api.DecisionActions;
import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.api.RelaySettings;
import gatelock.api.RequestConstraints;
import gatelock.api.RequestHandle;
import java.util.ArrayList;
import java.util.List;

/**
 * The decision engine of one relay. It is called through {@link DecisionEngine} and {@link RequestHandle} and acts
 * through {@link DecisionActions}. It is called from one thread, and its only clock is the time that is passed with
 * each call.
 *
 * <p>This class only delegates. Good starting points for readers are {@link RequestRouter}, which handles requests, and
 * {@link VotePolicy}, which decides on votes. The modules share a {@link DecisionContext}.
 */
public final class ReleaseGate implements DecisionEngine {
    /** The interval of the tick, which checks for overdue attempts and reviews the newest build. */
    static final long TICK_US = DecisionClock.SECOND_US / 4;

    private static final long TICK_TOKEN = 0;
    private static final long LIST_TOKEN = 1;
    private static final long FIRST_REQUEST_TOKEN = 2;

    /**
     * Sampled outcomes have no instance type. This number minus the route's index represents one; it is below all real
     * instance types.
     */
    private static final int SAMPLE_INSTANCE_TYPE = -2;

    private final DecisionContext context;
    private final EndpointRegistry registry;
    private final StickyBuilds stickyBuilds = new StickyBuilds();
    private final ListSubscription listSubscription;
    private final OutlierDetector outliers;
    private final RequestRouter router;
    private final VoteCaster voteCaster;
    private final VotePolicy votePolicy;

    /** Creates the decision engine of one relay from its settings and its available actions. */
    public ReleaseGate(RelaySettings settings, DecisionActions actions) {
        context = DecisionContext.of(settings, actions);
        registry = new EndpointRegistry(context);
        listSubscription = new ListSubscription(actions, LIST_TOKEN);
        RetryBudget retryBudget = new RetryBudget();
        AdmissionControl admission = new AdmissionControl(context, registry);
        outliers = new OutlierDetector(context, registry, admission, retryBudget);
        EndpointCapacity capacity = new EndpointCapacity(context, new SlowStart(context, registry));
        EndpointSelector selector =
                new EndpointSelector(context, registry, stickyBuilds, admission, capacity, outliers);
        AttemptResultRecorder recorder = new AttemptResultRecorder(context, outliers, stickyBuilds);
        router = new RequestRouter(
                context, registry, admission, selector, retryBudget, outliers, recorder, FIRST_REQUEST_TOKEN);
        voteCaster = new VoteCaster(context);
        votePolicy = new VotePolicy(context, registry, new CanaryAnalysis(context), voteCaster);
    }

    @Override
    public void start(long nowUs) {
        context.clock().advanceTo(nowUs);
        context.clock().markStart();
        context.actions().scheduleTimer(TICK_US, TICK_TOKEN);
        if (context.settings().mustSubscribeToEndpoints()) {
            listSubscription.subscribe();
        }
    }

    @Override
    public RequestHandle acceptRequest(
            long nowUs,
            String id,
            int route,
            int tenant,
            long key,
            long remainingUs,
            long costUs,
            RequestConstraints constraints) {
        context.clock().advanceTo(nowUs);
        return router.accept(
                new RequestState.Arrival(id, route, tenant, key, nowUs + remainingUs, costUs, constraints),
                remainingUs);
    }

    /**
     * Decides on a message whose endpoint is fixed. Enforces rules 3 and 5: nothing is sent to a draining endpoint, and
     * the canary receives messages only within its cap.
     */
    @Override
    public MessageAdmission admitMessage(long nowUs, String endpointName, int route, boolean first) {
        context.clock().advanceTo(nowUs);
        if (first) {
            registry.builds().forEach(build -> build.creditExposure(route));
        }
        EndpointState endpoint = registry.endpoint(endpointName);
        if (endpoint == null || !registry.mayReceive(endpoint)) {
            return MessageAdmission.NEVER;
        }
        BuildState build = endpoint.build();
        if (build.isCanary() && !build.exposure().allows(route)) {
            return MessageAdmission.LATER;
        }
        build.spendExposure(route);
        return MessageAdmission.NOW;
    }

    @Override
    public void endpointsUpdated(long nowUs, EndpointUpdateType updateType, List<Endpoint> entries) {
        context.clock().advanceTo(nowUs);
        if (updateType == EndpointUpdateType.FAILED) {
            listSubscription.onFailure();
            return;
        }
        listSubscription.onList();
        registry.update(updateType, entries);
        stickyBuilds.evictUpTo(registry.oldestBuildNumber());
    }

    @Override
    public void releaseStateUpdated(
            long nowUs, int build, int stage, ReleasePhase phase, double cap, long ageUs, VoteResponse voteResponse) {
        context.clock().advanceTo(nowUs);
        RolloutState rollout = context.rollout();
        long sinceUs = nowUs - ageUs;
        boolean voteRejected = voteCaster.onVoteResponse(voteResponse);
        if (voteRejected || rollout.isStale(build, stage, phase, sinceUs)) {
            return;
        }
        boolean isChange = rollout.isChange(build, stage, phase);
        if (isChange) {
            voteCaster.onRolloutChange(build != rollout.newestBuild());
        }
        rollout.update(build, stage, phase, cap, sinceUs);
        if (isChange) {
            votePolicy.review();
        }
    }

    @Override
    public void complaintReceived(long nowUs, String endpointName, int route, long attemptAgeUs) {
        context.clock().advanceTo(nowUs);
        EndpointState endpoint = registry.endpoint(endpointName);
        if (endpoint != null && nowUs - attemptAgeUs >= endpoint.entry().startedAtUs()) {
            // A wrong answer is an error of the build, even though it was recorded as a success when it arrived.
            endpoint.build().recordOutcome(endpoint, true, false, 0, 0);
        }
    }

    @Override
    public void fleetSampleReceived(
            long nowUs, int buildNumber, int route, int count, int failed, long meanUs, long sampleAgeUs) {
        context.clock().advanceTo(nowUs);
        BuildState build = registry.build(buildNumber);
        boolean isKnownRoute = route >= 0 && route < context.settings().routes().size();
        if (build != null && count > 0 && isKnownRoute) {
            long endUs = nowUs - sampleAgeUs;
            List<AttemptOutcome> outcomes = sampledOutcomes(route, count, failed, meanUs, build.medianAgeUs(endUs));
            build.sampledOutcomes().add(new OutcomeWindow(endUs / BuildState.WINDOW_US, outcomes));
        }
    }

    /**
     * Returns the outcomes that a sample represents: those of one endpoint per route, where each route has an instance
     * type of its own. The release controller reports missing answers and failed connects as failures like errors, so
     * only the share of the failures is counted that errors have among this relay's own failures.
     */
    private List<AttemptOutcome> sampledOutcomes(int route, int count, int failed, long meanUs, long ageUs) {
        List<AttemptOutcome> outcomes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            boolean isFailure = i < failed;
            if (!isFailure
                    || context.random().nextDouble() < context.connectFailures().errorShareOfFailures()) {
                outcomes.add(
                        new AttemptOutcome(route, SAMPLE_INSTANCE_TYPE - route, isFailure, false, meanUs, 0, ageUs));
            }
        }
        return outcomes;
    }

    @Override
    public void timerFired(long nowUs, long token) {
        context.clock().advanceTo(nowUs);
        if (router.onTimer(token)) {
            return;
        }
        if (token == TICK_TOKEN) {
            context.actions().scheduleTimer(TICK_US, TICK_TOKEN);
            outliers.check();
            votePolicy.review();
        } else if (token == LIST_TOKEN) {
            listSubscription.onTimer();
        }
    }
}
