package gatelock.state;

import gatelock.api.Endpoint;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The address of each endpoint by name, from the latest endpoint list of discovery. */
public final class EndpointAddresses {

    /**
     * The address and the list entry of an endpoint.
     *
     * @param address its address
     * @param endpoint its list entry, which also identifies the process and its health
     */
    public record Entry(InetSocketAddress address, Endpoint endpoint) {}

    private final Map<String, Entry> entries = new HashMap<>();

    /** Returns the address and list entry of an endpoint, or null if it is not listed. */
    public Entry get(String endpoint) {
        return entries.get(endpoint);
    }

    /** Returns the number of listed endpoints. */
    public int size() {
        return entries.size();
    }

    /**
     * Adds or replaces an entry; an entry whose health is GONE removes the endpoint instead.
     *
     * @param address the endpoint's address
     * @param endpoint its list entry
     * @return the addresses whose open connections must no longer be used
     */
    public List<InetSocketAddress> put(InetSocketAddress address, Endpoint endpoint) {
        Entry entry = new Entry(address, endpoint);
        Entry previous = endpoint.health() == Endpoint.Health.GONE
                ? entries.remove(endpoint.name())
                : entries.put(endpoint.name(), entry);
        if (previous == null) {
            // An address may be reused under another name, so open connections to it may belong to another process.
            return List.of(address);
        }
        boolean unchanged = endpoint.health() == Endpoint.Health.READY
                && previous.address.equals(address)
                && previous.endpoint.startedAtUs() == endpoint.startedAtUs()
                && previous.endpoint.build() == endpoint.build();
        return unchanged ? List.of() : List.of(previous.address, address);
    }

    /**
     * Removes all endpoints but these.
     *
     * @param endpoints the names of the endpoints to keep
     * @return the addresses of the removed endpoints
     */
    public List<InetSocketAddress> retainOnly(Set<String> endpoints) {
        List<InetSocketAddress> removed = new ArrayList<>();
        entries.forEach((name, entry) -> {
            if (!endpoints.contains(name)) {
                removed.add(entry.address);
            }
        });
        entries.keySet().retainAll(endpoints);
        return List.copyOf(removed);
    }
}
