package gatelock.membership;

import gatelock.api.Endpoint;
import java.util.Map;

/**
 * One endpoint as a list names it, with all that a relay needs to use it.
 *
 * @param service whose requests it serves; "" where the list tells none
 * @param address as the list gives it; told back the same
 * @param startUs its latest start, 0 for long past
 * @param labels what plans may choose endpoints by; each costs its bytes in the store
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

    /** As the decisions take it. */
    public Endpoint listed() {
        return new Endpoint(name, build, zone, kind, cell, health, startUs);
    }

    EndpointEntry gone() {
        return new EndpointEntry(
                name, service, address, zone, kind, cell, build, Endpoint.Health.GONE, startUs, labels);
    }
}
