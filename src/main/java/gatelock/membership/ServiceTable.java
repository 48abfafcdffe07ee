package gatelock.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Assigns numbers to the services of an {@link EndpointStore}, so that a record can refer to its service in one or two
 * bytes, and holds the list of each service's endpoints.
 */
final class ServiceTable {
    /** The endpoints of one service: the head of the doubly linked list that connects their records, and counts. */
    static final class EndpointList {
        final String service;
        int head = RecordArena.NONE;
        int endpointCount;
        int readyCount;

        EndpointList(String service) {
            this.service = service;
        }
    }

    private final Map<String, Integer> numbers = new HashMap<>();
    private final List<EndpointList> endpointLists = new ArrayList<>();
    /** Numbers of removed services, which are reused for new ones. */
    private final Deque<Integer> freeNumbers = new ArrayDeque<>();

    /**
     * Returns the number of a service, which is added if it is unknown. The number remains valid until {@link #remove}
     * removes the service.
     */
    int numberOf(String service) {
        Integer existing = numbers.get(service);
        if (existing != null) {
            return existing;
        }
        int number = freeNumbers.isEmpty() ? endpointLists.size() : freeNumbers.pop();
        numbers.put(service, number);
        if (number == endpointLists.size()) {
            endpointLists.add(new EndpointList(service));
        } else {
            endpointLists.set(number, new EndpointList(service));
        }
        return number;
    }

    /** Returns the endpoint list of the service with this number. */
    EndpointList endpointList(int number) {
        return endpointLists.get(number);
    }

    /** Returns the endpoint list of a service, or an empty one if the service is unknown. */
    EndpointList endpointList(String service) {
        Integer existing = numbers.get(service);
        return existing == null ? new EndpointList(service) : endpointLists.get(existing);
    }

    /** Removes a service if it has no endpoints left. */
    void remove(String service) {
        Integer existing = numbers.get(service);
        if (existing != null && endpointLists.get(existing).endpointCount == 0) {
            numbers.remove(service);
            freeNumbers.push(existing);
        }
    }

    /** Returns the names of the services that have endpoints. */
    List<String> names() {
        return endpointLists.stream()
                .filter(list -> list.endpointCount > 0)
                .map(list -> list.service)
                .toList();
    }
}
