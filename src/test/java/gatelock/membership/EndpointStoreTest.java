package gatelock.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import gatelock.api.Endpoint;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Compares the packed store with a map, including cases in which the hashes of names collide. */
final class EndpointStoreTest {
    private static final List<Endpoint.Health> HEALTH = List.of(Endpoint.Health.values());

    private static EndpointEntry entry(String name, String service, String address) {
        return new EndpointEntry(name, service, address, 0, 0, 0, 1, Endpoint.Health.READY, 0);
    }

    private static EndpointEntry randomEntry(RandomGenerator random, int names) {
        String[] addresses = {
            "10.0.0." + random.nextInt(256) + ":" + random.nextInt(65_536),
            "unit:80",
            "1.2.3:4",
            "01.2.3.4:5",
            "1.2.3.4:05",
            "1.2.3.4:70000",
            "1.2.3.400:5",
            "1.2.3.4:",
            "",
            "0.0.0.0:0",
            "255.255.255.255:65535",
            "[::1]:80",
            "1.2.3.4.5:6",
            "1.2.3.4:5:6"
        };
        long[] starts = {
            0, 1, -1, 1_780_000_000_000_000L, 1_780_000_000_000_001L, Long.MAX_VALUE, Long.MIN_VALUE, -3_000
        };
        Map<String, String> labels = random.nextInt(3) > 0
                ? Map.of()
                : random.ints(random.nextInt(4), 0, 9)
                        .boxed()
                        .distinct()
                        .collect(Collectors.toMap(i -> "label" + i, i -> "v\u00e4lue".repeat(i)));
        return new EndpointEntry(
                "n" + "ame".repeat(random.nextInt(2)) + random.nextInt(names),
                "s" + random.nextInt(4),
                addresses[random.nextInt(addresses.length)],
                random.nextInt(20) - 1,
                random.nextInt(300),
                random.nextInt(),
                random.nextInt(1000) - 1,
                HEALTH.get(random.nextInt(HEALTH.size())),
                starts[random.nextInt(starts.length)],
                labels);
    }

    @Property(tries = 300)
    void storesSameEntriesAsMap(@ForAll long seed, @ForAll boolean colliding) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        int names = 1 + random.nextInt(120);
        EndpointStore store = new EndpointStore(
                colliding ? new CollidingRanking(7, 1 + random.nextInt(3)) : new RendezvousRanking(7));
        Map<String, EndpointEntry> model = new TreeMap<>();
        for (int i = 0; i < 600; i++) {
            EndpointEntry entry = randomEntry(random, names);
            if (random.nextInt(3) == 0) {
                assertThat(store.remove(entry.name())).isEqualTo(model.remove(entry.name()) != null);
                store.removeService(entry.service());
            } else {
                assertThat(store.entry(store.put(entry))).isEqualTo(entry);
                model.put(entry.name(), entry);
            }
            assertThat(store.size()).isEqualTo(model.size());
        }
        model.forEach((name, entry) -> {
            int handle = store.find(name);
            assertThat(store.entry(handle)).isEqualTo(entry);
            assertThat(store.name(handle)).isEqualTo(name);
            assertThat(store.zone(handle)).isEqualTo(entry.zone());
            assertThat(store.health(handle)).isEqualTo(entry.health());
        });
        Map<String, EndpointEntry> visited = new HashMap<>();
        store.forEach(handle -> visited.put(store.name(handle), store.entry(handle)));
        assertThat(visited).isEqualTo(model);
        Map<String, Map<String, EndpointEntry>> byService = new TreeMap<>();
        model.values()
                .forEach(entry -> byService
                        .computeIfAbsent(entry.service(), s -> new TreeMap<>())
                        .put(entry.name(), entry));
        assertThat(store.serviceNames()).containsExactlyInAnyOrderElementsOf(byService.keySet());
        byService.forEach((service, endpoints) -> {
            Map<String, EndpointEntry> storedOfService = new TreeMap<>();
            for (int current = store.first(service); current >= 0; current = store.next(current)) {
                storedOfService.put(store.name(current), store.entry(current));
            }
            assertThat(storedOfService).isEqualTo(endpoints);
            assertThat(store.endpointCount(service)).isEqualTo(endpoints.size());
            assertThat(store.readyCount(service)).isEqualTo((int) endpoints.values().stream()
                    .filter(entry -> entry.health() == Endpoint.Health.READY)
                    .count());
        });
    }

    @Test
    void distinguishesNamesWithEqualHashes() {
        EndpointStore store = new EndpointStore(new CollidingRanking(1, 1));
        for (int i = 0; i < 1000; i++) {
            store.put(entry("unit-" + i, "s", "10.0.0.1:" + i));
        }
        for (int i = 0; i < 1000; i += 2) {
            store.remove("unit-" + i);
        }
        assertThat(store.size()).isEqualTo(500);
        for (int i = 0; i < 1000; i++) {
            int handle = store.find("unit-" + i);
            assertThat(handle >= 0).isEqualTo(i % 2 == 1);
            if (handle >= 0) {
                assertThat(store.entry(handle).address()).isEqualTo("10.0.0.1:" + i);
            }
        }
    }

    @Test
    void reusesMemoryOfRemovedEndpoints() {
        EndpointStore store = new EndpointStore(new RendezvousRanking(1));
        for (int i = 0; i < 5_000; i++) {
            store.put(entry("unit-" + (10_000 + i), "s" + i % 100, "10.0.0.1:80"));
        }
        long bytes = store.bytes();
        for (int i = 5_000; i < 50_000; i++) {
            store.remove("unit-" + (10_000 + i - 5_000));
            store.put(entry("unit-" + (10_000 + i), "s" + i % 100, "10.0.0.1:80"));
        }
        assertThat(store.size()).isEqualTo(5_000);
        assertThat(store.bytes()).isLessThanOrEqualTo(bytes + 64);
    }

    @Test
    void forgetsServicesWithoutEndpoints() {
        EndpointStore store = new EndpointStore(new RendezvousRanking(1));
        for (int i = 0; i < 1_000; i++) {
            store.put(entry("u", "service-" + i, "10.0.0.1:80"));
            store.removeService("service-" + (i - 1));
            assertThat(store.serviceNames()).containsExactly("service-" + i);
        }
    }

    @Test
    void rejectsInvalidEntryWithoutChangingStore() {
        EndpointStore store = new EndpointStore(new RendezvousRanking(1));
        store.put(entry("a", "s", "10.0.0.1:80"));
        assertThatThrownBy(() -> store.put(new EndpointEntry(
                        "a", "s", "x", 0, 0, 0, 1, Endpoint.Health.READY, 0, Map.of("l", "v".repeat(70_000)))))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("65536 bytes")
                .hasMessageEndingWith("for a");
        assertThatThrownBy(() -> store.put(entry("half\ud83d", "s", "x")))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("must be text");
        store.put(entry("whole\ud83d\ude00", "s", "x"));
        assertThat(store.size()).isEqualTo(2);
        assertThat(store.entry(store.find("a"))).isEqualTo(entry("a", "s", "10.0.0.1:80"));
    }
}
