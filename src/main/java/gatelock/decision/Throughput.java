package gatelock.decision;

/**
 * This relay's rate of answers, and the announced cost ("work") of the requests that recently arrived and completed.
 */
final class Throughput {
    /** The time constant with which rates of answers decay. */
    static final double RATE_TIME_CONSTANT_US = 3.0 * DecisionClock.SECOND_US;

    /** The time constant with which work decays. */
    static final double WORK_TIME_CONSTANT_US = 6.0 * DecisionClock.SECOND_US;

    /** The share of the arrived work that counts as the minimum of the completed work. */
    private static final double ARRIVED_WORK_SHARE = 0.25;

    /**
     * The fleet is compared with its own past only while the arriving work is at most this multiple of the work at that
     * time.
     */
    private static final double WORK_INCREASE_THRESHOLD = 1.2;

    private final DecisionClock clock;
    private final DecayingSum answers = new DecayingSum(RATE_TIME_CONSTANT_US);
    private final DecayingSum completedWork = new DecayingSum(WORK_TIME_CONSTANT_US);
    private final DecayingSum arrivedWork = new DecayingSum(WORK_TIME_CONSTANT_US);
    private double arrivedWorkBeforeCanary;

    /** Creates a measurement without requests. */
    Throughput(DecisionClock clock) {
        this.clock = clock;
    }

    /** Records the cost of a request that arrived. */
    void requestArrived(long costUs) {
        arrivedWork.add(clock.nowUs(), (double) costUs);
    }

    /** Records the cost of a request that was answered successfully. */
    void requestCompleted(long costUs) {
        answers.add(clock.nowUs(), 1);
        completedWork.add(clock.nowUs(), (double) costUs);
    }

    /** Returns the recent rate of answers, per microsecond. */
    double answersPerUs() {
        return answers.count(clock.nowUs()) / RATE_TIME_CONSTANT_US;
    }

    /**
     * Returns the announced work that this relay completes, or a share of the arriving work if that is higher, in
     * microseconds of work per microsecond.
     */
    double workRate() {
        double work = Math.max(completedWork.sum(clock.nowUs()), ARRIVED_WORK_SHARE * arrivedWork.sum(clock.nowUs()));
        return work / WORK_TIME_CONSTANT_US;
    }

    /** Stores the current rate of arriving work as the rate before the canary, because a new build was listed. */
    void snapshotWorkBeforeCanary() {
        arrivedWorkBeforeCanary = steadyArrivedWork();
    }

    /** Whether clearly more work arrives than before the newest build was listed. */
    boolean exceedsWorkBeforeCanary() {
        return steadyArrivedWork() > WORK_INCREASE_THRESHOLD * arrivedWorkBeforeCanary;
    }

    /**
     * Returns the work that arrived recently, corrected for the short time since the relay's start as if work had
     * always arrived at the same rate.
     */
    private double steadyArrivedWork() {
        double elapsedShare = 1 - Math.exp((clock.startUs() - clock.nowUs() - 1) / WORK_TIME_CONSTANT_US);
        return arrivedWork.sum(clock.nowUs()) / elapsedShare;
    }
}
