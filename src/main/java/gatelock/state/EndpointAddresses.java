package gatelock.state;

import gatelock.api.Endpoint;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The address of each endpoint, as discovery listed it last. */
public final class EndpointAddresses {

    /**
     * What an endpoint's name stands for.
     *
     * @param address its address
     * @param listed the entry, with the process and state that were listed there
     */
    public record Entry(InetSocketAddress address, Endpoint listed) {}

    private final Map<String, Entry> entries = new HashMap<>();

    /** The address and entry of an endpoint, or null if it is not listed. */
    public Entry get(String endpoint) {
        return entries.get(endpoint);
    }

    /** How many endpoints are known. */
    public int size() {
        return entries.size();
    }

    /**
     * Records an entry; one of an endpoint that has left removes it.
     *
     * @param address the endpoint's address
     * @param listed its entry
     * @return the addresses to which open connections must no longer be used
     */
    public List<InetSocketAddress> put(InetSocketAddress address, Endpoint listed) {
        Entry entry = new Entry(address, listed);
        Entry before = listed.health() == Endpoint.Health.GONE
                ? entries.remove(listed.name())
                : entries.put(listed.name(), entry);
        if (before == null) {
            // An address may come back under another name: the process that was there before is another one.
            return List.of(address);
        }
        boolean unchanged = listed.health() == Endpoint.Health.READY
                && before.address.equals(address)
                && before.listed.startedAtUs() == listed.startedAtUs()
                && before.listed.build() == listed.build();
        return unchanged ? List.of() : List.of(before.address, address);
    }

    /**
     * Forgets all endpoints but these.
     *
     * @param endpoints the names of those that stay
     * @return the addresses of the forgotten ones
     */
    public List<InetSocketAddress> keepOnly(Set<String> endpoints) {
        List<InetSocketAddress> forgotten = new ArrayList<>();
        entries.forEach((name, entry) -> {
            if (!endpoints.contains(name)) {
                forgotten.add(entry.address);
            }
        });
        entries.keySet().retainAll(endpoints);
        return List.copyOf(forgotten);
    }
}
