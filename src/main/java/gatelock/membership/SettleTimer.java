package gatelock.membership;

/** Deadlines for decisions that take effect only after a condition has held without a break for the settle time. */
final class SettleTimer {
    /** The deadline of what is not going to happen. */
    static final long NEVER = Long.MAX_VALUE;

    private SettleTimer() {}

    /**
     * The deadline from now on: it starts when the condition begins to hold and is dropped when it no longer does.
     *
     * @param holds whether the condition holds now
     * @param deadlineUs the deadline so far, {@link #NEVER} for none
     * @param nowUs the time
     * @param settleUs how long the condition has to hold
     */
    static long deadline(boolean holds, long deadlineUs, long nowUs, long settleUs) {
        if (!holds) {
            return NEVER;
        }
        return deadlineUs == NEVER ? nowUs + settleUs : deadlineUs;
    }
}
