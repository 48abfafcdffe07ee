package gatelock.decision;

/** A budget of announced work that is refilled at a given rate and saves up only a little. */
final class WorkBudget {
    /** The maximum that is saved up, as a time of refilling. */
    private static final double MAX_SAVED_US = DecisionClock.SECOND_US / 4.0;

    private double remainingUs;
    private long refilledAtUs;

    /** Creates a budget with this amount of work, which may be negative. */
    WorkBudget(double remainingUs, long nowUs) {
        this.remainingUs = remainingUs;
        this.refilledAtUs = nowUs;
    }

    /** Charges the work of a request. */
    void spend(double workUs) {
        remainingUs -= workUs;
    }

    /**
     * Refills the budget up to now at {@code rate} units of work per microsecond, and returns whether anything is left.
     */
    boolean refill(double rate, long nowUs) {
        remainingUs = Math.min(remainingUs + rate * (nowUs - refilledAtUs), rate * MAX_SAVED_US);
        refilledAtUs = nowUs;
        return remainingUs > 0;
    }
}
