package gatelock.boot;

/** How a relay starts. */
enum StartMode {
    /** It warms up on requests of its own before it reports that it is ready. */
    WARM,
    /** It does not warm up. */
    COLD,
    /** It warms up on a free port and ends. */
    WARM_UP_ONLY
}
