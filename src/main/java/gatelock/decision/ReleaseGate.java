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
 * Every decision of one relay. It is called through {@link DecisionEngine} and {@link RequestHandle} and acts through
 * {@link DecisionActions}. One thread calls it; its clock is the calls'.
 *
 * <p>This class only passes each call on. Read {@link RequestRouter} first, the path of a request, then {@link VotePolicy},
 * that of a vote. The modules share a {@link DecisionContext}.
 */
public final class ReleaseGate implements DecisionEngine {
    /** At each tick overdue attempts are looked for and the newest build is reviewed. */
    static final long TICK_US = DecisionClock.SECOND_US / 4;

    private static final long TICK_TOKEN = 0;
    private static final long LIST_TOKEN = 1;
    private static final long FIRST_REQUEST_TOKEN = 2;

    /** Sampled outcomes have no machine kind: this number less their route stands for one, below all real kinds. */
    private static final int SAMPLE_KIND = -2;

    private final DecisionContext context;
    private final EndpointRegistry registry;
    private final StickyBuilds stickyBuilds = new StickyBuilds();
    private final ListSubscription listSubscription;
    private final OutlierDetector outliers;
    private final RequestRouter router;
    private final VoteCaster voteCaster;
    private final VotePolicy votePolicy;

    /** The decisions of one relay, from its settings and with the actions that it can take. */
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
            long leftUs,
            long costUs,
            RequestConstraints bounds) {
        context.clock().advanceTo(nowUs);
        return router.take(new RequestState.Arrival(id, route, tenant, key, nowUs + leftUs, costUs, bounds), leftUs);
    }

    /** Rules 3 and 5 for a message, whose endpoint is given: nothing to a draining endpoint, to the canary within its cap. */
    @Override
    public MessageAdmission admitMessage(long nowUs, String endpointId, int route, boolean first) {
        context.clock().advanceTo(nowUs);
        if (first) {
            registry.builds().forEach(build -> build.earnExposure(route));
        }
        EndpointState endpoint = registry.endpoint(endpointId);
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
    public void endpointsUpdated(long nowUs, EndpointUpdateType form, List<Endpoint> entries) {
        context.clock().advanceTo(nowUs);
        if (form == EndpointUpdateType.FAILED) {
            listSubscription.onFailure();
            return;
        }
        listSubscription.onList();
        registry.update(form, entries);
        stickyBuilds.forgetUpTo(registry.oldestBuildNumber());
    }

    @Override
    public void releaseStateUpdated(
            long nowUs, int build, int stage, ReleasePhase phase, double cap, long agoUs, VoteResponse answer) {
        context.clock().advanceTo(nowUs);
        RolloutState rollout = context.rollout();
        long sinceUs = nowUs - agoUs;
        boolean voteRejected = voteCaster.onAnswer(answer);
        if (voteRejected || rollout.isOvertaken(build, stage, phase, sinceUs)) {
            return;
        }
        boolean isChange = rollout.isChange(build, stage, phase);
        if (isChange) {
            voteCaster.onChange(build != rollout.newestBuild());
        }
        rollout.update(build, stage, phase, cap, sinceUs);
        if (isChange) {
            votePolicy.review();
        }
    }

    @Override
    public void complaintReceived(long nowUs, String endpointId, int route, long agoUs) {
        context.clock().advanceTo(nowUs);
        EndpointState endpoint = registry.endpoint(endpointId);
        if (endpoint != null && nowUs - agoUs >= endpoint.entry().startedAtUs()) {
            // A wrong answer is an error of the build; it looked like any other when it came.
            endpoint.build().recordOutcome(endpoint, true, false, 0, 0);
        }
    }

    @Override
    public void fleetSampleReceived(
            long nowUs, int buildNumber, int route, int count, int failed, long meanUs, long agoUs) {
        context.clock().advanceTo(nowUs);
        BuildState build = registry.build(buildNumber);
        boolean isKnownRoute = route >= 0 && route < context.settings().routes().size();
        if (build != null && count > 0 && isKnownRoute) {
            long endUs = nowUs - agoUs;
            List<AttemptOutcome> outcomes = sampledOutcomes(route, count, failed, meanUs, build.medianAgeUs(endUs));
            build.sampledOutcomes().add(new OutcomeWindow(endUs / BuildState.SLICE_US, outcomes));
        }
    }

    /**
     * The outcomes that a sample stands for: those of one endpoint a route, each route a machine kind of its own. The release
     * controller does not tell an attempt without an answer or a connection from an error, so its failures count as far as
     * this relay's own failures were errors.
     */
    private List<AttemptOutcome> sampledOutcomes(int route, int count, int failed, long meanUs, long ageUs) {
        List<AttemptOutcome> outcomes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            boolean isFailure = i < failed;
            if (!isFailure
                    || context.random().nextDouble() < context.connectFailures().errorShareOfFailures()) {
                outcomes.add(new AttemptOutcome(route, SAMPLE_KIND - route, isFailure, false, meanUs, 0, ageUs));
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
