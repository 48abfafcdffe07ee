package gatelock.fleet;

/** A fault planted on purpose, to show that the rule checker finds it. */
enum PlantedFault {
    NONE,
    /** The first relay never receives change 3 of the endpoint list. */
    MISSED_CHANGE,
    /** The first relay receives each notice of a draining endpoint nine seconds late. */
    LATE_DRAIN_NOTICE,
    /** Every relay holds the first endpoint, whatever its subset says. */
    ENDPOINT_HELD_BY_ALL
}
