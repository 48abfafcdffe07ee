package gatelock.boot;

/** How a relay starts. */
enum StartMode {
    /** Warms up with its own requests before it reports that it is ready. */
    WARM,
    /** Starts without a warm-up. */
    COLD,
    /** Warms up on a free port and exits. */
    WARM_UP_ONLY
}
