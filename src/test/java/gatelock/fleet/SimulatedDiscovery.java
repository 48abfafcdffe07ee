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

/** Service discovery: the endpoint list, an index that counts its changes, and the messages about them. */
final class SimulatedDiscovery {
    /**
     * An immutable entry of the endpoint list, shared by all relays.
     *
     * @param listEntry the entry as a relay parses it from a message
     * @param endpoint the same endpoint in the form that the decision engine uses
     */
    record Entry(EndpointEntry listEntry, Endpoint endpoint) {
        private static final Map<Endpoint.Health, String> STATUS = Map.of(
                Endpoint.Health.READY,
                "in_service",
                Endpoint.Health.DRAINING,
                "terminating",
                Endpoint.Health.GONE,
                "terminated");

        /** Creates an entry from its form in a message. */
        Entry(EndpointEntry listEntry) {
            this(listEntry, listEntry.toEndpoint());
        }

        /** Returns the name of the endpoint. */
        String name() {
            return endpoint.name();
        }

        /** Returns the name of the endpoint's service. */
        String service() {
            return listEntry.service();
        }

        /** Returns whether the endpoint is ready. */
        boolean isReady() {
            return endpoint.health() == Endpoint.Health.READY;
        }

        /** Returns the entry as it is encoded in a message. */
        String toJson() {
            return String.format(
                    "{\"name\":\"%s\",\"service\":\"%s\",\"address\":\"%s\",\"status\":\"%s\","
                            + "\"weight\":1.0,\"since_ms\":%d,\"image_id\":%d,\"zone\":\"zone-%02d\",\"type\":\"standard\","
                            + "\"group\":%d},",
                    name(),
                    service(),
                    listEntry.address(),
                    STATUS.get(endpoint.health()),
                    endpoint.startedAtUs() / 1000,
                    endpoint.build(),
                    endpoint.zone(),
                    endpoint.cell());
        }
    }

    /**
     * A response to a relay's long poll.
     *
     * @param index the index of the list after the change
     * @param full whether the entries are the full list; otherwise only the changed entries
     * @param bytes the length of the message on the wire
     * @param delivery records which relays should receive the message and which did
     */
    record Message(long index, boolean full, List<Entry> entries, long bytes, FleetRecords.Delivery delivery) {}

    /** Length of a message without its entries: the headers, the index and the flag for a full list. */
    private static final int RESPONSE_OVERHEAD_BYTES = 160;

    private final FleetParameters parameters;
    private final FleetRecords records;
    private final Map<String, Entry> entriesByName = new LinkedHashMap<>();
    /** The current list; null after a change until it is requested. */
    private List<Entry> snapshot;
    /** The number of relays that hold each endpoint, by endpoint number. */
    private int[] holdersByEndpoint = new int[0];

    private long index;
    private long listBytes;

    SimulatedDiscovery(FleetParameters parameters, FleetRecords records) {
        this.parameters = parameters;
        this.records = records;
    }

    /** Sets the initial list. */
    void initialize(List<Entry> entries) {
        entries.forEach(this::put);
        snapshot = null;
    }

    private void put(Entry entry) {
        boolean isGone = entry.endpoint.health() == Endpoint.Health.GONE;
        Entry previous = isGone ? entriesByName.remove(entry.name()) : entriesByName.put(entry.name(), entry);
        listBytes += isGone ? 0 : length(entry);
        listBytes -= previous == null ? 0 : length(previous);
    }

    /** Returns the length of an entry on the wire; 0 if the bandwidth of links is unlimited. */
    private long length(Entry entry) {
        return parameters.discoveryLinkBytesPerS > 0 ? entry.toJson().length() : 0;
    }

    /** Returns the current list, as the same object until the list changes. */
    List<Entry> list() {
        if (snapshot == null) {
            snapshot = List.copyOf(entriesByName.values());
        }
        return snapshot;
    }

    /** Returns the number of changes so far. */
    long index() {
        return index;
    }

    /** Returns the address of the endpoint with a number. */
    static String address(int number) {
        return "10." + (number >> 16) + "." + (number >> 8 & 255) + "." + (number & 255) + ":8080";
    }

    /** Applies changed entries and returns the message with them. */
    Message update(long nowUs, List<Entry> entries) {
        entries.forEach(this::put);
        snapshot = null;
        index++;
        for (Entry entry : entries) {
            List<FleetRecords.StatusChange> changes = entry.isReady() ? records.becameReady : records.becameNotReady;
            changes.add(new FleetRecords.StatusChange(entry.name(), nowUs));
        }
        long bytes = RESPONSE_OVERHEAD_BYTES
                + entries.stream().mapToLong(this::length).sum();
        return new Message(index, false, entries, bytes, records.addDelivery(index, nowUs, bytes));
    }

    /** Returns a message with the current full list. */
    Message fullList(long nowUs) {
        long bytes = RESPONSE_OVERHEAD_BYTES + listBytes;
        return new Message(index, true, list(), bytes, records.addDelivery(index, nowUs, bytes));
    }

    /** Returns the mean length of an entry on the wire. */
    double meanEntryBytes() {
        return listBytes / (double) Math.max(1, entriesByName.size());
    }

    /** Adds a positive or negative change to the number of relays that hold an endpoint. */
    void addHolders(int endpointNumber, int delta) {
        if (endpointNumber >= holdersByEndpoint.length) {
            holdersByEndpoint =
                    Arrays.copyOf(holdersByEndpoint, Math.max(endpointNumber + 1, holdersByEndpoint.length * 2));
        }
        holdersByEndpoint[endpointNumber] += delta;
    }

    /**
     * Records how many relays hold each listed endpoint that any relay holds; does nothing without subsetting.
     *
     * @param relays the number of simulated relays
     * @param numberOf returns the number of the endpoint with a name
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
            if (number < holdersByEndpoint.length && holdersByEndpoint[number] > 0) {
                int ready = readyByService.getOrDefault(entry.service(), 0L).intValue();
                int target = parameters.subsetPolicy(0).target(ready);
                records.holderCounts.add(
                        new FleetRecords.HolderCount(entry.name(), ready, holdersByEndpoint[number], relays, target));
            }
        }
    }

    /** Returns a view of the entries in the form that the decision engine uses, which avoids a copy for each relay. */
    static List<Endpoint> endpointView(List<Entry> entries) {
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
