package gatelock.decision;

/** This relay's rate of answers, and the announced work of the requests that recently arrived and completed. */
final class Throughput {
    /** Rates of answers fade over this time. */
    static final double RATE_MEMORY_US = 3.0 * DecisionClock.SECOND_US;

    /** Work fades over this time. */
    static final double WORK_MEMORY_US = 6.0 * DecisionClock.SECOND_US;

    /** Work that arrives counts in this part where less was completed recently. */
    private static final double ARRIVED_PART = 0.25;

    /** The fleet is set against its own past only while no more work arrives than this many times that of then. */
    private static final double MORE_WORK = 1.2;

    private final DecisionClock clock;
    private final DecayingSum answers = new DecayingSum(RATE_MEMORY_US);
    private final DecayingSum completedWork = new DecayingSum(WORK_MEMORY_US);
    private final DecayingSum arrivedWork = new DecayingSum(WORK_MEMORY_US);
    private double arrivedBeforeCanary;

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
        return answers.count(clock.nowUs()) / RATE_MEMORY_US;
    }

    /** Announced work that this relay completes, or a part of what arrives, in microseconds of work per microsecond. */
    double workRate() {
        double work = Math.max(completedWork.sum(clock.nowUs()), ARRIVED_PART * arrivedWork.sum(clock.nowUs()));
        return work / WORK_MEMORY_US;
    }

    /** A new build was listed: what arrives now is the work from before it. */
    void rememberWorkBeforeCanary() {
        arrivedBeforeCanary = steadyArrivedWork();
    }

    /** Whether clearly more work arrives than before the newest build was listed. */
    boolean exceedsWorkBeforeCanary() {
        return steadyArrivedWork() > MORE_WORK * arrivedBeforeCanary;
    }

    /** The work that arrived recently, scaled as if it had come at the same rate since long before the start. */
    private double steadyArrivedWork() {
        double elapsedPart = 1 - Math.exp((clock.startUs() - clock.nowUs() - 1) / WORK_MEMORY_US);
        return arrivedWork.sum(clock.nowUs()) / elapsedPart;
    }
}
