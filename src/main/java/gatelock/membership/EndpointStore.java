package gatelock.membership;

import gatelock.api.Endpoint;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.IntConsumer;

/**
 * All listed endpoints in packed form, some 60 bytes each, so that a relay can hold the full list beside its work and
 * add any endpoint to its subset without asking discovery again. An endpoint is found by its name
 * ({@link NameIndex}) and by its service (a linked list through the records). It is identified by the place of its
 * record in the {@link RecordArena}, which holds until the endpoint is put again or removed.
 */
final class EndpointStore {
    private final RendezvousRanking ranking;
    private final RecordArena arena = new RecordArena();
    private final RecordEncoder encoder = new RecordEncoder();
    private final ServiceTable services = new ServiceTable();
    private final NameIndex index = new NameIndex(new NameIndex.RecordNames() {
        @Override
        public boolean hasName(int place, byte[] name) {
            return reader(place).hasName(name);
        }

        @Override
        public long nameHash(int place) {
            return EndpointStore.this.nameHash(place);
        }
    });

    /** An empty store; the ranking hashes the names. */
    EndpointStore(RendezvousRanking ranking) {
        this.ranking = ranking;
    }

    /** Number of endpoints. */
    int size() {
        return index.size();
    }

    /** Bytes of heap in arrays, for figures. */
    long bytes() {
        return index.bytes() + arena.bytes();
    }

    // Services

    /** Forgets a service if it has no endpoint left. */
    void forgetService(String service) {
        services.forget(service);
    }

    /** Names of the services that have an endpoint. */
    List<String> serviceNames() {
        return services.names();
    }

    /** Number of ready endpoints of a service. */
    int readyCount(String service) {
        return services.ring(service).ready;
    }

    /** Number of endpoints of a service. */
    int endpointCount(String service) {
        return services.ring(service).endpoints;
    }

    /** The place of a service's first endpoint, -1 for none. */
    int first(String service) {
        return services.ring(service).first;
    }

    /** The place of the next endpoint of the same service, -1 for none. */
    int next(int place) {
        return arena.link(place, RecordLayout.NEXT);
    }

    // Endpoints

    /** The place of an endpoint, -1 if it is not in the store. */
    int find(String endpoint) {
        byte[] name = endpoint.getBytes(StandardCharsets.UTF_8);
        return index.place(index.slot(name, hash(name)));
    }

    /**
     * Stores an entry in place of what was stored under its name and returns its place.
     *
     * @throws IllegalArgumentException where the entry is too large or its name is not text; nothing changes then
     */
    int put(EndpointEntry entry) {
        byte[] name = RecordEncoder.utf8(entry.name());
        long hash = hash(name);
        int serviceNumber = services.numberOf(entry.service());
        encoder.encode(entry, name, serviceNumber);
        int slot = index.slot(name, hash);
        if (index.place(slot) == RecordArena.NONE) {
            slot = index.reserve(slot, name, hash);
        } else {
            unlinkAndFree(index.place(slot));
        }
        int place = arena.store(encoder.buffer(), encoder.length());
        index.set(slot, place);
        link(place, services.ring(serviceNumber), entry.health());
        return place;
    }

    /** Removes an endpoint; returns whether it was in the store. */
    boolean remove(String endpoint) {
        byte[] name = endpoint.getBytes(StandardCharsets.UTF_8);
        int slot = index.slot(name, hash(name));
        int place = index.place(slot);
        if (place == RecordArena.NONE) {
            return false;
        }
        unlinkAndFree(place);
        index.remove(slot);
        return true;
    }

    /** Health of the endpoint at a place. */
    Endpoint.Health health(int place) {
        return RecordLayout.health(arena.page(place)[RecordArena.offset(place) + RecordLayout.FLAGS]);
    }

    /** Zone of the endpoint at a place. */
    int zone(int place) {
        return reader(place).zone();
    }

    /** Hash of the name of the endpoint at a place. */
    long nameHash(int place) {
        return reader(place).nameHash(ranking);
    }

    /** Name of the endpoint at a place. */
    String name(int place) {
        return reader(place).name();
    }

    /** The entry that was stored at a place. */
    EndpointEntry entry(int place) {
        return reader(place).entry(services);
    }

    /** Passes the place of each endpoint on, in the order of the hash table. */
    void forEach(IntConsumer action) {
        index.forEach(action);
    }

    private long hash(byte[] name) {
        return ranking.hash(name, 0, name.length);
    }

    private RecordReader reader(int place) {
        return new RecordReader(arena.page(place), RecordArena.offset(place));
    }

    /** Puts a record at the head of its service's list. */
    private void link(int place, ServiceTable.Ring ring, Endpoint.Health health) {
        arena.setLink(place, RecordLayout.NEXT, ring.first);
        arena.setLink(place, RecordLayout.PREVIOUS, RecordArena.NONE);
        if (ring.first != RecordArena.NONE) {
            arena.setLink(ring.first, RecordLayout.PREVIOUS, place);
        }
        ring.first = place;
        ring.endpoints++;
        if (health == Endpoint.Health.READY) {
            ring.ready++;
        }
    }

    /** Takes a record out of its service's list and frees its bytes. */
    private void unlinkAndFree(int place) {
        ServiceTable.Ring ring = services.ring(reader(place).serviceNumber());
        ring.endpoints--;
        if (health(place) == Endpoint.Health.READY) {
            ring.ready--;
        }
        int next = arena.link(place, RecordLayout.NEXT);
        int previous = arena.link(place, RecordLayout.PREVIOUS);
        if (previous == RecordArena.NONE) {
            ring.first = next;
        } else {
            arena.setLink(previous, RecordLayout.NEXT, next);
        }
        if (next != RecordArena.NONE) {
            arena.setLink(next, RecordLayout.PREVIOUS, previous);
        }
        arena.free(place, reader(place).length());
    }
}
