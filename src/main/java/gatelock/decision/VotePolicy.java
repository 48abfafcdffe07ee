package gatelock.decision;

import gatelock.api.DecisionEngine.ReleasePhase;
import gatelock.api.RolloutPolicy;
import gatelock.api.Verdict;

/** Decides on a vote from the analysis of the newest build and the time of its stage. */
final class VotePolicy {
    /**
     * How long a failure must last before it is confirmed, added up over reviews, as one review in many fails by
     * chance.
     */
    private static final long CONFIRM_ERRORS_US = 3 * DecisionClock.SECOND_US / 2;

    private static final long CONFIRM_SLOW_US = 3 * DecisionClock.SECOND_US;

    /** How long an inconclusive build is held after the minimum duration of its stage. */
    private static final long HOLD_US = DecisionClock.SECOND_US;

    /** The specified hold time, used if only few endpoints fail or if the release controller's samples decide. */
    private static final long LONG_HOLD_US = 3 * DecisionClock.SECOND_US;

    /**
     * If the release controller promotes builds by the clock, a hold is cast this long before the end of the minimum
     * duration.
     */
    private static final long HOLD_LEAD_US = DecisionClock.SECOND_US;

    /** How long a build is monitored after its release. */
    private static final long POST_RELEASE_WATCH_US = 12 * DecisionClock.SECOND_US;

    private final DecisionContext context;
    private final EndpointRegistry registry;
    private final CanaryAnalysis analysis;
    private final VoteCaster caster;
    private final StageClock stageClock;
    private final RolloutPolicy policy;
    private Evidence evidence = new Evidence.None();
    private long failedForUs;
    private long lastReviewUs;

    /** Creates the policy for the newest build of the registry. */
    VotePolicy(DecisionContext context, EndpointRegistry registry, CanaryAnalysis analysis, VoteCaster caster) {
        this.context = context;
        this.registry = registry;
        this.analysis = analysis;
        this.caster = caster;
        this.stageClock = new StageClock(context);
        this.policy = context.settings().rollout();
    }

    /**
     * Reviews the newest build: analyzes its outcomes, takes the time of the stage into account and casts the resulting
     * vote.
     */
    void review() {
        BuildState canary = registry.newestBuild();
        if (canary == null || context.rollout().isRollingBack()) {
            return;
        }
        Finding finding = analysis.analyse(canary, registry.buildBeforeNewest());
        if (!(finding.evidence() instanceof Evidence.None)) {
            evidence = finding.evidence();
        }
        boolean isConfirmed = confirm(finding.assessment());
        if (context.rollout().phase() == ReleasePhase.RELEASED) {
            caster.cast(verdictAfterRelease(finding.assessment(), isConfirmed), 0, evidence);
            return;
        }
        long minStageEndUs = stageClock.minStageEndUs(canary);
        Verdict verdict = isConfirmed ? Verdict.BACK : unconfirmedVerdict(finding, canary, minStageEndUs);
        caster.cast(votedVerdict(verdict, minStageEndUs), minStageEndUs, evidence);
    }

    /**
     * Adds up how long failures have lasted and subtracts the time without a failure. Returns whether the failure has
     * lasted long enough.
     */
    private boolean confirm(Assessment assessment) {
        long sinceUs = Math.min(ReleaseGate.TICK_US, context.nowUs() - lastReviewUs);
        long totalUs = failedForUs + (assessment.isFailure() ? sinceUs : -sinceUs);
        failedForUs = assessment == Assessment.PASS ? 0 : Math.max(0, totalUs);
        lastReviewUs = context.nowUs();
        boolean confirmsQuickly = assessment == Assessment.ERRORS || context.hasManyRelays();
        return assessment.isFailure() && failedForUs >= (confirmsQuickly ? CONFIRM_ERRORS_US : CONFIRM_SLOW_US);
    }

    /**
     * Returns the verdict on a released build. As no endpoint under similar load is left to compare latencies with,
     * only errors count, or the votes of many relays.
     */
    private Verdict verdictAfterRelease(Assessment assessment, boolean isConfirmed) {
        boolean counts = assessment == Assessment.ERRORS || context.hasManyRelays();
        boolean isWatched = context.nowUs() - context.rollout().stageStartUs() < POST_RELEASE_WATCH_US;
        return isConfirmed && counts && isWatched ? Verdict.BACK : Verdict.NONE;
    }

    private Verdict unconfirmedVerdict(Finding finding, BuildState canary, long minStageEndUs) {
        if (finding.isFailure()) {
            return Verdict.HOLD;
        }
        if (finding.assessment() == Assessment.PASS) {
            return context.nowUs() < minStageEndUs ? Verdict.NONE : Verdict.ON;
        }
        long holdUs = holdUs(finding.assessment(), canary);
        return context.nowUs() < minStageEndUs + holdUs ? Verdict.HOLD : Verdict.ON;
    }

    /** Returns how long a build is held after the stage's minimum duration if it neither passes nor fails. */
    private long holdUs(Assessment assessment, BuildState canary) {
        boolean samplesDecide = analysis.hasSufficientSamples(canary) && policy.fleetSamplesSent();
        if (assessment == Assessment.SUSPECT || samplesDecide) {
            return LONG_HOLD_US;
        }
        // If more than half of the required outcomes are missing, a little more time does not lead to a verdict either.
        boolean verdictOutOfReach = assessment == Assessment.NO_VERDICT
                && analysis.recentOwnOutcomes(canary) < ThresholdComparison.MIN_OUTCOMES / 2;
        return verdictOutOfReach ? 0 : HOLD_US;
    }

    /** Returns the vote for a verdict: no vote for what the release controller does without one. */
    private Verdict votedVerdict(Verdict verdict, long minStageEndUs) {
        boolean clockPromotes = policy.promotionMode() == RolloutPolicy.PromotionMode.CLOCK;
        // A hold stops the clock, and the full duration would have to pass again afterwards.
        boolean isEarlyHold =
                clockPromotes && verdict == Verdict.HOLD && context.nowUs() < minStageEndUs - HOLD_LEAD_US;
        Verdict withoutVote = clockPromotes ? Verdict.ON : Verdict.HOLD;
        return isEarlyHold || verdict == withoutVote ? Verdict.NONE : verdict;
    }
}
