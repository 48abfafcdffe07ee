package gatelock.membership;

import gatelock.api.Endpoint;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.IntConsumer;

/**
 * Stores all listed endpoints in a compact binary form of about 60 bytes each. A relay can thus keep the full list in
 * memory and add any endpoint to its subset without another query to service discovery. Endpoints are looked up by name
 * ({@link NameIndex}) or by service (a linked list through the records). An endpoint is identified by the handle of its
 * record in the {@link RecordArena}, which remains valid until the endpoint is stored again or removed.
 */
final class EndpointStore {
    private final RendezvousRanking ranking;
    private final RecordArena arena = new RecordArena();
    private final RecordEncoder encoder = new RecordEncoder();
    private final ServiceTable services = new ServiceTable();
    private final NameIndex index = new NameIndex(new NameIndex.RecordNames() {
        @Override
        public boolean hasName(int handle, byte[] name) {
            return reader(handle).hasName(name);
        }

        @Override
        public long nameHash(int handle) {
            return EndpointStore.this.nameHash(handle);
        }
    });

    /** Creates an empty store; the ranking provides the hash function for names. */
    EndpointStore(RendezvousRanking ranking) {
        this.ranking = ranking;
    }

    /** Returns the number of stored endpoints. */
    int size() {
        return index.size();
    }

    /** Returns the heap size of the arrays in bytes, for measurements. */
    long bytes() {
        return index.bytes() + arena.bytes();
    }

    // Services

    /** Removes a service if it has no endpoints left. */
    void removeService(String service) {
        services.remove(service);
    }

    /** Returns the names of the services that have endpoints. */
    List<String> serviceNames() {
        return services.names();
    }

    /** Returns the number of ready endpoints of a service. */
    int readyCount(String service) {
        return services.endpointList(service).readyCount;
    }

    /** Returns the number of endpoints of a service. */
    int endpointCount(String service) {
        return services.endpointList(service).endpointCount;
    }

    /** Returns the handle of a service's first endpoint, or {@link RecordArena#NONE} (-1) if it has none. */
    int first(String service) {
        return services.endpointList(service).head;
    }

    /** Returns the handle of the next endpoint of the same service, or {@link RecordArena#NONE} (-1) after the last. */
    int next(int handle) {
        return arena.link(handle, RecordLayout.NEXT);
    }

    // Endpoints

    /** Returns the handle of an endpoint, or {@link RecordArena#NONE} (-1) if it is not in the store. */
    int find(String endpoint) {
        byte[] name = endpoint.getBytes(StandardCharsets.UTF_8);
        return index.handle(index.slot(name, hash(name)));
    }

    /**
     * Stores an entry, replacing any entry of the same name, and returns its handle.
     *
     * @throws IllegalArgumentException if the entry is too large or its name contains an unpaired surrogate; the
     *     store's endpoints are not changed in that case
     */
    int put(EndpointEntry entry) {
        byte[] name = RecordEncoder.utf8(entry.name());
        long hash = hash(name);
        int serviceNumber = services.numberOf(entry.service());
        encoder.encode(entry, name, serviceNumber);
        int slot = index.slot(name, hash);
        if (index.handle(slot) == RecordArena.NONE) {
            slot = index.reserve(slot, name, hash);
        } else {
            unlinkAndFree(index.handle(slot));
        }
        int handle = arena.store(encoder.buffer(), encoder.length());
        index.set(slot, handle);
        link(handle, services.endpointList(serviceNumber), entry.health());
        return handle;
    }

    /** Removes an endpoint. Returns whether it was in the store. */
    boolean remove(String endpoint) {
        byte[] name = endpoint.getBytes(StandardCharsets.UTF_8);
        int slot = index.slot(name, hash(name));
        int handle = index.handle(slot);
        if (handle == RecordArena.NONE) {
            return false;
        }
        unlinkAndFree(handle);
        index.remove(slot);
        return true;
    }

    /** Returns the health of the endpoint with this handle. */
    Endpoint.Health health(int handle) {
        return RecordLayout.decodeHealth(arena.page(handle)[RecordArena.offset(handle) + RecordLayout.FLAGS]);
    }

    /** Returns the zone of the endpoint with this handle. */
    int zone(int handle) {
        return reader(handle).zone();
    }

    /** Returns the hash of the name of the endpoint with this handle. */
    long nameHash(int handle) {
        return reader(handle).nameHash(ranking);
    }

    /** Returns the name of the endpoint with this handle. */
    String name(int handle) {
        return reader(handle).name();
    }

    /** Returns the stored entry with this handle. */
    EndpointEntry entry(int handle) {
        return reader(handle).entry(services);
    }

    /** Calls the action with the handle of each endpoint, in hash table order. */
    void forEach(IntConsumer action) {
        index.forEach(action);
    }

    private long hash(byte[] name) {
        return ranking.hash(name, 0, name.length);
    }

    private RecordReader reader(int handle) {
        return new RecordReader(arena.page(handle), RecordArena.offset(handle));
    }

    /** Inserts a record at the head of its service's list. */
    private void link(int handle, ServiceTable.EndpointList list, Endpoint.Health health) {
        arena.setLink(handle, RecordLayout.NEXT, list.head);
        arena.setLink(handle, RecordLayout.PREVIOUS, RecordArena.NONE);
        if (list.head != RecordArena.NONE) {
            arena.setLink(list.head, RecordLayout.PREVIOUS, handle);
        }
        list.head = handle;
        list.endpointCount++;
        if (health == Endpoint.Health.READY) {
            list.readyCount++;
        }
    }

    /** Removes a record from its service's list and frees its memory. */
    private void unlinkAndFree(int handle) {
        ServiceTable.EndpointList list = services.endpointList(reader(handle).serviceNumber());
        list.endpointCount--;
        if (health(handle) == Endpoint.Health.READY) {
            list.readyCount--;
        }
        int next = arena.link(handle, RecordLayout.NEXT);
        int previous = arena.link(handle, RecordLayout.PREVIOUS);
        if (previous == RecordArena.NONE) {
            list.head = next;
        } else {
            arena.setLink(previous, RecordLayout.NEXT, next);
        }
        if (next != RecordArena.NONE) {
            arena.setLink(next, RecordLayout.PREVIOUS, previous);
        }
        arena.free(handle, reader(handle).length());
    }
}
