package gatelock.decision;

/** When the present stage's clock began to run, as far as a relay can tell. */
final class StageClock {
    /** A stage's clock runs so long after its machines are up. */
    private static final long CLOCK_DELAY_US = DecisionClock.SECOND_US;

    /** It begins to run at the latest so long after the stage's start. */
    private static final long MAX_STARTUP_WAIT_US = 8 * DecisionClock.SECOND_US;

    private final DecisionContext context;

    StageClock(DecisionContext context) {
        this.context = context;
    }

    /** When the stage's least time has passed. */
    long minStageEndUs(BuildState canary) {
        return startUs(canary) + context.settings().rollout().minStageUs();
    }

    /** Machines not listed yet are waited for as long as the last ones took: some stages bring none. */
    private long startUs(BuildState canary) {
        long stageStartUs = context.rollout().stageStartUs();
        long latestUs = stageStartUs + MAX_STARTUP_WAIT_US;
        if (canary.readyEndpoints().isEmpty()) {
            return latestUs;
        }
        long latestEndpointStartUs = canary.latestStartUs();
        long expectedUs = stageStartUs + context.rollout().endpointStartupUs();
        long endpointsUpUs = latestEndpointStartUs >= stageStartUs ? latestEndpointStartUs : expectedUs;
        return Math.min(latestUs, endpointsUpUs) + CLOCK_DELAY_US;
    }
}
