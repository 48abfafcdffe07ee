package gatelock.decision;

/** The slowness of one outcome relative to the baseline under similar load, and the index of its time window. */
record RelativeLatency(double value, int windowIndex) {}
