package gatelock.decision;

/** This relay's rate of answers, and the announced work of the requests that recently arrived and completed. */
final class Throughput {
    /** Rates of answers fade over this time. */
    static final double RATE_TIME_CONSTANT_US = 3.0 * DecisionClock.SECOND_US;

    /** Work fades over this time. */
    static final double WORK_TIME_CONSTANT_US = 6.0 * DecisionClock.SECOND_US;

    /** Work that arrives counts in this part where less was completed recently. */
    private static final double ARRIVED_WORK_SHARE = 0.25;

    /** The fleet is set against its own past only while no more work arrives than this many times that of then. */
    private static final double WORK_INCREASE_THRESHOLD = 1.2;

    private final DecisionClock clock;
    private final DecayingSum answers = new DecayingSum(RATE_TIME_CONSTANT_US);
    private final DecayingSum completedWork = new DecayingSum(WORK_TIME_CONSTANT_US);
    private final DecayingSum arrivedWork = new DecayingSum(WORK_TIME_CONSTANT_US);
    private double arrivedWorkBeforeCanary;

    Throughput(DecisionClock clock) {
        this.clock = clock;
    }

    void requestArrived(long costUs) {
        arrivedWork.add(clock.nowUs(), (double) costUs);
    }

    void requestCompleted(long costUs) {
        answers.add(clock.nowUs(), 1);
        completedWork.add(clock.nowUs(), (double) costUs);
    }

    double answersPerUs() {
        return answers.count(clock.nowUs()) / RATE_TIME_CONSTANT_US;
    }

    /** Announced work that this relay completes, or a part of what arrives, in microseconds of work per microsecond. */
    double workRate() {
        double work = Math.max(completedWork.sum(clock.nowUs()), ARRIVED_WORK_SHARE * arrivedWork.sum(clock.nowUs()));
        return work / WORK_TIME_CONSTANT_US;
    }

    /** A new build was listed: what arrives now is the work from before it. */
    void snapshotWorkBeforeCanary() {
        arrivedWorkBeforeCanary = steadyArrivedWork();
    }

    /** Whether clearly more work arrives than before the newest build was listed. */
    boolean exceedsWorkBeforeCanary() {
        return steadyArrivedWork() > WORK_INCREASE_THRESHOLD * arrivedWorkBeforeCanary;
    }

    /** The work that arrived recently, scaled as if it had come at the same rate since long before the start. */
    private double steadyArrivedWork() {
        double elapsedShare = 1 - Math.exp((clock.startUs() - clock.nowUs() - 1) / WORK_TIME_CONSTANT_US);
        return arrivedWork.sum(clock.nowUs()) / elapsedShare;
    }
}
