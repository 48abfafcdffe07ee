package gatelock.membership;

/** Deadlines for decisions that take effect only after a condition has held continuously for the settle time. */
final class SettleTimer {
    /** The deadline of an event that is not scheduled. */
    static final long NEVER = Long.MAX_VALUE;

    private SettleTimer() {}

    /**
     * Returns the updated deadline. It is set when the condition begins to hold and cleared when it no longer holds.
     *
     * @param conditionHolds whether the condition holds now
     * @param deadlineUs the previous deadline, or {@link #NEVER} if there was none
     * @param nowUs the current time
     * @param settleUs how long the condition has to hold
     */
    static long deadline(boolean conditionHolds, long deadlineUs, long nowUs, long settleUs) {
        if (!conditionHolds) {
            return NEVER;
        }
        return deadlineUs == NEVER ? nowUs + settleUs : deadlineUs;
    }
}
