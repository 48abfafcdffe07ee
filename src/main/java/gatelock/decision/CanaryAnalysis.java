package gatelock.decision;

import gatelock.decision.BarComparison.Strictness;
import java.util.ArrayList;
import java.util.List;

/** What the outcomes of the newest build say of it, compared with the build before it. */
final class CanaryAnalysis {
    /** The page's margin, with which the fleet is compared with its own past. */
    private static final double FLEET_MARGIN = 1.25;

    /** The margin where the release controller's samples decide, as like load is unknown. */
    private static final double SAMPLE_MARGIN = 2;

    /** Slices of the canary that are looked at: few enough to notice a late change. */
    private static final int CANARY_SLICES = 8;

    /** Faults strike at most this share of the endpoints with slowness. */
    private static final double SLOW_SHARE = 0.5;

    /** Endpoints that started this long after the oldest are as old. */
    private static final long SAME_AGE_US = DecisionClock.SECOND_US;

    /** The share of looks in which a quorum of relays may be wrong together. */
    private static final double FALSE_ROLLBACK_SHARE = 0.05;

    /** The normal quantile of an ordinary interval's lower end. */
    private static final double ORDINARY_QUANTILE = 1.96;

    private final DecisionContext context;
    private final BarComparison bars;
    private final EndpointCountAnalysis endpointCounts;

    /** How much wider an interval must be, as any of many relays may be wrong. */
    private final double widening;

    CanaryAnalysis(DecisionContext context) {
        this.context = context;
        this.bars = new BarComparison(context);
        double logErrorLevel = Bootstrap.logErrorLevel(
                FALSE_ROLLBACK_SHARE,
                context.settings().relayCount(),
                Math.max(1, context.settings().rollout().rollbackVotes()));
        this.widening = Math.max(1, Bootstrap.normalQuantile(logErrorLevel) / ORDINARY_QUANTILE);
        this.endpointCounts = new EndpointCountAnalysis(bars, logErrorLevel);
    }

    /**
     * The finding from own outcomes. Where many relays share the requests and the release controller's samples hold more of
     * the canary than these, the samples decide unless own outcomes fail for sure: they are late, have means for
     * percentiles, and are the same for every relay, so that one relay's chance does not add to another's.
     *
     * @param earlier the build before it, or null where none has outcomes
     * @return the finding; without evidence where nothing could be compared
     */
    Finding analyse(BuildState canary, BuildState earlier) {
        if (earlier == null) {
            return context.manyRelays()
                    ? endpointCounts.assess(recentOwn(canary), List.of(), List.of())
                    : new Finding(Assessment.NO_VERDICT, new Evidence.Nothing());
        }
        Finding own = analyseOwn(canary, earlier);
        return own.isFail() || !hasMoreSamples(canary) ? own : analyseSamples(canary, earlier);
    }

    /** Whether the release controller's samples hold more of the canary than this relay's own outcomes. */
    boolean hasMoreSamples(BuildState canary) {
        return OutcomeWindow.size(canary.sampledOutcomes().since(firstSlice())) >= recentOwnOutcomes(canary);
    }

    /** How many own outcomes of a build are looked at. */
    int recentOwnOutcomes(BuildState build) {
        return OutcomeWindow.size(recentOwn(build));
    }

    private List<OutcomeWindow> recentOwn(BuildState build) {
        return build.ownOutcomes().since(firstSlice());
    }

    /** The number of the first slice that is looked at. */
    private long firstSlice() {
        return context.nowUs() / BuildState.SLICE_US - CANARY_SLICES + 1;
    }

    private Finding analyseOwn(BuildState canary, BuildState earlier) {
        Strictness strictness = new Strictness(BarComparison.MARGIN, widening, BarComparison.MIN_OUTCOMES);
        List<OutcomeWindow> windows = recentOwn(canary);
        List<OutcomeWindow> earlierWindows = earlier.ownOutcomes().all();
        Finding found = bars.compare(windows, earlierWindows, strictness);
        if (found.isFail()) {
            return confirmWithoutWorstEndpoints(found, canary, windows, earlierWindows);
        }
        if (context.manyRelays()) {
            Finding counted = endpointCounts.assess(windows, earlierWindows, recentOwn(earlier));
            if (counted.assessment() != Assessment.NO_VERDICT) {
                return counted;
            }
        }
        Strictness fleet = new Strictness(FLEET_MARGIN, widening, BarComparison.MIN_OUTCOMES);
        return compareFleetWithPast(found, windows, earlier.ownOutcomes(), fleet);
    }

    /** Set against the last that the earlier build had, as a fault of both may have begun only then. */
    private Finding analyseSamples(BuildState canary, BuildState earlier) {
        OutcomeHistory earlierSamples = earlier.sampledOutcomes();
        List<OutcomeWindow> windows = canary.sampledOutcomes().since(firstSlice());
        List<OutcomeWindow> earlierWindows = earlierSamples.since(earlierSamples.lastNumber() - CANARY_SLICES + 1);
        Finding found =
                bars.compare(windows, earlierWindows, new Strictness(SAMPLE_MARGIN, 1, BarComparison.MIN_OUTCOMES));
        if (found.isFail()) {
            return found;
        }
        Strictness fleet = new Strictness(BarComparison.MARGIN, 1, BarComparison.MIN_OUTCOMES);
        return compareFleetWithPast(found, windows, earlierSamples, fleet);
    }

    /**
     * Guards against faulty, slow or ill-placed endpoints taken for a bad build: without its worst endpoints the build must
     * fail all the same. Errors of its oldest endpoints count alone: builds may turn bad with age. Could harm where a build
     * is bad on one kind of machine only.
     */
    private Finding confirmWithoutWorstEndpoints(
            Finding found, BuildState canary, List<OutcomeWindow> windows, List<OutcomeWindow> earlierWindows) {
        List<OutcomeWindow> rest;
        if (found.assessment() == Assessment.SLOW) {
            rest = OutcomeWindow.withoutWorst(windows, AttemptOutcome::slowness, SLOW_SHARE);
        } else {
            List<Object> faulty = OutcomeWindow.worst(windows, AttemptOutcome::error, BarComparison.FAULTY_SHARE);
            if (areOldest(faulty, canary)) {
                return found;
            }
            rest = OutcomeWindow.without(windows, faulty);
        }
        Strictness strictness = new Strictness(BarComparison.MARGIN, widening, BarComparison.MIN_OUTCOMES / 2);
        Finding ofRest = bars.compare(rest, earlierWindows, strictness);
        boolean confirmed = ofRest.assessment() == found.assessment();
        return new Finding(confirmed ? found.assessment() : Assessment.SUSPECT, ofRest.evidence());
    }

    /** Whether no other ready endpoint of the build is as old as these. */
    private static boolean areOldest(List<Object> endpoints, BuildState build) {
        long latestStartUs = build.readyEndpoints().stream()
                .filter(endpoints::contains)
                .mapToLong(endpoint -> endpoint.entry().startedAtUs())
                .max()
                .orElse(0);
        long asOldUs = latestStartUs + SAME_AGE_US;
        return build.readyEndpoints().stream()
                .filter(endpoint -> !endpoints.contains(endpoint))
                .noneMatch(endpoint -> endpoint.entry().startedAtUs() <= asOldUs);
    }

    /**
     * Guards against a build that slows old and new endpoints alike, which the relative bar hides: all endpoints are compared
     * with what the earlier build needed before the canary, without the worse half of them, as other faults spare some; with
     * many relays, whose like load is a guess, only if no more work comes than then. Could harm when something else slows the
     * whole fleet during a canary.
     */
    private Finding compareFleetWithPast(
            Finding found, List<OutcomeWindow> windows, OutcomeHistory earlier, Strictness strictness) {
        if (context.manyRelays() && context.throughput().exceedsWorkBeforeCanary()) {
            return found;
        }
        List<OutcomeWindow> all = new ArrayList<>(windows);
        all.addAll(earlier.since(firstSlice()));
        List<Object> endpoints = OutcomeWindow.worstFirst(all, AttemptOutcome::slowness);
        List<OutcomeWindow> betterHalf =
                OutcomeWindow.without(all, endpoints.subList(0, (int) (endpoints.size() * SLOW_SHARE)));
        Finding ofFleet = bars.compare(betterHalf, earlier.snapshot(), strictness);
        return ofFleet.assessment() == Assessment.SLOW ? ofFleet : found;
    }
}
