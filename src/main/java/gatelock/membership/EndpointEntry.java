package gatelock.membership;

import gatelock.api.Endpoint;
import java.util.Map;

/**
 * One endpoint as discovery lists it, with all that a relay needs to use it.
 *
 * @param name the endpoint's name, unique in the list
 * @param service whose requests it serves; "" where the list names none
 * @param address host and port as the list gives them
 * @param zone number of its zone, -1 for unknown
 * @param kind number of its kind
 * @param cell number of its cell
 * @param build the build it runs
 * @param health as listed; {@link Endpoint.Health#GONE} in a change that removes it
 * @param startUs its latest start in microseconds since the epoch, 0 for long past
 * @param labels by which plans may choose endpoints; each takes its bytes in the store
 */
public record EndpointEntry(
        String name,
        String service,
        String address,
        int zone,
        int kind,
        int cell,
        int build,
        Endpoint.Health health,
        long startUs,
        Map<String, String> labels) {

    /** An endpoint without labels. */
    public EndpointEntry(
            String name,
            String service,
            String address,
            int zone,
            int kind,
            int cell,
            int build,
            Endpoint.Health health,
            long startUs) {
        this(name, service, address, zone, kind, cell, build, health, startUs, Map.of());
    }

    /** The endpoint as the decisions know it: without service, address and labels. */
    public Endpoint toEndpoint() {
        return new Endpoint(name, build, zone, kind, cell, health, startUs);
    }

    /** The same endpoint as gone. */
    EndpointEntry gone() {
        return withHealth(Endpoint.Health.GONE);
    }

    /** The same endpoint with another health. */
    EndpointEntry withHealth(Endpoint.Health other) {
        return new EndpointEntry(name, service, address, zone, kind, cell, build, other, startUs, labels);
    }
}
