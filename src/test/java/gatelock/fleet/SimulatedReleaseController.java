package gatelock.fleet;

import gatelock.api.DecisionEngine;
import gatelock.api.Verdict;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A release controller, which accepts the relays' votes at a limited rate and rolls out a canary build in stages. */
final class SimulatedReleaseController {
    /** How long a vote is valid. */
    static final long VOTE_LIFETIME_US = 6 * VirtualClock.SECOND_US;

    private static final long EVALUATION_INTERVAL_US = 250 * VirtualClock.MILLISECOND_US;
    private static final long LAUNCH_DELAY_US = 2 * VirtualClock.SECOND_US;
    /** Time from the launch of a stage's endpoints until its bake time begins. */
    private static final long BAKE_DELAY_US = VirtualClock.SECOND_US;

    private static final long MIN_BROADCAST_DELAY_US = 50 * VirtualClock.MILLISECOND_US;
    private static final long BROADCAST_DELAY_RANGE_US = 150 * VirtualClock.MILLISECOND_US;
    private static final int BASE_BUILD = 1;

    private record Vote(int build, int stage, Verdict verdict, long expiresUs) {}

    /**
     * A message to a relay: the state of the rollout, the time since it last changed, and the response to the relay's
     * vote.
     */
    record State(
            int build,
            int stage,
            DecisionEngine.ReleasePhase phase,
            double cap,
            long ageUs,
            DecisionEngine.VoteResponse voteResponse) {}

    private final Simulation simulation;
    private final FleetParameters parameters;
    private final SimulatedEndpoints endpoints;
    private final EndpointLifecycle lifecycle;
    private final List<SimulatedRelay> relays;
    /** The last vote of each relay since the current stage began, by relay number. */
    private final Map<Integer, Vote> votes = new HashMap<>();

    private final List<Long> stageDurationsUs = new ArrayList<>();
    private double voteTokens;
    private long voteTokensRefilledUs;
    private int build = BASE_BUILD;
    private int stage;
    private DecisionEngine.ReleasePhase phase = DecisionEngine.ReleasePhase.RELEASED;
    private long phaseSinceUs;
    private long bakeFromUs;
    private int rejectedVotes;

    /**
     * Creates a release controller whose base build is released.
     *
     * @param relays all relays of the fleet; relays may be added to this list later
     */
    SimulatedReleaseController(
            Simulation simulation,
            SimulatedEndpoints endpoints,
            EndpointLifecycle lifecycle,
            List<SimulatedRelay> relays) {
        this.simulation = simulation;
        this.parameters = simulation.parameters();
        this.endpoints = endpoints;
        this.lifecycle = lifecycle;
        this.relays = relays;
        this.voteTokens = 2 * parameters.votesPerS;
    }

    /** Returns the phase of the last rollout. */
    DecisionEngine.ReleasePhase phase() {
        return phase;
    }

    /** Returns the time at which the current phase or stage began. */
    long phaseSinceUs() {
        return phaseSinceUs;
    }

    /** Returns the duration of each stage that was passed. */
    List<Long> stageDurationsUs() {
        return List.copyOf(stageDurationsUs);
    }

    /** Returns whether the rollout passed all stages. */
    boolean passedAllStages() {
        return stageDurationsUs.size() == parameters.stageShares.length;
    }

    /** Returns the number of votes that were rejected by the rate limit. */
    int rejectedVotes() {
        return rejectedVotes;
    }

    /** Returns, for each stage, the maximum share of requests that may be sent to the canary. */
    double[] stageCaps() {
        return Arrays.stream(parameters.stageShares)
                .map(share -> Math.min(1, share * parameters.stageCapFactor))
                .toArray();
    }

    // ---- Rollout -------------------------------------------------------------------------------------------

    /** Starts the rollout of the next build. */
    void startNextRollout() {
        build++;
        stage = 0;
        phase = DecisionEngine.ReleasePhase.TRIAL;
        beginStage();
    }

    private void beginStage() {
        phaseSinceUs = simulation.nowUs();
        bakeFromUs = Long.MAX_VALUE;
        votes.clear();
        int runningCount = endpoints.ofBuild(build).size();
        int targetCount = (int) Math.ceil(parameters.stageShares[stage] * parameters.endpoints);
        simulation.schedule(LAUNCH_DELAY_US, () -> {
            lifecycle.launch(build, targetCount - runningCount);
            bakeFromUs = simulation.nowUs() + BAKE_DELAY_US;
        });
        broadcastState();
    }

    /** Evaluates the votes now and then periodically. */
    void evaluate() {
        simulation.schedule(EVALUATION_INTERVAL_US, this::evaluate);
        boolean acceptsVotes =
                phase == DecisionEngine.ReleasePhase.TRIAL || phase == DecisionEngine.ReleasePhase.RELEASED;
        if (!acceptsVotes || build == BASE_BUILD) {
            return;
        }
        if (countVotes(Verdict.BACK) >= parameters.votesNeeded(parameters.rollbackShare)) {
            enterPhase(DecisionEngine.ReleasePhase.REVERTING, build);
        } else if (mayPromote()) {
            promote();
        }
    }

    private boolean mayPromote() {
        return phase == DecisionEngine.ReleasePhase.TRIAL
                && bakeFromUs < simulation.nowUs() - parameters.bakeTimeUs
                && countVotes(Verdict.ON) >= parameters.votesNeeded(parameters.promotionShare);
    }

    private void promote() {
        stageDurationsUs.add(simulation.nowUs() - phaseSinceUs);
        if (stage + 1 < parameters.stageShares.length) {
            stage++;
            beginStage();
        } else {
            enterPhase(DecisionEngine.ReleasePhase.RELEASED, build - 1);
        }
    }

    private void enterPhase(DecisionEngine.ReleasePhase next, int drainedBuild) {
        phase = next;
        phaseSinceUs = simulation.nowUs();
        lifecycle.drain(drainedBuild);
        broadcastState();
    }

    // ---- Relays --------------------------------------------------------------------------------------------

    private void broadcastState() {
        for (SimulatedRelay relay : relays) {
            long delayUs = MIN_BROADCAST_DELAY_US + simulation.random().nextLong(BROADCAST_DELAY_RANGE_US);
            simulation.schedule(delayUs, () -> {
                if (relay.isUp()) {
                    sendState(relay, DecisionEngine.VoteResponse.NOT_ASKED);
                }
            });
        }
    }

    /** Sends a relay the response to its vote and, unless the vote was not counted, the state of the rollout. */
    void sendState(SimulatedRelay relay, DecisionEngine.VoteResponse voteResponse) {
        if (voteResponse != DecisionEngine.VoteResponse.NOT_ASKED
                && voteResponse != DecisionEngine.VoteResponse.COUNTED) {
            relay.receive(new State(0, 0, DecisionEngine.ReleasePhase.TRIAL, 0, 0, voteResponse));
            return;
        }
        long nowUs = simulation.nowUs();
        simulation
                .records()
                .canaryCaps
                .add(
                        phase == DecisionEngine.ReleasePhase.TRIAL
                                ? new FleetRecords.CanaryCap(relay.number(), build, cap(), nowUs)
                                : FleetRecords.CanaryCap.none(relay.number(), nowUs));
        relay.receive(new State(build, stage, phase, cap(), nowUs - phaseSinceUs, voteResponse));
    }

    private double cap() {
        return switch (phase) {
            case TRIAL -> stageCaps()[stage];
            case RELEASED -> 1;
            default -> 0;
        };
    }

    /** Counts a relay's vote, or rejects it because of the rate limit or because it is for another build or stage. */
    DecisionEngine.VoteResponse receiveVote(int relay, int votedBuild, int votedStage, Verdict verdict) {
        long nowUs = simulation.nowUs();
        simulation.records().voteTimesUs.add(nowUs);
        if (!tryTakeToken(nowUs)) {
            rejectedVotes++;
            return DecisionEngine.VoteResponse.BUSY;
        }
        boolean stageMatters = verdict != Verdict.BACK;
        if (votedBuild != build || (votedStage != stage && stageMatters)) {
            return DecisionEngine.VoteResponse.MOOT;
        }
        votes.put(relay, new Vote(votedBuild, votedStage, verdict, nowUs + VOTE_LIFETIME_US));
        return DecisionEngine.VoteResponse.COUNTED;
    }

    private boolean tryTakeToken(long nowUs) {
        double refill = (nowUs - voteTokensRefilledUs) * parameters.votesPerS / VirtualClock.SECOND_US;
        voteTokens = Math.min(2 * parameters.votesPerS, voteTokens + refill);
        voteTokensRefilledUs = nowUs;
        if (voteTokens < 1) {
            return false;
        }
        voteTokens--;
        return true;
    }

    /** Counts the valid votes; a vote for a rollback counts regardless of the stage in which it was cast. */
    private long countVotes(Verdict verdict) {
        return votes.values().stream()
                .filter(vote -> vote.verdict == verdict
                        && vote.build == build
                        && vote.expiresUs > simulation.nowUs()
                        && (verdict == Verdict.BACK || vote.stage == stage))
                .count();
    }
}
