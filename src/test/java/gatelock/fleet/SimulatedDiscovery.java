package gatelock.fleet;

import gatelock.api.Endpoint;
import gatelock.membership.EndpointEntry;
import java.util.AbstractList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;

/** The endpoint list as discovery holds it, with an index that counts its changes, and the messages it sends. */
final class SimulatedDiscovery {
    /**
     * An entry as it was at one time, shared by all relays.
     *
     * @param listed the entry as a relay reads it from discovery
     * @param endpoint the same as the decisions take it
     */
    record Entry(EndpointEntry listed, Endpoint endpoint) {
        private static final Map<Endpoint.Health, String> STATUS = Map.of(
                Endpoint.Health.READY,
                "in_service",
                Endpoint.Health.DRAINING,
                "terminating",
                Endpoint.Health.GONE,
                "terminated");

        Entry(EndpointEntry listed) {
            this(listed, listed.toEndpoint());
        }

        String name() {
            return endpoint.name();
        }

        String service() {
            return listed.service();
        }

        boolean isReady() {
            return endpoint.health() == Endpoint.Health.READY;
        }

        /** As it stands in a list on the wire. */
        String json() {
            return String.format(
                    "{\"name\":\"%s\",\"service\":\"%s\",\"address\":\"%s\",\"status\":\"%s\","
                            + "\"weight\":1.0,\"since_ms\":%d,\"image_id\":%d,\"zone\":\"zone-%02d\",\"type\":\"standard\","
                            + "\"group\":%d},",
                    name(),
                    service(),
                    listed.address(),
                    STATUS.get(endpoint.health()),
                    endpoint.startedAtUs() / 1000,
                    endpoint.build(),
                    endpoint.zone(),
                    endpoint.cell());
        }
    }

    /**
     * An answer to a relay's watch: what changed, or the whole list as of an index.
     *
     * @param bytes its length on the wire
     * @param delivery the record of which relays are to receive it and which did
     */
    record Message(long index, boolean whole, List<Entry> entries, long bytes, FleetRecords.Delivery delivery) {}

    /** Length of an answer without its entries: its headers, its index and whether it is the whole list. */
    private static final int ANSWER_BYTES = 160;

    private final FleetParameters parameters;
    private final FleetRecords records;
    private final Map<String, Entry> entriesByName = new LinkedHashMap<>();
    /** The list as it is now; null after a change until it is asked for. */
    private List<Entry> snapshot;
    /** By the number of an endpoint: how many relays hold it. */
    private int[] holders = new int[0];

    private long index;
    private long listBytes;

    SimulatedDiscovery(FleetParameters parameters, FleetRecords records) {
        this.parameters = parameters;
        this.records = records;
    }

    /** Sets what is listed at the beginning. */
    void initialize(List<Entry> entries) {
        entries.forEach(this::put);
        snapshot = null;
    }

    private void put(Entry entry) {
        boolean gone = entry.endpoint.health() == Endpoint.Health.GONE;
        Entry previous = gone ? entriesByName.remove(entry.name()) : entriesByName.put(entry.name(), entry);
        listBytes += gone ? 0 : length(entry);
        listBytes -= previous == null ? 0 : length(previous);
    }

    /** Length of an entry on the wire; not counted where links carry any amount. */
    private long length(Entry entry) {
        return parameters.discoveryLinkBytesPerS > 0 ? entry.json().length() : 0;
    }

    /** All that is listed now; the same object until the list changes. */
    List<Entry> list() {
        if (snapshot == null) {
            snapshot = List.copyOf(entriesByName.values());
        }
        return snapshot;
    }

    /** The number of changes so far. */
    long index() {
        return index;
    }

    static String address(int number) {
        return "10." + (number >> 16) + "." + (number >> 8 & 255) + "." + (number & 255) + ":8080";
    }

    /** Applies changed entries; returns the message that tells of them. */
    Message update(long nowUs, List<Entry> entries) {
        entries.forEach(this::put);
        snapshot = null;
        index++;
        for (Entry entry : entries) {
            List<FleetRecords.StatusChange> changes = entry.isReady() ? records.becameReady : records.becameNotReady;
            changes.add(new FleetRecords.StatusChange(entry.name(), nowUs));
        }
        long bytes = ANSWER_BYTES + entries.stream().mapToLong(this::length).sum();
        return new Message(index, false, entries, bytes, records.addDelivery(index, nowUs, bytes));
    }

    /** The message with the whole list as it is now. */
    Message fullList(long nowUs) {
        long bytes = ANSWER_BYTES + listBytes;
        return new Message(index, true, list(), bytes, records.addDelivery(index, nowUs, bytes));
    }

    /** Mean length of an entry on the wire. */
    double meanEntryBytes() {
        return listBytes / (double) Math.max(1, entriesByName.size());
    }

    /** So many more relays hold the endpoint of a number; negative: fewer. */
    void addHolders(int endpoint, int change) {
        if (endpoint >= holders.length) {
            holders = Arrays.copyOf(holders, Math.max(endpoint + 1, holders.length * 2));
        }
        holders[endpoint] += change;
    }

    /**
     * Records how many relays hold each listed endpoint, where relays hold a subset.
     *
     * @param relays how many relays there are
     * @param numberOf the number of the endpoint of a name
     */
    void recordHolders(int relays, ToIntFunction<String> numberOf) {
        if (!parameters.subsetting) {
            return;
        }
        Map<String, Long> readyByService = list().stream()
                .filter(Entry::isReady)
                .collect(Collectors.groupingBy(Entry::service, Collectors.counting()));
        for (Entry entry : list()) {
            int number = numberOf.applyAsInt(entry.name());
            if (number < holders.length && holders[number] > 0) {
                int ready = readyByService.getOrDefault(entry.service(), 0L).intValue();
                int aim = parameters.subsetTerms(0).target(ready);
                records.holderCounts.add(
                        new FleetRecords.HolderCount(entry.name(), ready, holders[number], relays, aim));
            }
        }
    }

    /** A view of the entries as the decisions take them, without a copy for each relay. */
    static List<Endpoint> endpoints(List<Entry> entries) {
        return new AbstractList<>() {
            @Override
            public Endpoint get(int i) {
                return entries.get(i).endpoint;
            }

            @Override
            public int size() {
                return entries.size();
            }
        };
    }
}
