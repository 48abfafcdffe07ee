package gatelock.decision;

/** A budget of announced work that fills at a given rate and saves up only a little. */
final class WorkBudget {
    /** The most time's worth of filling that is saved up. */
    private static final double MAX_SAVED_US = DecisionClock.SECOND_US / 4.0;

    private double remainingUs;
    private long refilledAtUs;

    WorkBudget(double remainingUs, long nowUs) {
        this.remainingUs = remainingUs;
        this.refilledAtUs = nowUs;
    }

    void spend(double workUs) {
        remainingUs -= workUs;
    }

    /** Fills up to now, at so much work per microsecond, and tells whether anything is left. */
    boolean refill(double rate, long nowUs) {
        remainingUs = Math.min(remainingUs + rate * (nowUs - refilledAtUs), rate * MAX_SAVED_US);
        refilledAtUs = nowUs;
        return remainingUs > 0;
    }
}
