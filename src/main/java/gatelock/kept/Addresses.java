package gatelock.kept;

import gatelock.relay.Listed;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/** Where each unit is to be reached, as discovery last told. */
public final class Addresses {

    /** What stands behind a unit's name: its address, and the process and state that were listed there. */
    public record Place(InetSocketAddress address, Listed listed) {
    }

    private final Map<String, Place> places = new HashMap<>();

    public Place get(String unit) {
        return places.get(unit);
    }

    /** Notes an entry; returns the place that stood before if connections to it serve no more, else null. */
    public Place put(InetSocketAddress address, Listed listed) {
        Place place = new Place(address, listed);
        Place before = places.put(listed.unit(), place);
        return before == null || listed.health() == Listed.Health.READY && before.address.equals(address)
            && before.listed.startUs() == listed.startUs() && before.listed.build() == listed.build()
            ? null : before;
    }
}
