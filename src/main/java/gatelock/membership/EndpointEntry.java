package gatelock.membership;

import gatelock.api.Endpoint;
import java.util.Map;

/**
 * One endpoint as listed by service discovery, with everything a relay needs to use it.
 *
 * @param name the endpoint's name, unique in the list
 * @param service the service whose requests it serves; "" if the list names none
 * @param address host and port, exactly as in the list
 * @param zone number of its zone, or -1 if unknown
 * @param instanceType number of its instance type
 * @param cell number of its cell
 * @param build number of the build that it runs
 * @param health its listed health; {@link Endpoint.Health#GONE} in a change that removes it
 * @param startedAtUs when it last started, in microseconds since the epoch; 0 if it started long ago
 * @param labels labels by which plans may select endpoints; every label takes up memory in the store
 */
public record EndpointEntry(
        String name,
        String service,
        String address,
        int zone,
        int instanceType,
        int cell,
        int build,
        Endpoint.Health health,
        long startedAtUs,
        Map<String, String> labels) {

    /** Creates an entry without labels. */
    public EndpointEntry(
            String name,
            String service,
            String address,
            int zone,
            int instanceType,
            int cell,
            int build,
            Endpoint.Health health,
            long startedAtUs) {
        this(name, service, address, zone, instanceType, cell, build, health, startedAtUs, Map.of());
    }

    /** Converts the entry to the form used by the decision engine, without service, address and labels. */
    public Endpoint toEndpoint() {
        return new Endpoint(name, build, zone, instanceType, cell, health, startedAtUs);
    }

    /** Returns a copy of this entry with health {@link Endpoint.Health#GONE}. */
    EndpointEntry asRemoved() {
        return withHealth(Endpoint.Health.GONE);
    }

    /** Returns a copy of this entry with another health. */
    EndpointEntry withHealth(Endpoint.Health other) {
        return new EndpointEntry(name, service, address, zone, instanceType, cell, build, other, startedAtUs, labels);
    }
}
