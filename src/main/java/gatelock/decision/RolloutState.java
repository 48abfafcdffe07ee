package gatelock.decision;

import gatelock.api.DecisionEngine.ReleasePhase;
import gatelock.api.RolloutPolicy;
import java.util.HashSet;
import java.util.Set;

/** The newest build as the release controller last described it, and the builds that were withdrawn. */
final class RolloutState {
    private final RolloutPolicy policy;
    private final Set<Integer> withdrawnBuilds = new HashSet<>();
    private int newestBuild = -1;
    private int stage;
    private ReleasePhase phase = ReleasePhase.WITHDRAWN;
    private double cap;
    private long stageStartUs;
    private long endpointStartupUs;

    /** Creates the state before the release controller has described any build. */
    RolloutState(RolloutPolicy policy) {
        this.policy = policy;
    }

    /**
     * Whether a received state is older than the current one. The states of a build follow a fixed order; a state that
     * precedes the current one in this order is accepted only if it began later. Guards against the answer to a vote
     * that arrives after a more recent update on another connection.
     */
    boolean isStale(int newBuild, int newStage, ReleasePhase newPhase, long sinceUs) {
        return isBefore(newBuild, newStage, newPhase) && sinceUs <= stageStartUs;
    }

    private boolean isBefore(int newBuild, int newStage, ReleasePhase newPhase) {
        if (newBuild != newestBuild) {
            return newBuild < newestBuild;
        }
        return newPhase == phase ? newStage < stage : newPhase.compareTo(phase) < 0;
    }

    /** Whether a received state differs from the current one. */
    boolean isChange(int newBuild, int newStage, ReleasePhase newPhase) {
        return newBuild != newestBuild || newStage != stage || newPhase != phase;
    }

    /**
     * Applies a state that began at {@code sinceUs}. The start of the stage changes only if the state differs from the
     * current one.
     */
    void update(int newBuild, int newStage, ReleasePhase newPhase, double newCap, long sinceUs) {
        stageStartUs = isChange(newBuild, newStage, newPhase) ? sinceUs : stageStartUs;
        newestBuild = newBuild;
        stage = newStage;
        phase = newPhase;
        cap = newPhase == ReleasePhase.TRIAL || newPhase == ReleasePhase.RELEASED ? newCap : 0;
        withdrawnBuilds.remove(newBuild);
        if (isRollingBack()) {
            withdrawnBuilds.add(newBuild);
        }
    }

    /**
     * Records an endpoint process that was listed for the first time. One that started in the current stage shows how
     * long the startup of its endpoints takes.
     */
    void endpointListed(int build, long startedAtUs, long nowUs) {
        if (build == newestBuild && startedAtUs >= stageStartUs) {
            endpointStartupUs = nowUs - stageStartUs;
        }
    }

    /** Returns the number of the newest build, or -1 if none is known. */
    int newestBuild() {
        return newestBuild;
    }

    /** Returns the stage of its rollout, from 0. */
    int stage() {
        return stage;
    }

    /** Returns its phase. */
    ReleasePhase phase() {
        return phase;
    }

    /** Returns when the current state began. */
    long stageStartUs() {
        return stageStartUs;
    }

    /**
     * Returns the latest measured time from the start of a stage until its endpoints were listed; 0 if there is none
     * yet.
     */
    long endpointStartupUs() {
        return endpointStartupUs;
    }

    /** Whether the newest build is being rolled back or has been withdrawn. */
    boolean isRollingBack() {
        return phase == ReleasePhase.REVERTING || phase == ReleasePhase.WITHDRAWN;
    }

    /** Whether a build is not released yet. */
    boolean isCanary(int build) {
        return build > newestBuild || (build == newestBuild && phase != ReleasePhase.RELEASED);
    }

    /** Whether a build was rolled back or is being rolled back. */
    boolean isWithdrawn(int build) {
        return withdrawnBuilds.contains(build);
    }

    /**
     * Returns the share of the requests that a canary build may receive. A build that was not announced yet has the cap
     * of the first stage.
     */
    double capOf(int build) {
        double[] caps = policy.stageCaps();
        if (build == newestBuild) {
            return cap;
        }
        return caps.length == 0 ? 0 : caps[0];
    }

    /**
     * Whether a build accepts new requests. Enforces rule 5: nothing new is sent to a withdrawn build or to a canary
     * without a cap.
     */
    boolean acceptsNewRequests(int build) {
        return !isWithdrawn(build) && (!isCanary(build) || capOf(build) > 0);
    }

    /** Whether a canary build receives only retriable requests in its current stage. */
    boolean isGuardedStage(int build) {
        int stageOfBuild = build == newestBuild ? stage : 0;
        return stageOfBuild < policy.guardedStages();
    }
}
