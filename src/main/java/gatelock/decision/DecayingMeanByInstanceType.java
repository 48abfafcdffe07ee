package gatelock.decision;

import java.util.Map;
import java.util.TreeMap;

/** A decaying mean over all values, and one for each instance type. */
final class DecayingMeanByInstanceType {
    private final double timeConstantUs;
    private final DecayingSum all;
    private final Map<Integer, DecayingSum> byInstanceType = new TreeMap<>();

    /** Creates means without values. */
    DecayingMeanByInstanceType(double timeConstantUs) {
        this.timeConstantUs = timeConstantUs;
        all = new DecayingSum(timeConstantUs);
    }

    /** Adds a value of an instance type. */
    void add(long nowUs, int instanceType, double value) {
        all.add(nowUs, value);
        byInstanceType
                .computeIfAbsent(instanceType, k -> new DecayingSum(timeConstantUs))
                .add(nowUs, value);
    }

    /**
     * Returns the mean of one instance type, shrunk towards the overall mean by the weight of one value; for an unknown
     * instance type the overall mean.
     */
    double mean(long nowUs, int instanceType, double fallback) {
        double overall = all.mean(nowUs, fallback);
        DecayingSum ofInstanceType = byInstanceType.get(instanceType);
        return ofInstanceType == null ? overall : ofInstanceType.shrunkMean(nowUs, overall, 1);
    }
}
