package gatelock.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Numbers the services of an {@link EndpointStore}, so that a record names its service in one or two bytes. */
final class ServiceTable {
    /** The endpoints of one service: the head of a doubly linked list through their records, and counts. */
    static final class Ring {
        final String name;
        int first = RecordArena.NONE;
        int endpoints;
        int ready;

        Ring(String name) {
            this.name = name;
        }
    }

    private final Map<String, Integer> numbers = new HashMap<>();
    private final List<Ring> rings = new ArrayList<>();
    /** Numbers of services that were forgotten, for new ones. */
    private final Deque<Integer> freeNumbers = new ArrayDeque<>();

    /** The number of a service, which is added if it is not known; it holds until the service is forgotten. */
    int numberOf(String service) {
        Integer known = numbers.get(service);
        if (known != null) {
            return known;
        }
        int number = freeNumbers.isEmpty() ? rings.size() : freeNumbers.pop();
        numbers.put(service, number);
        if (number == rings.size()) {
            rings.add(new Ring(service));
        } else {
            rings.set(number, new Ring(service));
        }
        return number;
    }

    /** The ring of a service's number. */
    Ring ring(int number) {
        return rings.get(number);
    }

    /** The ring of a service; an empty one where the service is not known. */
    Ring ring(String service) {
        Integer known = numbers.get(service);
        return known == null ? new Ring(service) : rings.get(known);
    }

    /** Forgets a service if it has no endpoint left. */
    void forget(String service) {
        Integer known = numbers.get(service);
        if (known != null && rings.get(known).endpoints == 0) {
            numbers.remove(service);
            freeNumbers.push(known);
        }
    }

    /** Names of the services that have an endpoint. */
    List<String> names() {
        return rings.stream()
                .filter(ring -> ring.endpoints > 0)
                .map(ring -> ring.name)
                .toList();
    }
}
