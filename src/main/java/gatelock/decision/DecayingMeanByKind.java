package gatelock.decision;

import java.util.Map;
import java.util.TreeMap;

/** A figure that fades, over all and by kind. */
final class DecayingMeanByKind {
    private final double memoryUs;
    private final DecayingSum all;
    private final Map<Integer, DecayingSum> kinds = new TreeMap<>();

    DecayingMeanByKind(double memoryUs) {
        this.memoryUs = memoryUs;
        all = new DecayingSum(memoryUs);
    }

    void add(long nowUs, int kind, double value) {
        all.add(nowUs, value);
        kinds.computeIfAbsent(kind, k -> new DecayingSum(memoryUs)).add(nowUs, value);
    }

    /** The mean of one kind, drawn to that of all as by one value; that of all for a kind not known. */
    double mean(long nowUs, int kind, double otherwise) {
        double mean = all.mean(nowUs, otherwise);
        DecayingSum own = kinds.get(kind);
        return own == null ? mean : own.drawn(nowUs, mean, 1);
    }
}
