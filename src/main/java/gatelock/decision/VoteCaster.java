package gatelock.decision;

import gatelock.api.DecisionEngine.VoteResponse;
import gatelock.api.RolloutPolicy;
import gatelock.api.Verdict;

/**
 * Casts and renews this relay's vote, at a rate that all relays together keep to. A vote to go back waits for no turn.
 */
final class VoteCaster {
    /** A vote is renewed after this share of its life. */
    private static final double RENEW_TTL_SHARE = 0.6;

    /** The least wait after a vote that was rejected; up to as much again is added at random. */
    private static final long REJECTED_BACKOFF_US = 400_000;

    /** Votes at once, in seconds of the release controller's rate; it takes two seconds' worth. */
    private static final double BURST_S = 1.5;

    /** The share of the release controller's rate that renewals of all relays may use. */
    private static final double RENEWAL_RATE_SHARE = 0.9;

    /** How far the turns move on with each stage, as a share of all relays. */
    private static final double SLOT_SHIFT_SHARE = 0.382;

    /** So many of all relays log a vote that is not one to go back. */
    private static final int LOGGING_RELAYS = 2;

    private static final double MIN_VOTES_PER_S = 0.1;

    private final DecisionContext context;
    private final RolloutPolicy policy;
    private final int relayCount;
    private final int relayIndex;
    private Verdict castVerdict = Verdict.NONE;
    private long castUs;
    private boolean awaitsResponse;
    private long backoffUntilUs;
    private Verdict wantedVerdict = Verdict.NONE;
    private long wantedSinceUs;

    VoteCaster(DecisionContext context) {
        this.context = context;
        this.policy = context.settings().rollout();
        this.relayCount = context.settings().relayCount();
        int configuredIndex = context.settings().relayIndex();
        this.relayIndex =
                configuredIndex >= 0 ? configuredIndex : context.random().nextInt(relayCount);
    }

    /**
     * News have come that may answer a vote; tells whether the vote was not counted, in which case it is cast again after a
     * while. Guards against hammering a release controller that rejects votes or is silent, whatever its reason.
     */
    boolean onVoteResponse(VoteResponse response) {
        awaitsResponse &= response == VoteResponse.NOT_ASKED;
        boolean isRejected = response != VoteResponse.NOT_ASKED && response != VoteResponse.COUNTED;
        if (isRejected) {
            castVerdict = Verdict.NONE;
            backoffUntilUs =
                    context.nowUs() + REJECTED_BACKOFF_US + context.random().nextLong(REJECTED_BACKOFF_US);
        }
        return isRejected;
    }

    /** The newest build or its state changes: a vote to go back holds in all states of its build, others in one. */
    void onRolloutChange(boolean isNewBuild) {
        if (isNewBuild || castVerdict != Verdict.BACK) {
            castVerdict = Verdict.NONE;
        }
    }

    /** Casts a verdict if it is not cast already, or about to lapse, and if it is this relay's turn. */
    void cast(Verdict verdict, long minStageEndUs, Evidence evidence) {
        long nowUs = context.nowUs();
        if (verdict != wantedVerdict) {
            wantedSinceUs = nowUs;
            wantedVerdict = verdict;
        }
        if (isCast(verdict) || isWaiting() || !isSlotReached(verdict, minStageEndUs)) {
            return;
        }
        log(verdict, evidence);
        castVerdict = verdict;
        castUs = nowUs;
        awaitsResponse = true;
        context.actions()
                .castVote(context.rollout().newestBuild(), context.rollout().stage(), verdict);
    }

    private boolean isCast(Verdict verdict) {
        boolean isExpiring = context.nowUs() - castUs > renewalUs(verdict);
        return verdict == castVerdict && (verdict == Verdict.NONE || !isExpiring);
    }

    private boolean isWaiting() {
        long nowUs = context.nowUs();
        boolean isUnanswered = awaitsResponse && nowUs - castUs < policy.voteTimeoutUs();
        return isUnanswered || nowUs < backoffUntilUs;
    }

    /** Turns of votes to go on count from the stage's least time, which all relays know. */
    private boolean isSlotReached(Verdict verdict, long minStageEndUs) {
        long fromUs = verdict == Verdict.ON ? minStageEndUs : wantedSinceUs;
        return verdict == Verdict.BACK || context.nowUs() >= slotDelayUs() + fromUs;
    }

    private void log(Verdict verdict, Evidence evidence) {
        boolean isSampledForLog = verdict != castVerdict && context.random().nextInt(relayCount) < LOGGING_RELAYS;
        if (isSampledForLog || verdict == Verdict.BACK) {
            RolloutState rollout = context.rollout();
            context.actions()
                    .log(verdict + " build " + rollout.newestBuild() + " stage " + rollout.stage() + ": "
                            + evidence.logText());
        }
    }

    private double votesPerS() {
        return Math.max(MIN_VOTES_PER_S, policy.maxVotesPerS());
    }

    /**
     * How long this relay waits for its turn. Guards against a fleet whose votes together are more than the release
     * controller takes, of any size: each waits for its place in a row that every relay knows, and that moves on with each
     * stage. Could harm where those first in the row are cut off from the release controller: the rest vote later than they
     * could.
     */
    private long slotDelayUs() {
        RolloutState rollout = context.rollout();
        int shift = (int) Math.max(1, SLOT_SHIFT_SHARE * relayCount);
        long offset = (rollout.newestBuild() + (long) rollout.stage()) * shift;
        int slot = (int) Math.floorMod(relayIndex + offset, (long) relayCount);
        return (long) (Math.max(0, slot - BURST_S * votesPerS()) / votesPerS() * DecisionClock.SECOND_US);
    }

    /** Votes of all relays are renewed no faster than the release controller takes them; back is by its quorum alone. */
    private long renewalUs(Verdict verdict) {
        double fleetRenewalUs = relayCount * DecisionClock.SECOND_US / (RENEWAL_RATE_SHARE * votesPerS());
        double beforeExpiryUs = policy.voteTtlUs() * RENEW_TTL_SHARE;
        return (long) (verdict == Verdict.BACK ? beforeExpiryUs : Math.max(beforeExpiryUs, fleetRenewalUs));
    }
}
