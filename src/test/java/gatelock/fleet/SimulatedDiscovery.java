package gatelock.fleet;

import gatelock.api.Endpoint;
import java.util.AbstractList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;

/** The list of endpoints as discovery holds it, its changes by index, and what a relay is sent of them. */
final class SimulatedDiscovery {
    /** An entry as it was at one time, shared by all relays, and what the decisions take of it. */
    record Entry(gatelock.membership.EndpointEntry told, Endpoint listed) {
        private static final Map<Endpoint.Health, String> STATUS = Map.of(
                Endpoint.Health.READY,
                "in_service",
                Endpoint.Health.DRAINING,
                "terminating",
                Endpoint.Health.GONE,
                "terminated");

        Entry(gatelock.membership.EndpointEntry told) {
            this(told, told.listed());
        }

        String service() {
            return told.service();
        }

        /** As it stands in a list on the wire. */
        String json() {
            return String.format(
                    "{\"name\":\"%s\",\"service\":\"%s\",\"address\":\"%s\",\"status\":\"%s\","
                            + "\"weight\":1.0,\"since_ms\":%d,\"image_id\":%d,\"zone\":\"zone-%02d\",\"type\":\"standard\","
                            + "\"group\":%d},",
                    listed.endpoint(),
                    service(),
                    told.address(),
                    STATUS.get(listed.health()),
                    listed.startUs() / 1000,
                    listed.build(),
                    listed.zone(),
                    listed.cell());
        }
    }

    /** An answer to a relay's watch: what changed, or the whole list as of an index. */
    record Message(long index, boolean whole, List<Entry> entries, long bytes, FleetRecords.Message record) {}

    /** Around the entries of an answer: its head, its index and whether it is the whole. */
    private static final int ANSWER_BYTES = 160;

    private final SimulatedFleet.Terms terms;
    private final FleetRecords records;
    private final Map<String, Entry> list = new LinkedHashMap<>();
    private List<Entry> whole;
    private int[] holders = new int[0];
    private long index;
    private long bytes;

    SimulatedDiscovery(SimulatedFleet.Terms terms, FleetRecords records) {
        this.terms = terms;
        this.records = records;
    }

    /** What is listed at the beginning. */
    void holds(List<Entry> entries) {
        entries.forEach(this::put);
        whole = null;
    }

    private void put(Entry entry) {
        Entry before = entry.listed.health() == Endpoint.Health.GONE
                ? list.remove(entry.listed.endpoint())
                : list.put(entry.listed.endpoint(), entry);
        bytes += (entry.listed.health() == Endpoint.Health.GONE ? 0 : length(entry))
                - (before == null ? 0 : length(before));
    }

    private long length(Entry entry) {
        return terms.linkBytesPerS > 0 ? entry.json().length() : 0;
    }

    /** All that is listed now; the same list until it changes. */
    List<Entry> list() {
        if (whole == null) {
            whole = List.copyOf(list.values());
        }
        return whole;
    }

    static String address(int number) {
        return "10." + (number >> 16) + "." + (number >> 8 & 255) + "." + (number & 255) + ":8080";
    }

    long index() {
        return index;
    }

    Message changed(long nowUs, List<Entry> entries) {
        entries.forEach(this::put);
        whole = null;
        index++;
        entries.forEach(e -> (e.listed.health() == Endpoint.Health.READY ? records.ups : records.downs)
                .add(new FleetRecords.Known(e.listed.endpoint(), nowUs)));
        long length = ANSWER_BYTES + entries.stream().mapToLong(this::length).sum();
        return new Message(index, false, entries, length, records.message(index, nowUs, length));
    }

    Message whole(long nowUs) {
        long length = ANSWER_BYTES + bytes;
        return new Message(index, true, list(), length, records.message(index, nowUs, length));
    }

    /** Mean bytes of an entry. */
    double entryBytes() {
        return bytes / (double) Math.max(1, list.size());
    }

    /** One relay more or less holds this endpoint. */
    void holders(int endpoint, int by) {
        if (endpoint >= holders.length) {
            holders = Arrays.copyOf(holders, Math.max(endpoint + 1, holders.length * 2));
        }
        holders[endpoint] += by;
    }

    /** Records how many relays hold each ready endpoint, where they hold less than all; {@code number}: by name. */
    void countHolders(int relays, ToIntFunction<String> number) {
        if (!terms.scoped) {
            return;
        }
        Map<String, Long> ready = list().stream()
                .filter(e -> e.listed.health() == Endpoint.Health.READY)
                .collect(Collectors.groupingBy(Entry::service, Collectors.counting()));
        for (Entry e : list()) {
            int endpoint = number.applyAsInt(e.listed.endpoint());
            if (endpoint < holders.length && holders[endpoint] > 0) {
                int its = ready.getOrDefault(e.service(), 0L).intValue();
                records.held.add(new FleetRecords.Held(
                        e.listed.endpoint(),
                        its,
                        holders[endpoint],
                        relays,
                        terms.scope(0).aim(its)));
            }
        }
    }

    /** The entries as the decisions take them, without a copy for each relay. */
    static List<Endpoint> listed(List<Entry> entries) {
        return new AbstractList<>() {
            @Override
            public Endpoint get(int i) {
                return entries.get(i).listed;
            }

            @Override
            public int size() {
                return entries.size();
            }
        };
    }
}
