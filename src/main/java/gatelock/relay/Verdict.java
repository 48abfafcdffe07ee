package gatelock.relay;

/** A vote on the build on trial. */
public enum Verdict { NONE, ON, HOLD, BACK }
