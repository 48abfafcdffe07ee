package gatelock.decision;

/** A budget of announced work that fills at a given rate and saves up only a little. */
final class WorkBudget {
    /** The most time's worth of filling that is saved up. */
    private static final double SAVED_US = DecisionClock.SECOND_US / 4.0;

    private double leftUs;
    private long filledAtUs;

    WorkBudget(double leftUs, long nowUs) {
        this.leftUs = leftUs;
        this.filledAtUs = nowUs;
    }

    void spend(double workUs) {
        leftUs -= workUs;
    }

    /** Fills up to now, at so much work per microsecond, and tells whether anything is left. */
    boolean refill(double rate, long nowUs) {
        leftUs = Math.min(leftUs + rate * (nowUs - filledAtUs), rate * SAVED_US);
        filledAtUs = nowUs;
        return leftUs > 0;
    }
}
