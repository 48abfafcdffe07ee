package gatelock.decision;

/** Estimates when the clock of the current stage began to run at the release controller. */
final class StageClock {
    /** The clock of a stage starts this long after its endpoints are up. */
    private static final long CLOCK_DELAY_US = DecisionClock.SECOND_US;

    /** The longest time after the start of a stage for which the clock waits for endpoints. */
    private static final long MAX_STARTUP_WAIT_US = 8 * DecisionClock.SECOND_US;

    private final DecisionContext context;

    /** Creates the estimate for the rollout of the context. */
    StageClock(DecisionContext context) {
        this.context = context;
    }

    /** Returns when the minimum duration of the stage ends. */
    long minStageEndUs(BuildState canary) {
        return startUs(canary) + context.settings().rollout().minStageUs();
    }

    /**
     * Returns when the clock started. If no endpoint was listed since the start of the stage, endpoints are expected
     * only as long as the latest startup took, because some stages add no endpoints.
     */
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
