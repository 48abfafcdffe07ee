package gatelock.decision;

import java.util.Map;
import java.util.TreeMap;

/** A decaying mean over all values, and one for each machine kind. */
final class DecayingMeanByKind {
    private final double memoryUs;
    private final DecayingSum all;
    private final Map<Integer, DecayingSum> byKind = new TreeMap<>();

    DecayingMeanByKind(double memoryUs) {
        this.memoryUs = memoryUs;
        all = new DecayingSum(memoryUs);
    }

    void add(long nowUs, int kind, double value) {
        all.add(nowUs, value);
        byKind.computeIfAbsent(kind, k -> new DecayingSum(memoryUs)).add(nowUs, value);
    }

    /** The mean of one kind, shrunk towards that of all by the weight of one value; that of all for an unknown kind. */
    double mean(long nowUs, int kind, double fallback) {
        double overall = all.mean(nowUs, fallback);
        DecayingSum ofKind = byKind.get(kind);
        return ofKind == null ? overall : ofKind.shrunkMean(nowUs, overall, 1);
    }
}
