package gatelock.decision;

import gatelock.decision.ThresholdComparison.Strictness;
import java.util.ArrayList;
import java.util.List;

/** Assesses the newest build by comparing its outcomes with those of the build before it. */
final class CanaryAnalysis {
    /** The specified margin, with which the whole fleet is compared with its own past. */
    private static final double FLEET_MARGIN = 1.25;

    /** The margin for the release controller's samples, for which the load of the endpoints is unknown. */
    private static final double SAMPLE_MARGIN = 2;

    /** The number of the canary's latest windows that are compared; small enough to notice a late change. */
    private static final int CANARY_WINDOWS = 8;

    /** Faults are assumed to slow down no more than this share of the endpoints. */
    private static final double MAX_SLOW_ENDPOINT_SHARE = 0.5;

    /** Endpoints whose start times differ by no more than this count as equally old. */
    private static final long SAME_AGE_TOLERANCE_US = DecisionClock.SECOND_US;

    /** The probability with which a quorum of relays may be wrong together in one review. */
    private static final double FALSE_ROLLBACK_SHARE = 0.05;

    /** The normal quantile of the lower end of a 95% interval. */
    private static final double ORDINARY_QUANTILE = 1.96;

    private final DecisionContext context;
    private final ThresholdComparison comparison;
    private final EndpointCountAnalysis endpointCountAnalysis;

    /** The factor by which intervals are widened, because any of many relays may be wrong. */
    private final double widening;

    /** Creates the analysis for the number of relays and the quorum of the settings. */
    CanaryAnalysis(DecisionContext context) {
        this.context = context;
        this.comparison = new ThresholdComparison(context);
        double logErrorLevel = Bootstrap.logErrorLevel(
                FALSE_ROLLBACK_SHARE,
                context.settings().relayCount(),
                Math.max(1, context.settings().rollout().rollbackVotes()));
        this.widening = Math.max(1, Bootstrap.normalQuantile(logErrorLevel) / ORDINARY_QUANTILE);
        this.endpointCountAnalysis = new EndpointCountAnalysis(comparison, logErrorLevel);
    }

    /**
     * Assesses the canary. If many relays share the requests, so that the release controller's samples contain more of
     * the canary's outcomes than this relay's own attempts, the samples decide unless the own outcomes fail with
     * confidence. The own outcomes have priority in that case because samples arrive late and contain means instead of
     * percentiles. As the samples are the same for every relay, the random errors of the relays do not add up.
     *
     * @param earlier the build before it, or null if none has outcomes
     * @return the finding; without evidence if nothing could be compared
     */
    Finding analyse(BuildState canary, BuildState earlier) {
        if (earlier == null) {
            return context.hasManyRelays()
                    ? endpointCountAnalysis.assess(recentOwn(canary), List.of(), List.of())
                    : new Finding(Assessment.NO_VERDICT, new Evidence.None());
        }
        Finding ownFinding = analyseOwn(canary, earlier);
        return ownFinding.isFailure() || !hasSufficientSamples(canary) ? ownFinding : analyseSamples(canary, earlier);
    }

    /**
     * Whether the release controller's samples contain at least as many recent outcomes of the canary as this relay's
     * own attempts.
     */
    boolean hasSufficientSamples(BuildState canary) {
        return OutcomeWindow.size(canary.sampledOutcomes().since(firstWindowNumber())) >= recentOwnOutcomes(canary);
    }

    /** Returns the number of this relay's recent outcomes of a build. */
    int recentOwnOutcomes(BuildState build) {
        return OutcomeWindow.size(recentOwn(build));
    }

    private List<OutcomeWindow> recentOwn(BuildState build) {
        return build.ownOutcomes().since(firstWindowNumber());
    }

    /** Returns the number of the first window that is compared. */
    private long firstWindowNumber() {
        return context.nowUs() / BuildState.WINDOW_US - CANARY_WINDOWS + 1;
    }

    private Finding analyseOwn(BuildState canary, BuildState earlier) {
        Strictness strictness = new Strictness(ThresholdComparison.MARGIN, widening, ThresholdComparison.MIN_OUTCOMES);
        List<OutcomeWindow> windows = recentOwn(canary);
        List<OutcomeWindow> earlierWindows = earlier.ownOutcomes().all();
        Finding finding = comparison.compare(windows, earlierWindows, strictness);
        if (finding.isFailure()) {
            return confirmWithoutWorstEndpoints(finding, canary, windows, earlierWindows);
        }
        if (context.hasManyRelays()) {
            Finding countFinding = endpointCountAnalysis.assess(windows, earlierWindows, recentOwn(earlier));
            if (countFinding.assessment() != Assessment.NO_VERDICT) {
                return countFinding;
            }
        }
        Strictness fleetStrictness = new Strictness(FLEET_MARGIN, widening, ThresholdComparison.MIN_OUTCOMES);
        return compareFleetWithPast(finding, windows, earlier.ownOutcomes(), fleetStrictness);
    }

    /**
     * Assesses the samples of the canary against the latest available samples of the earlier build, and not against
     * older ones, as a fault that affects both builds may have begun only recently.
     */
    private Finding analyseSamples(BuildState canary, BuildState earlier) {
        OutcomeHistory earlierSamples = earlier.sampledOutcomes();
        List<OutcomeWindow> windows = canary.sampledOutcomes().since(firstWindowNumber());
        List<OutcomeWindow> earlierWindows = earlierSamples.since(earlierSamples.lastNumber() - CANARY_WINDOWS + 1);
        Finding finding = comparison.compare(
                windows, earlierWindows, new Strictness(SAMPLE_MARGIN, 1, ThresholdComparison.MIN_OUTCOMES));
        if (finding.isFailure()) {
            return finding;
        }
        Strictness fleetStrictness = new Strictness(ThresholdComparison.MARGIN, 1, ThresholdComparison.MIN_OUTCOMES);
        return compareFleetWithPast(finding, windows, earlierSamples, fleetStrictness);
    }

    /**
     * Guards against attributing faulty, slow or badly placed endpoints to a build: the build must also fail without
     * its worst endpoints. Errors that only the oldest endpoints have are sufficient, as builds can degrade with age.
     * Can miss a build that is bad on one instance type only.
     */
    private Finding confirmWithoutWorstEndpoints(
            Finding finding, BuildState canary, List<OutcomeWindow> windows, List<OutcomeWindow> earlierWindows) {
        List<OutcomeWindow> remainingWindows;
        if (finding.assessment() == Assessment.SLOW) {
            remainingWindows = OutcomeWindow.withoutWorst(windows, AttemptOutcome::slowness, MAX_SLOW_ENDPOINT_SHARE);
        } else {
            List<Object> faulty =
                    OutcomeWindow.worst(windows, AttemptOutcome::error, ThresholdComparison.MAX_FAULTY_ENDPOINT_SHARE);
            if (areOldest(faulty, canary)) {
                return finding;
            }
            remainingWindows = OutcomeWindow.without(windows, faulty);
        }
        Strictness strictness =
                new Strictness(ThresholdComparison.MARGIN, widening, ThresholdComparison.MIN_OUTCOMES / 2);
        Finding remainingFinding = comparison.compare(remainingWindows, earlierWindows, strictness);
        boolean confirmed = remainingFinding.assessment() == finding.assessment();
        return new Finding(confirmed ? finding.assessment() : Assessment.SUSPECT, remainingFinding.evidence());
    }

    /** Whether every other ready endpoint of the build is clearly younger than these. */
    private static boolean areOldest(List<Object> endpoints, BuildState build) {
        long latestStartUs = build.readyEndpoints().stream()
                .filter(endpoints::contains)
                .mapToLong(endpoint -> endpoint.entry().startedAtUs())
                .max()
                .orElse(0);
        long latestSameAgeStartUs = latestStartUs + SAME_AGE_TOLERANCE_US;
        return build.readyEndpoints().stream()
                .filter(endpoint -> !endpoints.contains(endpoint))
                .noneMatch(endpoint -> endpoint.entry().startedAtUs() <= latestSameAgeStartUs);
    }

    /**
     * Guards against a build that slows down the endpoints of both builds, which stays hidden if the builds are
     * compared only with each other: all endpoints are compared with the latencies that the earlier build had before
     * the canary. The slower half of the endpoints is excluded, as other faults do not affect all endpoints. With many
     * relays, whose estimate of the load is uncertain, this is done only if the load has not increased since then. Can
     * wrongly fail a build if something else slows the whole fleet during a canary.
     */
    private Finding compareFleetWithPast(
            Finding finding, List<OutcomeWindow> windows, OutcomeHistory earlier, Strictness strictness) {
        if (context.hasManyRelays() && context.throughput().exceedsWorkBeforeCanary()) {
            return finding;
        }
        List<OutcomeWindow> all = new ArrayList<>(windows);
        all.addAll(earlier.since(firstWindowNumber()));
        List<Object> endpoints = OutcomeWindow.worstFirst(all, AttemptOutcome::slowness);
        List<OutcomeWindow> betterHalf =
                OutcomeWindow.without(all, endpoints.subList(0, (int) (endpoints.size() * MAX_SLOW_ENDPOINT_SHARE)));
        Finding fleetFinding = comparison.compare(betterHalf, earlier.snapshot(), strictness);
        return fleetFinding.assessment() == Assessment.SLOW ? fleetFinding : finding;
    }
}
