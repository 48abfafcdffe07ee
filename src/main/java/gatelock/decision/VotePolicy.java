package gatelock.decision;

import gatelock.api.DecisionEngine.ReleasePhase;
import gatelock.api.RolloutPolicy;
import gatelock.api.Verdict;

/** Which vote follows from the analysis of the newest build and from the time of its stage. */
final class VotePolicy {
    /** How long a fail must last, added up over looks, as one look in many fails by chance. */
    private static final long CONFIRM_ERRORS_US = 3 * DecisionClock.SECOND_US / 2;

    private static final long CONFIRM_SLOW_US = 3 * DecisionClock.SECOND_US;

    /** A close call holds so long past the stage's least time. */
    private static final long HOLD_US = DecisionClock.SECOND_US;

    /** The page's patience, where few endpoints fail or the release controller's samples decide. */
    private static final long LONG_HOLD_US = 3 * DecisionClock.SECOND_US;

    /** Where a clock moves stages on, a hold is cast so long before the time is up. */
    private static final long HOLD_LEAD_US = DecisionClock.SECOND_US;

    /** How long a released build is watched. */
    private static final long POST_RELEASE_WATCH_US = 12 * DecisionClock.SECOND_US;

    private final DecisionContext context;
    private final EndpointRegistry registry;
    private final CanaryAnalysis analysis;
    private final VoteCaster caster;
    private final StageClock stageClock;
    private final RolloutPolicy policy;
    private Evidence evidence = new Evidence.Nothing();
    private long failedForUs;
    private long lastReviewUs;

    VotePolicy(DecisionContext context, EndpointRegistry registry, CanaryAnalysis analysis, VoteCaster caster) {
        this.context = context;
        this.registry = registry;
        this.analysis = analysis;
        this.caster = caster;
        this.stageClock = new StageClock(context);
        this.policy = context.settings().rollout();
    }

    /** The ordinary path of a vote: what the outcomes say, what the stage's time allows, what to vote. */
    void review() {
        BuildState canary = registry.newestBuild();
        if (canary == null || context.rollout().isRollingBack()) {
            return;
        }
        Finding finding = analysis.analyse(canary, registry.buildBeforeNewest());
        if (!(finding.evidence() instanceof Evidence.Nothing)) {
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

    /** Adds up how long fails have lasted, paid back by looks that do not fail; whether they have lasted long enough. */
    private boolean confirm(Assessment assessment) {
        long sinceUs = Math.min(ReleaseGate.TICK_US, context.nowUs() - lastReviewUs);
        long totalUs = failedForUs + (assessment.isFailure() ? sinceUs : -sinceUs);
        failedForUs = assessment == Assessment.PASS ? 0 : Math.max(0, totalUs);
        lastReviewUs = context.nowUs();
        boolean confirmsQuickly = assessment == Assessment.ERRORS || context.hasManyRelays();
        return assessment.isFailure() && failedForUs >= (confirmsQuickly ? CONFIRM_ERRORS_US : CONFIRM_SLOW_US);
    }

    /** After the release nothing shows like load any more: errors count, or the votes of many relays. */
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

    /** How long past the stage's least time an assessment that neither passes nor fails holds. */
    private long holdUs(Assessment assessment, BuildState canary) {
        boolean samplesDecide = analysis.hasMoreSamples(canary) && policy.fleetSamplesSent();
        if (assessment == Assessment.SUSPECT || samplesDecide) {
            return LONG_HOLD_US;
        }
        // Where half the outcomes are missing, a little more time brings no verdict either.
        boolean isHopeless = assessment == Assessment.NO_VERDICT
                && analysis.recentOwnOutcomes(canary) < ThresholdComparison.MIN_OUTCOMES / 2;
        return isHopeless ? 0 : HOLD_US;
    }

    /** What is voted for a verdict: no vote for what the release controller does anyway without one. */
    private Verdict votedVerdict(Verdict verdict, long minStageEndUs) {
        boolean clockPromotes = policy.promotionMode() == RolloutPolicy.PromotionMode.CLOCK;
        // A hold stops the clock, so that it would have to run all its time afterwards.
        boolean isEarlyHold =
                clockPromotes && verdict == Verdict.HOLD && context.nowUs() < minStageEndUs - HOLD_LEAD_US;
        Verdict withoutVote = clockPromotes ? Verdict.ON : Verdict.HOLD;
        return isEarlyHold || verdict == withoutVote ? Verdict.NONE : verdict;
    }
}
