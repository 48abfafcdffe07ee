package gatelock.decision;

import gatelock.api.DecisionEngine.VoteResponse;
import gatelock.api.RolloutPolicy;
import gatelock.api.Verdict;

/**
 * Casts and renews this relay's vote, at a rate that keeps all relays together within the limit of the release
 * controller. A vote to roll back is cast at once, without waiting for a slot.
 */
final class VoteCaster {
    /** A vote is renewed after this share of its time to live. */
    private static final double RENEW_TTL_SHARE = 0.6;

    /** The minimum backoff after a rejected vote; a random time of up to the same length is added. */
    private static final long REJECTED_BACKOFF_US = 400_000;

    /**
     * The number of votes that may be cast at once, in seconds of the release controller's rate; the controller accepts
     * the votes of two seconds at once.
     */
    private static final double BURST_S = 1.5;

    /** The share of the release controller's rate that all relays together may use for renewals. */
    private static final double RENEWAL_RATE_SHARE = 0.9;

    /** How far the slots are shifted with each stage, as a share of all relays. */
    private static final double SLOT_SHIFT_SHARE = 0.382;

    /** The mean number of relays that log a vote other than one to roll back. */
    private static final int LOGGING_RELAYS = 2;

    /** The rate that is assumed if the release controller's is lower or not set. */
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

    /** Creates a caster without a vote. If the relay's index is not known, a random one is drawn. */
    VoteCaster(DecisionContext context) {
        this.context = context;
        this.policy = context.settings().rollout();
        this.relayCount = context.settings().relayCount();
        int configuredIndex = context.settings().relayIndex();
        this.relayIndex =
                configuredIndex >= 0 ? configuredIndex : context.random().nextInt(relayCount);
    }

    /**
     * Processes an update that may answer a vote. Returns whether the vote was not counted, in which case it is cast
     * again after a backoff. Guards against flooding a release controller that rejects votes or does not respond,
     * whatever the reason.
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

    /**
     * Processes a change of the newest build or its state. A vote to roll back remains valid in all states of its
     * build, other votes only in one state.
     */
    void onRolloutChange(boolean isNewBuild) {
        if (isNewBuild || castVerdict != Verdict.BACK) {
            castVerdict = Verdict.NONE;
        }
    }

    /**
     * Casts a verdict when this relay's slot is reached, unless the verdict was cast already and does not expire soon.
     */
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

    /**
     * Whether this relay's slot is reached. The slots of votes to promote are counted from the end of the stage's
     * minimum duration, which all relays know.
     */
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
     * Returns how long this relay waits for its slot. Guards against a fleet, of any size, that casts more votes than
     * the release controller accepts: each relay votes in its slot of an order that every relay knows and that is
     * shifted with each stage. Can do harm if the relays with the first slots cannot reach the release controller, as
     * the others then vote later than necessary.
     */
    private long slotDelayUs() {
        RolloutState rollout = context.rollout();
        int shift = (int) Math.max(1, SLOT_SHIFT_SHARE * relayCount);
        long offset = (rollout.newestBuild() + (long) rollout.stage()) * shift;
        int slot = (int) Math.floorMod(relayIndex + offset, (long) relayCount);
        return (long) (Math.max(0, slot - BURST_S * votesPerS()) / votesPerS() * DecisionClock.SECOND_US);
    }

    /**
     * Returns the interval at which a vote is renewed. All relays together renew no faster than the release controller
     * accepts votes; a vote to roll back is renewed before it expires, as only a quorum of relays has to keep its votes
     * valid.
     */
    private long renewalUs(Verdict verdict) {
        double fleetRenewalUs = relayCount * DecisionClock.SECOND_US / (RENEWAL_RATE_SHARE * votesPerS());
        double beforeExpiryUs = policy.voteTtlUs() * RENEW_TTL_SHARE;
        return (long) (verdict == Verdict.BACK ? beforeExpiryUs : Math.max(beforeExpiryUs, fleetRenewalUs));
    }
}
