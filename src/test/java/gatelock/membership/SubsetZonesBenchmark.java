package gatelock.membership;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Measures the fraction of connections within the relay's own zone, and how unevenly endpoints are used as a result. */
final class SubsetZonesBenchmark {
    private static final int SUBSET_SIZE = 5;

    private SubsetZonesBenchmark() {}

    /** Prints, for each assignment of zones, the connections within a zone and how evenly endpoints are used. */
    static void print() {
        int zones = 19;
        int relaysPerZone = 100;
        System.out.println("Zones: " + zones + ", each with " + relaysPerZone + " relays; 5 in scope, 1 of them "
                + "elsewhere; the module itself (ranked). Units a zone: even, or drawn.\n");
        System.out.println("| units | zones | of connections in the own zone | least to mean, max to mean |");
        System.out.println("| --- | --- | --- | --- |");
        for (int count : new int[] {28, 190, 1_000}) {
            for (String zoning : new String[] {"none told", "even", "drawn"}) {
                printRow(count, zoning, zones, zones * relaysPerZone);
            }
        }
        System.out.println();
    }

    private static void printRow(int count, String zoning, int zones, int relays) {
        SplittableRandom random = new SplittableRandom(count);
        List<EndpointEntry> list = IntStream.range(0, count)
                .mapToObj(i ->
                        BenchmarkList.endpoint(i, 1, zoning.equals("drawn") ? random.nextInt(zones) : i % zones, 0))
                .toList();
        Map<String, Integer> indexes = IntStream.range(0, count)
                .boxed()
                .collect(Collectors.toMap(i -> list.get(i).name(), i -> i));
        int[] holders = new int[count];
        int local = 0;
        int connections = 0;
        for (int relay = 0; relay < relays; relay++) {
            int zone = zoning.equals("none told") ? -1 : relay % zones;
            for (EndpointEntry entry : subset(relay, zone, list)) {
                holders[indexes.get(entry.name())]++;
                local += entry.zone() == relay % zones ? 1 : 0;
                connections++;
            }
        }
        double mean = connections / (double) count;
        System.out.printf(
                "| %d | %s | %.2f | %.2f, %.2f |%n",
                count,
                zoning,
                local / (double) connections,
                Arrays.stream(holders).min().orElse(0) / mean,
                Arrays.stream(holders).max().orElse(0) / mean);
    }

    /** Returns a relay's subset from {@link EndpointSubset}, with one endpoint in another zone. */
    private static List<EndpointEntry> subset(int relay, int zone, List<EndpointEntry> list) {
        EndpointSubset subset = new EndpointSubset(
                new EndpointSubset.Policy(relay, zone, 1_000, SUBSET_SIZE, 0, 1, BenchmarkList.SECOND_US));
        EndpointSubset.ListUpdate update = subset.beginUpdate(true);
        list.forEach(update::add);
        return update.commit(0, 1).entries();
    }
}
