package gatelock.decision;

import java.util.Map;
import java.util.TreeMap;

/** A figure that fades, over all and by kind. */
final class DecayingMeanByKind {
    private final double memoryUs;
    private final Fading all;
    private final Map<Integer, Fading> kinds = new TreeMap<>();

    DecayingMeanByKind(double memoryUs) {
        this.memoryUs = memoryUs;
        all = new Fading(memoryUs);
    }

    void add(long nowUs, int kind, double value) {
        all.add(nowUs, value);
        kinds.computeIfAbsent(kind, k -> new Fading(memoryUs)).add(nowUs, value);
    }

    /** The mean of one kind, drawn to that of all as by one value; that of all for a kind not known. */
    double mean(long nowUs, int kind, double otherwise) {
        double mean = all.mean(nowUs, otherwise);
        Fading own = kinds.get(kind);
        return own == null ? mean : own.drawn(nowUs, mean, 1);
    }
}
