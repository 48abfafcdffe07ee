package gatelock.decision;

/** The number of outcomes in one time window and how many of them failed. */
record ErrorCount(long outcomes, long failed) {}
