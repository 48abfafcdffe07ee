package gatelock.decision;

import gatelock.api.DecisionEngine.ReleasePhase;
import gatelock.api.RolloutPolicy;
import java.util.HashSet;
import java.util.Set;

/** The newest build as the release controller last described it, and which builds were withdrawn. */
final class RolloutState {
    private final RolloutPolicy policy;
    private final Set<Integer> withdrawnBuilds = new HashSet<>();
    private int newestBuild = -1;
    private int stage;
    private ReleasePhase phase = ReleasePhase.WITHDRAWN;
    private double cap;
    private long stageStartUs;
    private long machineStartupUs;

    RolloutState(RolloutPolicy policy) {
        this.policy = policy;
    }

    /**
     * Whether a state comes before the current one. States of a build come in one order; one before the newest counts
     * only if it began later. Guards against the answer to a vote that newer news on another connection have overtaken.
     */
    boolean isOvertaken(int newBuild, int newStage, ReleasePhase newPhase, long sinceUs) {
        return isBefore(newBuild, newStage, newPhase) && sinceUs <= stageStartUs;
    }

    private boolean isBefore(int newBuild, int newStage, ReleasePhase newPhase) {
        if (newBuild != newestBuild) {
            return newBuild < newestBuild;
        }
        return newPhase == phase ? newStage < stage : newPhase.compareTo(phase) < 0;
    }

    /** Whether a state is another than the current one. */
    boolean isChange(int newBuild, int newStage, ReleasePhase newPhase) {
        return newBuild != newestBuild || newStage != stage || newPhase != phase;
    }

    /** Takes over a state that began at the given time; the time counts only where the state is another one. */
    void update(int newBuild, int newStage, ReleasePhase newPhase, double newCap, long sinceUs) {
        stageStartUs = isChange(newBuild, newStage, newPhase) ? sinceUs : stageStartUs;
        newestBuild = newBuild;
        stage = newStage;
        phase = newPhase;
        cap = newPhase == ReleasePhase.TRIAL || newPhase == ReleasePhase.RELEASED ? newCap : 0;
        withdrawnBuilds.remove(newBuild);
        if (isGoingBack()) {
            withdrawnBuilds.add(newBuild);
        }
    }

    /** An endpoint process was listed for the first time: one started in this stage shows how long startup takes. */
    void endpointListed(int build, long startUs, long nowUs) {
        if (build == newestBuild && startUs >= stageStartUs) {
            machineStartupUs = nowUs - stageStartUs;
        }
    }

    int newestBuild() {
        return newestBuild;
    }

    int stage() {
        return stage;
    }

    ReleasePhase phase() {
        return phase;
    }

    long stageStartUs() {
        return stageStartUs;
    }

    /** The time from a stage's start until its machines were listed, as last seen; 0 where none were yet. */
    long machineStartupUs() {
        return machineStartupUs;
    }

    /** Whether the newest build is being withdrawn or is withdrawn. */
    boolean isGoingBack() {
        return phase == ReleasePhase.REVERTING || phase == ReleasePhase.WITHDRAWN;
    }

    /** Whether a build is not released yet. */
    boolean isCanary(int build) {
        return build > newestBuild || (build == newestBuild && phase != ReleasePhase.RELEASED);
    }

    boolean isWithdrawn(int build) {
        return withdrawnBuilds.contains(build);
    }

    /** The share of the requests that a canary build may get; a build not announced yet has the first stage's. */
    double capOf(int build) {
        double[] caps = policy.stageCaps();
        if (build == newestBuild) {
            return cap;
        }
        return caps.length == 0 ? 0 : caps[0];
    }

    /** Rule 5: nothing new goes to a build that was withdrawn, or to a canary without a cap. */
    boolean isOpen(int build) {
        return !isWithdrawn(build) && (!isCanary(build) || capOf(build) > 0);
    }

    /** Whether a canary build gets only retriable requests in its present stage. */
    boolean isGuardedStage(int build) {
        int stageOfBuild = build == newestBuild ? stage : 0;
        return stageOfBuild < policy.guardedStages();
    }
}
