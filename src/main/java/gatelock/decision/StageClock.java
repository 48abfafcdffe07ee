package gatelock.decision;

/** When the present stage's clock began to run, as far as a relay can tell. */
final class StageClock {
    /** A stage's clock runs so long after its machines are up. */
    private static final long LAG_US = DecisionClock.SECOND_US;

    /** It begins to run at the latest so long after the stage's start. */
    private static final long LATEST_US = 8 * DecisionClock.SECOND_US;

    private final DecisionContext context;

    StageClock(DecisionContext context) {
        this.context = context;
    }

    /** When the stage's least time has passed. */
    long leastTimeEndUs(BuildState canary) {
        return startUs(canary) + context.settings().rollout().minStageUs();
    }

    /** Machines not listed yet are waited for as long as the last ones took: some stages bring none. */
    private long startUs(BuildState canary) {
        long stageStartUs = context.rollout().stageStartUs();
        long latestUs = stageStartUs + LATEST_US;
        if (canary.readyEndpoints().isEmpty()) {
            return latestUs;
        }
        long newestUs = canary.latestStartUs();
        long expectedUs = stageStartUs + context.rollout().machineStartupUs();
        long upUs = newestUs >= stageStartUs ? newestUs : expectedUs;
        return Math.min(latestUs, upUs) + LAG_US;
    }
}
