package gatelock.api;

/** A vote on the build on trial. */
public enum Verdict { NONE, ON, HOLD, BACK }
