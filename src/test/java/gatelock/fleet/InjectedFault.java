package gatelock.fleet;

/** A fault that can be injected into a simulated fleet to test that the rule checker detects it. */
enum InjectedFault {
    /** No fault. */
    NONE,
    /** The first relay never receives change 3 of the endpoint list. */
    MISSED_CHANGE,
    /** The first relay receives each notice of a draining endpoint 9 s late. */
    LATE_DRAIN_NOTICE,
    /** Every relay holds the first endpoint, regardless of its subset. */
    ENDPOINT_HELD_BY_ALL
}
