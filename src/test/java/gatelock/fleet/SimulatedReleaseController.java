package gatelock.fleet;

import gatelock.api.DecisionEngine;
import gatelock.api.Verdict;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A release controller: counts the relays' votes, at a limited rate, and rolls a canary build out in stages. */
final class SimulatedReleaseController {
    /** How long a vote counts. */
    static final long VOTE_LIFETIME_US = 6 * VirtualClock.SECOND_US;

    private static final long EVALUATION_INTERVAL_US = 250 * VirtualClock.MILLISECOND_US;
    private static final long LAUNCH_DELAY_US = 2 * VirtualClock.SECOND_US;
    /** Time from the launch of a stage's endpoints until its bake time starts to count. */
    private static final long BAKE_DELAY_US = VirtualClock.SECOND_US;

    private static final long MIN_BROADCAST_DELAY_US = 50 * VirtualClock.MILLISECOND_US;
    private static final long BROADCAST_DELAY_RANGE_US = 150 * VirtualClock.MILLISECOND_US;
    private static final int BASE_BUILD = 1;

    private record Vote(int build, int stage, Verdict verdict, long expiresUs) {}

    /** What a relay is sent: the state of the rollout, how long it has been so, and the answer to the relay's vote. */
    record State(
            int build,
            int stage,
            DecisionEngine.ReleasePhase phase,
            double cap,
            long ageUs,
            DecisionEngine.VoteResponse answer) {}

    private final Simulation simulation;
    private final FleetParameters parameters;
    private final SimulatedEndpoints endpoints;
    private final EndpointLifecycle lifecycle;
    private final List<SimulatedRelay> relays;
    /** By relay: its last vote on the current build. */
    private final Map<Integer, Vote> votes = new HashMap<>();

    private final List<Long> stageDurationsUs = new ArrayList<>();
    private double voteTokens;
    private long voteTokensUs;
    private int build = BASE_BUILD;
    private int stage;
    private DecisionEngine.ReleasePhase phase = DecisionEngine.ReleasePhase.RELEASED;
    private long phaseSinceUs;
    private long bakeFromUs;
    private int rejectedVotes;

    /** @param relays all relays of the fleet, which may still be added to */
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

    DecisionEngine.ReleasePhase phase() {
        return phase;
    }

    /** When the current phase or stage began. */
    long phaseSinceUs() {
        return phaseSinceUs;
    }

    /** How long each stage took that was passed. */
    List<Long> stageDurationsUs() {
        return List.copyOf(stageDurationsUs);
    }

    /** Whether the last build passed all of its stages. */
    boolean passedAllStages() {
        return stageDurationsUs.size() == parameters.stageShares.length;
    }

    /** Votes that were rejected because they came too fast. */
    int rejectedVotes() {
        return rejectedVotes;
    }

    /** For each stage, the largest share of requests that may go to the canary. */
    double[] stageCaps() {
        return Arrays.stream(parameters.stageShares)
                .map(share -> Math.min(1, share * parameters.stageCapFactor))
                .toArray();
    }

    // ---- Rollout -------------------------------------------------------------------------------------------

    /** Begins the rollout of the next build. */
    void offerNextBuild() {
        build++;
        stage = 0;
        phase = DecisionEngine.ReleasePhase.TRIAL;
        beginStage();
    }

    private void beginStage() {
        phaseSinceUs = simulation.nowUs();
        bakeFromUs = Long.MAX_VALUE;
        votes.clear();
        int running = endpoints.ofBuild(build).size();
        int wanted = (int) Math.ceil(parameters.stageShares[stage] * parameters.endpoints);
        simulation.schedule(LAUNCH_DELAY_US, () -> {
            lifecycle.launch(build, wanted - running);
            bakeFromUs = simulation.nowUs() + BAKE_DELAY_US;
        });
        broadcastState();
    }

    /** Evaluates the votes now, and again at a fixed interval. */
    void evaluate() {
        simulation.schedule(EVALUATION_INTERVAL_US, this::evaluate);
        boolean undecided = phase == DecisionEngine.ReleasePhase.TRIAL || phase == DecisionEngine.ReleasePhase.RELEASED;
        if (!undecided || build == BASE_BUILD) {
            return;
        }
        if (countVotes(Verdict.BACK) >= parameters.votesNeeded(parameters.rollbackShare)) {
            enter(DecisionEngine.ReleasePhase.REVERTING, build);
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
            enter(DecisionEngine.ReleasePhase.RELEASED, build - 1);
        }
    }

    private void enter(DecisionEngine.ReleasePhase next, int drainedBuild) {
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

    /** Sends a relay the answer to its vote and, unless the vote was not counted, the state of the rollout. */
    void sendState(SimulatedRelay relay, DecisionEngine.VoteResponse answer) {
        if (answer != DecisionEngine.VoteResponse.NOT_ASKED && answer != DecisionEngine.VoteResponse.COUNTED) {
            relay.receive(new State(0, 0, DecisionEngine.ReleasePhase.TRIAL, 0, 0, answer));
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
        relay.receive(new State(build, stage, phase, cap(), nowUs - phaseSinceUs, answer));
    }

    private double cap() {
        return switch (phase) {
            case TRIAL -> stageCaps()[stage];
            case RELEASED -> 1;
            default -> 0;
        };
    }

    /** Takes a relay's vote: counts it, or tells that it is too much at once or of no use. */
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
        double refill = (nowUs - voteTokensUs) * parameters.votesPerS / VirtualClock.SECOND_US;
        voteTokens = Math.min(2 * parameters.votesPerS, voteTokens + refill);
        voteTokensUs = nowUs;
        if (voteTokens < 1) {
            return false;
        }
        voteTokens--;
        return true;
    }

    /** The votes that count now; a vote for a rollback counts in whichever stage it was cast. */
    private long countVotes(Verdict verdict) {
        return votes.values().stream()
                .filter(vote -> vote.verdict == verdict
                        && vote.build == build
                        && vote.expiresUs > simulation.nowUs()
                        && (verdict == Verdict.BACK || vote.stage == stage))
                .count();
    }
}
