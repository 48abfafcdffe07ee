package gatelock.decision;

/** The slowness of one outcome, relative to what is usual under like load, and the position of its slice of time. */
record RelativeLatency(double value, int windowIndex) {}
