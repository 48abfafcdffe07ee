package gatelock.membership;

import gatelock.api.Endpoint;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

/** Generates endpoint lists like those of a large platform for the benchmarks. */
final class BenchmarkList {
    static final long SECOND_US = 1_000_000;
    private static final long FIRST_START_US = 1_780_000_000_000_000L;
    private static final int ZONES = 19;

    private BenchmarkList() {}

    /** Returns the endpoint with a number, whose start time is one second later after each restart. */
    static EndpointEntry endpoint(int number, int services, int restarts) {
        return endpoint(number, services, number % ZONES, restarts);
    }

    /** Returns the endpoint with a number in the given zone. */
    static EndpointEntry endpoint(int number, int services, int zone, int restarts) {
        return new EndpointEntry(
                name(number),
                "service-" + number % services,
                "10." + (number >> 16) + "." + ((number >> 8) & 255) + "." + (number & 255) + ":8443",
                zone,
                number % 4,
                number % 50,
                804 + number % 2,
                Endpoint.Health.READY,
                FIRST_START_US + number * 1000L + restarts * SECOND_US);
    }

    /** Stages a full list of endpoints without committing it. */
    static EndpointSubset.ListUpdate stageFullList(EndpointSubset subset, int endpoints, int services, int restarts) {
        EndpointSubset.ListUpdate update = subset.beginUpdate(true);
        for (int number = 0; number < endpoints; number++) {
            update.add(endpoint(number, services, restarts));
        }
        return update;
    }

    /** Commits a full list and returns random numbers of endpoints inside the subset or outside of it. */
    static int[] sample(EndpointSubset subset, int endpoints, int services, boolean inSubset, int count) {
        Set<String> members = new HashSet<>();
        EndpointSubset.Change change =
                stageFullList(subset, endpoints, services, 0).commit(0, 1);
        change.entries().forEach(entry -> members.add(entry.name()));
        return new SplittableRandom(5)
                .ints(endpoints * 4L, 0, endpoints)
                .filter(number -> members.contains(name(number)) == inSubset)
                .limit(count)
                .toArray();
    }

    private static String name(int number) {
        return "unit-" + (1_000_000 + number);
    }
}
