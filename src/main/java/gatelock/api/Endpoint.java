package gatelock.api;

/**
 * An endpoint as discovery lists it.
 *
 * @param name its name, unique in the list
 * @param build the number of the build that it runs
 * @param zone the index of its availability zone
 * @param instanceType the index of its instance type; endpoints of one type are about equally fast
 * @param cell the index of its cell, the set of endpoints that share their deduplication state
 * @param health the state of its process
 * @param startedAtUs when its process started, in microseconds on the relays' clock; 0 if it started long ago
 */
public record Endpoint(String name, int build, int zone, int instanceType, int cell, Health health, long startedAtUs) {

    /** The state of an endpoint's process, as discovery knows it. */
    public enum Health {
        /** It accepts requests. */
        READY,
        /** It finishes its open requests and accepts no new ones. */
        DRAINING,
        /** It has left the list. */
        GONE
    }
}
