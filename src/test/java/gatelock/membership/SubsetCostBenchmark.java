package gatelock.membership;

import gatelock.api.Endpoint;
import gatelock.capacity.Fit;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Measures the CPU time and memory of the subset for different sizes of the list. */
final class SubsetCostBenchmark {
    private static final int ENDPOINTS_PER_SERVICE = 28;
    private static final int CHANGES = 2_000;
    private static final int CHANGES_PER_RESTART = 3;
    private static final int REPEATS = 5;
    private static final int WARM_UPS = 3;
    private static final int[] LIST_SIZES = {1_000, 10_000, 100_000, 200_000};
    private static final long SECOND_US = BenchmarkList.SECOND_US;

    /** Measurements of a list of one size with a small subset. */
    private record ListCost(long heapBytes, double changeOutsideUs) {}

    private SubsetCostBenchmark() {}

    /**
     * Prints CPU time and memory for each size of the list.
     *
     * @param slopes file to which the slopes are written, or null
     * @param run id of the run in that file
     */
    static void printWork(Path slopes, String run) throws IOException {
        System.out.println("Work and memory of the module; 28 units a service, 256 in scope over all, so that what is "
                + "out of scope shows. A change is one entry with its due; three make a restart.\n");
        System.out.println("| units | heap, KB | bytes a unit out of scope | of these packed | peak while a whole list "
                + "comes, KB | whole list, CPU ms | change out of scope, CPU us | in scope, CPU us |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        warmUp();
        ListCost[] costs = new ListCost[LIST_SIZES.length];
        for (int i = 0; i < LIST_SIZES.length; i++) {
            costs[i] = printSmallSubset(LIST_SIZES[i]);
        }
        System.out.println();
        System.out.println("The same with 5 of each service in scope (bound 40,000), and with one service:\n");
        System.out.println(
                "| units | services | in scope | heap, KB | whole list, CPU ms | change out of scope, CPU us "
                        + "| in scope, CPU us |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
        for (int size : LIST_SIZES) {
            printLargeSubset(size, size / ENDPOINTS_PER_SERVICE);
            printLargeSubset(size, 1);
        }
        if (slopes != null) {
            writeSlopes(slopes, run, costs);
        }
    }

    /** Prints the memory used for 200,000 endpoints, in a relay's heap, after ten full lists and five times 2,000 restarts. */
    static void printLongListMemory() {
        int endpoints = 200_000;
        int services = 7_200;
        EndpointSubset subset = newSubset(4_096);
        for (int k = 0; k < 10; k++) {
            BenchmarkList.stageFullList(subset, endpoints, services, k).commit(k, k);
        }
        cpuPerChangeUs(subset, IntStream.range(0, CHANGES).toArray(), services);
        System.out.printf(
                "%,d units, %,d in scope, %,d services crowded out: %,d KB used of %,d KB%n",
                subset.listedCount(),
                subset.subsetSize(),
                subset.servicesWithoutSlot(),
                usedHeapBytes() / 1024,
                Runtime.getRuntime().maxMemory() / 1024);
    }

    private static EndpointSubset newSubset(int maxEndpoints) {
        return new EndpointSubset(new EndpointSubset.Policy(7, 0, maxEndpoints, 5, 0, 1, SECOND_US));
    }

    private static void warmUp() {
        int size = 10_000;
        int services = size / ENDPOINTS_PER_SERVICE;
        for (int i = 0; i < WARM_UPS; i++) {
            EndpointSubset subset = newSubset(256);
            cpuPerChangeUs(subset, BenchmarkList.sample(subset, size, services, false, CHANGES), services);
        }
    }

    // The updates are set to null so that the heap measurement excludes them.
    @SuppressWarnings("UnusedAssignment")
    private static ListCost printSmallSubset(int size) {
        int services = size / ENDPOINTS_PER_SERVICE;
        long before = usedHeapBytes();
        EndpointSubset subset = newSubset(256);
        EndpointSubset.ListUpdate first = BenchmarkList.stageFullList(subset, size, services, 0);
        first.commit(0, 1);
        first = null;
        long heapBytes = usedHeapBytes() - before;
        EndpointSubset.ListUpdate second = BenchmarkList.stageFullList(subset, size, services, 1);
        long peakBytes = usedHeapBytes() - before;
        second.commit(0, 2);
        second = null;
        double fullListMs = cpuPerFullListMs(subset, size, services);
        double outsideUs =
                cpuPerChangeUs(subset, BenchmarkList.sample(subset, size, services, false, CHANGES), services);
        double insideUs = cpuPerChangeUs(subset, BenchmarkList.sample(subset, size, services, true, CHANGES), services);
        System.out.printf(
                "| %,d | %,d | %.1f | %.1f | %,d | %.1f | %.2f | %.2f |%n",
                size,
                heapBytes / 1024,
                heapBytes / (double) size,
                subset.bytes() / (double) size,
                peakBytes / 1024,
                fullListMs,
                outsideUs,
                insideUs);
        return new ListCost(heapBytes, outsideUs);
    }

    private static void printLargeSubset(int size, int services) {
        long before = usedHeapBytes();
        EndpointSubset subset = newSubset(40_000);
        BenchmarkList.stageFullList(subset, size, services, 0).commit(0, 1);
        long heapBytes = usedHeapBytes() - before;
        long fromNs = cpuNs();
        BenchmarkList.stageFullList(subset, size, services, 1).commit(0, 1);
        double fullListMs = (cpuNs() - fromNs) / 1e6;
        int[] outside = BenchmarkList.sample(subset, size, services, false, CHANGES);
        int inSubset = subset.subsetSize();
        double outsideUs = cpuPerChangeUs(subset, outside, services);
        int[] inside = BenchmarkList.sample(subset, size, services, true, CHANGES);
        // With one service, a change inside the subset scans the whole service, so fewer changes are measured.
        double insideUs =
                services == 1 ? cpuPerMemberChangeUs(subset, inside) : cpuPerChangeUs(subset, inside, services);
        System.out.printf(
                "| %,d | %,d | %,d | %,d | %.1f | %.2f | %.2f |%n",
                size, services, inSubset, heapBytes / 1024, fullListMs, outsideUs, insideUs);
    }

    private static double cpuPerFullListMs(EndpointSubset subset, int size, int services) {
        double[] ms = new double[REPEATS];
        for (int repeat = 0; repeat < REPEATS; repeat++) {
            long fromNs = cpuNs();
            BenchmarkList.stageFullList(subset, size, services, repeat).commit(0, 3);
            ms[repeat] = (cpuNs() - fromNs) / 1e6;
        }
        return median(ms);
    }

    /** Returns the CPU time per change: the mean of the three changes of a restart, and the median of the repeats. */
    private static double cpuPerChangeUs(EndpointSubset subset, int[] endpoints, int services) {
        double[] us = new double[REPEATS];
        long nowUs = 1;
        for (int repeat = 0; repeat < REPEATS; repeat++) {
            long fromNs = cpuNs();
            for (int i = 0; i < CHANGES; i++) {
                EndpointEntry entry = BenchmarkList.endpoint(endpoints[i % endpoints.length], services, repeat + 1);
                EndpointEntry draining = entry.withHealth(Endpoint.Health.DRAINING);
                for (EndpointEntry change : new EndpointEntry[] {draining, entry.asRemoved(), entry}) {
                    nowUs = apply(subset, change, nowUs);
                }
            }
            us[repeat] = (cpuNs() - fromNs) / 1e3 / ((double) CHANGES_PER_RESTART * CHANGES);
        }
        return median(us);
    }

    private static double cpuPerMemberChangeUs(EndpointSubset subset, int[] endpoints) {
        int changes = 200;
        long nowUs = 1_000_000_000L;
        long fromNs = cpuNs();
        for (int i = 0; i < changes; i++) {
            EndpointEntry entry = BenchmarkList.endpoint(endpoints[i % endpoints.length], 1, i + 100);
            for (EndpointEntry change : new EndpointEntry[] {entry.asRemoved(), entry}) {
                nowUs = apply(subset, change, nowUs);
            }
        }
        return (cpuNs() - fromNs) / 1e3 / (2.0 * changes);
    }

    /** Applies a change, refreshes the subset one millisecond later and returns the time of the refresh. */
    private static long apply(EndpointSubset subset, EndpointEntry change, long nowUs) {
        EndpointSubset.ListUpdate update = subset.beginUpdate(false);
        update.add(change);
        update.commit(nowUs, 1);
        subset.refresh(nowUs + 1000);
        return nowUs + 1000;
    }

    private static void writeSlopes(Path file, String run, ListCost[] costs) throws IOException {
        double[] heap = Arrays.stream(costs).mapToDouble(ListCost::heapBytes).toArray();
        double[] change =
                Arrays.stream(costs).mapToDouble(ListCost::changeOutsideUs).toArray();
        String heapSlope = slope(
                "heapPerUnitOutOfScope",
                "heap of the scope by units listed, 256 of them in scope, 28 a service",
                "bytes",
                heap,
                "used heap after collections, before and after a whole list");
        String changeSlope = slope(
                "cpuPerChangeOutOfScopeUs",
                "processor time of one entry's change out of scope, by units listed",
                "us",
                change,
                "thread's processor time over " + CHANGES_PER_RESTART * CHANGES + " changes, median of " + REPEATS
                        + " repeats; a restart is three changes");
        Files.createDirectories(file.toAbsolutePath().getParent());
        Files.writeString(
                file,
                "{\n  \"run\": {\"id\": \"" + run + "\", \"cores\": "
                        + Runtime.getRuntime().availableProcessors() + ", \"java\": \""
                        + Runtime.version().feature()
                        + "\", \"command\": \"make measure-membership\"},\n  \"slopes\": [\n"
                        + heapSlope + ",\n" + changeSlope + "\n  ]\n}\n");
    }

    private static String slope(String name, String what, String unit, double[] values, String how) {
        List<double[]> measured = IntStream.range(0, LIST_SIZES.length)
                .mapToObj(i -> new double[] {LIST_SIZES[i], values[i]})
                .toList();
        Fit fit = Fit.of(measured);
        String points = measured.stream()
                .map(point -> String.format("[%.0f, %.3f]", point[0], point[1]))
                .collect(Collectors.joining(", "));
        return String.format(
                "    {\"name\": \"%s\", \"what\": \"%s\", \"x\": \"units listed\", \"y\": \"%s\",%n"
                        + "      \"points\": [%s],%n      \"slope\": %.6g, \"intercept\": %.6g, \"residual\": %.6g,%n"
                        + "      \"how\": \"%s; least squares\"}",
                name, what, unit, points, fit.slope(), fit.intercept(), fit.residual(), how);
    }

    private static double median(double[] values) {
        Arrays.sort(values);
        return values[values.length / 2];
    }

    /** Returns the lowest heap use of three measurements, each after a garbage collection. */
    private static long usedHeapBytes() {
        long least = Long.MAX_VALUE;
        for (int i = 0; i < 3; i++) {
            System.gc();
            least = Math.min(
                    least,
                    ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
        }
        return least;
    }

    private static long cpuNs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
