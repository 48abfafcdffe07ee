package gatelock.decision;

/** How many outcomes one slice of time has, and how many of them failed. */
record ErrorCount(long outcomes, long failed) {}
