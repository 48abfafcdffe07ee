package gatelock.state;

import gatelock.api.Endpoint;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Where each endpoint is to be reached, as discovery last told. */
public final class EndpointAddresses {

    /** What stands behind an endpoint's name: its address, and the process and state that were listed there. */
    public record Place(InetSocketAddress address, Endpoint listed) {}

    private final Map<String, Place> places = new HashMap<>();

    public Place get(String endpoint) {
        return places.get(endpoint);
    }

    /** How many endpoints are known. */
    public int size() {
        return places.size();
    }

    /** Notes an entry; returns the addresses to which standing connections serve no more. */
    public List<InetSocketAddress> put(InetSocketAddress address, Endpoint listed) {
        Place place = new Place(address, listed);
        Place before = listed.health() == Endpoint.Health.GONE
                ? places.remove(listed.endpoint())
                : places.put(listed.endpoint(), place);
        if (before == null) {
            // An address may come back under another name: whoever stood there before is another process.
            return List.of(address);
        }
        boolean same = listed.health() == Endpoint.Health.READY
                && before.address.equals(address)
                && before.listed.startUs() == listed.startUs()
                && before.listed.build() == listed.build();
        return same ? List.of() : List.of(before.address, address);
    }

    /** Forgets all endpoints but these; returns where those stood. */
    public List<InetSocketAddress> keepOnly(Set<String> endpoints) {
        List<InetSocketAddress> left = places.entrySet().stream()
                .filter(e -> !endpoints.contains(e.getKey()))
                .map(e -> e.getValue().address)
                .toList();
        places.keySet().retainAll(endpoints);
        return left;
    }
}
