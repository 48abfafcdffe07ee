package gatelock.membership;

import gatelock.api.Endpoint;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * All that a list told of endpoints, packed: some 60 bytes an endpoint, so that a relay can hold the whole list beside
 * its work and take any endpoint into scope without asking again. Endpoints are found by name (open addressing; a
 * name is always compared, so that equal hashes are told apart) and by service (a ring of links). An endpoint is
 * meant by the place of its record, which holds until it is put anew or removed.
 */
final class EndpointStore {
    private static final VarHandle INT = MethodHandles.byteArrayViewVarHandle(int[].class, ByteOrder.BIG_ENDIAN);
    private static final int PAGE_BITS = 16;
    /** Of a page, which also bounds a record. */
    private static final int PAGE = 1 << PAGE_BITS;

    private static final int FIRST_PAGE = 1 << 10;
    /** Records start at multiples of 4 bytes; a place counts these. */
    private static final int GRAIN_BITS = 2;

    private static final int FIRST_TABLE = 16;
    /** The table doubles when it is fuller: a search looks at about three slots then. */
    private static final double FULLEST = 0.8;

    private static final int NONE = -1;
    private static final Endpoint.Health[] HEALTH = Endpoint.Health.values();

    private static final int NEXT = 0;
    private static final int BEFORE = 4;
    private static final int FLAGS = 8;
    private static final int AFTER_FLAGS = 9;
    private static final int HEALTH_MASK = 3;
    private static final int PACKED_ADDRESS = 4;
    private static final int LABELLED = 8;
    private static final int WHOLE_MS = 16;

    private final RendezvousRanking ranking;
    private byte[][] pages = new byte[1][];
    /** Where the next new record begins, as a place. */
    private int end;
    /** Freed places by the size of their record in grains; each names the next one of its size. */
    private int[] free = new int[0];
    /** Places + 1 by hash of the name; 0: empty. */
    private int[] table = new int[FIRST_TABLE];

    private int size;

    private final Map<String, Integer> numbers = new HashMap<>();
    private final List<Ring> services = new ArrayList<>();
    /** Numbers of services that have no endpoint left, for the next ones. */
    private final Deque<Integer> spare = new ArrayDeque<>();

    private byte[] scratch = new byte[256];
    private int at;

    /** The endpoints of one service. */
    private static final class Ring {
        private final String name;
        private int first = NONE;
        private int endpoints;
        private int ready;

        Ring(String name) {
            this.name = name;
        }
    }

    EndpointStore(RendezvousRanking ranking) {
        this.ranking = ranking;
    }

    int size() {
        return size;
    }

    /** Bytes of heap in arrays, for figures. */
    long bytes() {
        long bytes = 4L * table.length + 4L * free.length;
        for (byte[] page : pages) {
            bytes += page == null ? 0 : page.length;
        }
        return bytes;
    }

    // Services

    /** The number of a service, new if need be; it holds until it is forgotten. */
    private int number(String service) {
        Integer known = numbers.get(service);
        if (known == null) {
            known = spare.isEmpty() ? services.size() : spare.pop();
            numbers.put(service, known);
            if (known == services.size()) {
                services.add(new Ring(service));
            } else {
                services.set(known, new Ring(service));
            }
        }
        return known;
    }

    /** Forgets a service if it has no endpoint left. */
    void forget(String service) {
        Integer known = numbers.get(service);
        if (known != null && services.get(known).endpoints == 0) {
            numbers.remove(service);
            spare.push(known);
        }
    }

    /** The services that were named and not forgotten. */
    List<String> services() {
        return services.stream().filter(r -> r.endpoints > 0).map(r -> r.name).toList();
    }

    /** How many endpoints of a service are ready. */
    int ready(String service) {
        Integer known = numbers.get(service);
        return known == null ? 0 : services.get(known).ready;
    }

    int endpoints(String service) {
        Integer known = numbers.get(service);
        return known == null ? 0 : services.get(known).endpoints;
    }

    /** The first endpoint of a service, -1 for none. */
    int first(String service) {
        Integer known = numbers.get(service);
        return known == null ? NONE : services.get(known).first;
    }

    /** The endpoint of the same service after this one, -1 for none. */
    int next(int place) {
        return link(place, NEXT);
    }

    // Endpoints

    /** Where an endpoint is kept, -1 for nowhere. */
    int find(String endpoint) {
        byte[] name = endpoint.getBytes(StandardCharsets.UTF_8);
        int slot = slot(name, ranking.hash(name, 0, name.length));
        return table[slot] - 1;
    }

    /** Keeps what an entry tells, in place of what was kept under its name. Throws where it is too large. */
    int put(EndpointEntry e) {
        byte[] name = utf8(e.name());
        long hash = ranking.hash(name, 0, name.length);
        int service = number(e.service());
        pack(e, name, service);
        int slot = slot(name, hash);
        if (table[slot] != 0) {
            unlink(table[slot] - 1);
        } else {
            size++;
            if (size > FULLEST * table.length) {
                grow();
                slot = slot(name, hash);
            }
        }
        int place = allot(at);
        System.arraycopy(scratch, 0, page(place), offset(place), at);
        table[slot] = place + 1;
        Ring ring = services.get(service);
        link(place, NEXT, ring.first);
        link(place, BEFORE, NONE);
        if (ring.first != NONE) {
            link(ring.first, BEFORE, place);
        }
        ring.first = place;
        ring.endpoints++;
        ring.ready += e.health() == Endpoint.Health.READY ? 1 : 0;
        return place;
    }

    /** Forgets an endpoint. */
    boolean remove(String endpoint) {
        byte[] name = endpoint.getBytes(StandardCharsets.UTF_8);
        int slot = slot(name, ranking.hash(name, 0, name.length));
        if (table[slot] == 0) {
            return false;
        }
        unlink(table[slot] - 1);
        size--;
        // The hole is filled by the next one that may stand there, so that no search ends before its name.
        int mask = table.length - 1;
        int hole = slot;
        for (int i = hole + 1 & mask; table[i] != 0; i = i + 1 & mask) {
            int home = (int) hash(table[i] - 1) & mask;
            if ((i - home & mask) >= (i - hole & mask)) {
                table[hole] = table[i];
                hole = i;
            }
        }
        table[hole] = 0;
        return true;
    }

    Endpoint.Health health(int place) {
        return HEALTH[page(place)[offset(place) + FLAGS] & HEALTH_MASK];
    }

    int zone(int place) {
        return (int) unzigzag(new Reader(place).number());
    }

    /** The hash of an endpoint's name. */
    long hash(int place) {
        Reader in = new Reader(place);
        in.number();
        int length = (int) in.number();
        return ranking.hash(in.page, in.from, length);
    }

    String endpoint(int place) {
        Reader in = new Reader(place);
        in.number();
        return in.text();
    }

    /** What was told of an endpoint. */
    EndpointEntry entry(int place) {
        Reader in = new Reader(place);
        int flags = in.page[in.from - 1];
        int zone = (int) unzigzag(in.number());
        String name = in.text();
        String service = services.get((int) in.number()).name;
        int build = (int) unzigzag(in.number());
        int kind = (int) unzigzag(in.number());
        int cell = (int) unzigzag(in.number());
        long startUs = unzigzag(in.number()) * ((flags & WHOLE_MS) != 0 ? 1000 : 1);
        String address = (flags & PACKED_ADDRESS) != 0 ? in.address() : in.text();
        Map<String, String> labels = Map.of();
        if ((flags & LABELLED) != 0) {
            labels = new TreeMap<>();
            for (long n = in.number(); n > 0; n--) {
                labels.put(in.text(), in.text());
            }
        }
        return new EndpointEntry(
                name, service, address, zone, kind, cell, build, HEALTH[flags & HEALTH_MASK], startUs, labels);
    }

    interface Each {
        void endpoint(int place);
    }

    /** Each endpoint, in the order of their hashes. */
    void each(Each each) {
        for (int slot : table) {
            if (slot != 0) {
                each.endpoint(slot - 1);
            }
        }
    }

    // The table of names

    /** Where a name stands or, if it does not, where it would. */
    private int slot(byte[] name, long hash) {
        int mask = table.length - 1;
        int slot = (int) hash & mask;
        while (table[slot] != 0 && !named(table[slot] - 1, name)) {
            slot = slot + 1 & mask;
        }
        return slot;
    }

    private boolean named(int place, byte[] name) {
        Reader in = new Reader(place);
        in.number();
        int length = (int) in.number();
        return Arrays.equals(in.page, in.from, in.from + length, name, 0, name.length);
    }

    private void grow() {
        int[] old = table;
        table = new int[old.length * 2];
        int mask = table.length - 1;
        for (int entry : old) {
            if (entry != 0) {
                int slot = (int) hash(entry - 1) & mask;
                while (table[slot] != 0) {
                    slot = slot + 1 & mask;
                }
                table[slot] = entry;
            }
        }
    }

    // Records

    private byte[] page(int place) {
        return pages[place >>> PAGE_BITS - GRAIN_BITS];
    }

    private static int offset(int place) {
        return place << GRAIN_BITS & PAGE - 1;
    }

    private int link(int place, int which) {
        return (int) INT.get(page(place), offset(place) + which);
    }

    private void link(int place, int which, int to) {
        INT.set(page(place), offset(place) + which, to);
    }

    /** Takes a record out of its service's ring and frees its bytes. */
    private void unlink(int place) {
        Reader in = new Reader(place);
        in.number();
        in.skip((int) in.number());
        Ring ring = services.get((int) in.number());
        ring.endpoints--;
        ring.ready -= health(place) == Endpoint.Health.READY ? 1 : 0;
        int next = link(place, NEXT);
        int before = link(place, BEFORE);
        if (before == NONE) {
            ring.first = next;
        } else {
            link(before, NEXT, next);
        }
        if (next != NONE) {
            link(next, BEFORE, before);
        }
        int grains = grains(in.toEnd());
        if (grains >= free.length) {
            int old = free.length;
            free = Arrays.copyOf(free, grains + 1);
            Arrays.fill(free, old, free.length, NONE);
        }
        link(place, NEXT, free[grains]);
        free[grains] = place;
    }

    private static int grains(int bytes) {
        return bytes + (1 << GRAIN_BITS) - 1 >> GRAIN_BITS;
    }

    /** Room for a record: a freed one of its size, or new. A record lies on one page. */
    private int allot(int bytes) {
        int grains = grains(bytes);
        if (grains < free.length && free[grains] != NONE) {
            int place = free[grains];
            free[grains] = link(place, NEXT);
            return place;
        }
        int offset = offset(end);
        if (offset + (grains << GRAIN_BITS) > PAGE) {
            end += PAGE - offset >> GRAIN_BITS;
            offset = 0;
        }
        int page = end >>> PAGE_BITS - GRAIN_BITS;
        if (page == pages.length) {
            pages = Arrays.copyOf(pages, pages.length * 2);
        }
        int needed = offset + (grains << GRAIN_BITS);
        if (pages[page] == null) {
            pages[page] = new byte[page == 0 ? FIRST_PAGE : PAGE];
        }
        if (pages[page].length < needed) {
            int length = Math.max(needed, pages[page].length * 4);
            pages[page] = Arrays.copyOf(pages[page], Math.min(PAGE, length));
        }
        int place = end;
        end += grains;
        return place;
    }

    private void pack(EndpointEntry e, byte[] name, int service) {
        at = AFTER_FLAGS;
        int packed = packed(e.address());
        scratch[FLAGS] = (byte) (e.health().ordinal()
                | (packed != NONE ? PACKED_ADDRESS : 0)
                | (e.labels().isEmpty() ? 0 : LABELLED)
                | (e.startUs() % 1000 == 0 ? WHOLE_MS : 0));
        number(zigzag(e.zone()));
        text(name);
        number(service);
        number(zigzag(e.build()));
        number(zigzag(e.kind()));
        number(zigzag(e.cell()));
        number(zigzag(e.startUs() % 1000 == 0 ? e.startUs() / 1000 : e.startUs()));
        if (packed != NONE) {
            room(6);
            INT.set(scratch, at, ip);
            scratch[at + 4] = (byte) (packed >> 8);
            scratch[at + 5] = (byte) packed;
            at += 6;
        } else {
            text(e.address().getBytes(StandardCharsets.UTF_8));
        }
        if (!e.labels().isEmpty()) {
            number(e.labels().size());
            new TreeMap<>(e.labels()).forEach((label, value) -> {
                text(label.getBytes(StandardCharsets.UTF_8));
                text(value.getBytes(StandardCharsets.UTF_8));
            });
        }
        if (at > PAGE) {
            throw new IllegalArgumentException("a unit's entry takes at most " + PAGE + " bytes, got " + at + " for "
                    + e.name().substring(0, Math.min(64, e.name().length())));
        }
    }

    private int ip;

    /**
     * The port of an address of the form 1.2.3.4:5 that reads back the same, its first part in ip; else -1.
     */
    private int packed(String address) {
        int got = 0;
        int part = 0;
        int digits = 0;
        long value = 0;
        for (int i = 0; i < address.length(); i++) {
            char c = address.charAt(i);
            if (c >= '0' && c <= '9' && digits < 5 && (digits == 0 || value > 0)) {
                value = value * 10 + c - '0';
                digits++;
            } else if (c == (part == 3 ? ':' : '.') && part < 4 && digits > 0 && value < 256) {
                got = got << 8 | (int) value;
                part++;
                digits = 0;
                value = 0;
            } else {
                return NONE;
            }
        }
        ip = got;
        return part == 4 && digits > 0 && value < 65_536 ? (int) value : NONE;
    }

    private void room(int bytes) {
        if (at + bytes > scratch.length) {
            scratch = Arrays.copyOf(scratch, Math.max(at + bytes, scratch.length * 2));
        }
    }

    /** Guards against two names that are not text (half of a pair) and would be kept as the same bytes. */
    private static byte[] utf8(String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        if (name.chars().anyMatch(c -> c >= Character.MIN_SURROGATE && c <= Character.MAX_SURROGATE)
                && !name.equals(new String(bytes, StandardCharsets.UTF_8))) {
            throw new IllegalArgumentException("a unit's name must be text, got half of a pair in " + name);
        }
        return bytes;
    }

    private void text(byte[] bytes) {
        number(bytes.length);
        room(bytes.length);
        System.arraycopy(bytes, 0, scratch, at, bytes.length);
        at += bytes.length;
    }

    private void number(long value) {
        room(10);
        long left = value;
        for (; (left & ~0x7fL) != 0; left >>>= 7) {
            scratch[at++] = (byte) (left | 0x80);
        }
        scratch[at++] = (byte) left;
    }

    private static long zigzag(long value) {
        return value << 1 ^ value >> 63;
    }

    private static long unzigzag(long value) {
        return value >>> 1 ^ -(value & 1);
    }

    /** Reads a record after its flags. */
    private final class Reader {
        private final byte[] page;
        private final int start;
        private int from;

        Reader(int place) {
            page = page(place);
            start = offset(place);
            from = start + AFTER_FLAGS;
        }

        long number() {
            long value = 0;
            int shift = 0;
            for (; page[from] < 0; shift += 7) {
                value |= (page[from++] & 0x7fL) << shift;
            }
            return value | (long) page[from++] << shift;
        }

        void skip(int bytes) {
            from += bytes;
        }

        String text() {
            int length = (int) number();
            from += length;
            return new String(page, from - length, length, StandardCharsets.UTF_8);
        }

        String address() {
            StringBuilder text = new StringBuilder(21);
            for (int i = 0; i < 4; i++) {
                text.append(i == 0 ? "" : ".").append(page[from++] & 0xff);
            }
            int port = (page[from] & 0xff) << 8 | page[from + 1] & 0xff;
            from += 2;
            return text.append(':').append(port).toString();
        }

        /** The record's bytes, read from behind its service. */
        int toEnd() {
            for (int i = 0; i < 4; i++) {
                number();
            }
            int flags = page[start + FLAGS];
            skip((flags & PACKED_ADDRESS) != 0 ? 6 : (int) number());
            if ((flags & LABELLED) != 0) {
                for (long n = 2 * number(); n > 0; n--) {
                    skip((int) number());
                }
            }
            return from - start;
        }
    }
}
