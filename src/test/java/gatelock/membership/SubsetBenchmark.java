package gatelock.membership;

import gatelock.api.Endpoint;
import gatelock.capacity.Fit;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.IntToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Sets options for a relay's endpoints side by side and measures what a scope costs. Not a test: run by
 * {@code make measure-membership}, which prints the tables of docs/measurements/membership.md.
 * {@code work FILE RUN} writes the slopes to that file, with that name of the run.
 */
public final class SubsetBenchmark {
    private static final int RELAYS = 5_700;
    private static final int UNITS_A_SERVICE = 28;
    private static final int CHANGES = 2_000;
    private static final int REPEATS = 5;
    private static final long SECOND = 1_000_000;

    private SubsetBenchmark() {}

    public static void main(String[] args) throws IOException {
        Locale.setDefault(Locale.ROOT);
        if (args.length > 0 && args[0].equals("fit")) {
            fit();
            return;
        }
        if (args.length > 0 && args[0].equals("work")) {
            work(args.length > 1 ? Path.of(args[1]) : null, args.length > 2 ? args[2] : "none");
            return;
        }
        evenness();
        weights();
        moves();
        zones();
        stages();
    }

    // The options

    /** Which of some endpoints each relay uses; endpoints are known by the hashes of their names, in their order. */
    private interface Option {
        int[] endpoints(long relay, long[] endpoints, int most);
    }

    /** What the module does; checked against it in {@link #zones}. */
    private static int[] ranked(long relay, long[] endpoints, int most) {
        RendezvousRanking ranking = new RendezvousRanking(relay);
        return least(endpoints.length, most, i -> 0, i -> ranking.rank(endpoints[i]));
    }

    private interface Place {
        long of(int endpoint);
    }

    private static int[] least(int endpoints, int most, IntToDoubleFunction first, Place place) {
        int take = Math.min(most, endpoints);
        double[] firsts = IntStream.range(0, endpoints).mapToDouble(first).toArray();
        long[] places = IntStream.range(0, endpoints).mapToLong(place::of).toArray();
        int[] best = new int[take];
        int held = 0;
        for (int i = 0; i < endpoints; i++) {
            int at = held;
            while (at > 0
                    && (firsts[i] < firsts[best[at - 1]]
                            || firsts[i] == firsts[best[at - 1]] && places[i] < places[best[at - 1]])) {
                at--;
            }
            if (at < take) {
                held = Math.min(take, held + 1);
                System.arraycopy(best, at, best, at + 1, held - at - 1);
                best[at] = i;
            }
        }
        return best;
    }

    /** Subsets in rounds: each round shuffles all endpoints and gives each of its relays a part of its own. */
    private static int[] rounds(long relay, long[] endpoints, int most) {
        int parts = Math.max(1, endpoints.length / most);
        long round = Math.floorDiv(relay, parts);
        int[] order = IntStream.range(0, endpoints.length).toArray();
        SplittableRandom random = new SplittableRandom(round);
        for (int i = order.length - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            int was = order[i];
            order[i] = order[j];
            order[j] = was;
        }
        int from = (int) Math.floorMod(relay, (long) parts) * most;
        return Arrays.copyOfRange(order, from, Math.min(endpoints.length, from + most));
    }

    /** A ring of endpoints in the order of their hashes; relays stand on it by van der Corput's sequence. */
    private static int[] ring(long relay, long[] endpoints, int most) {
        double at = (Long.reverse(relay) >>> 11) * 0x1.0p-53;
        int first = (int) (at * endpoints.length);
        return IntStream.range(0, Math.min(most, endpoints.length))
                .map(i -> (first + i) % endpoints.length)
                .toArray();
    }

    private static int[] all(long relay, long[] endpoints, int most) {
        return IntStream.range(0, endpoints.length).toArray();
    }

    private static long[] endpoints(int endpoints, int from) {
        RendezvousRanking any = new RendezvousRanking(0);
        return IntStream.range(from, from + endpoints)
                .mapToLong(i -> any.hash("unit-" + i))
                .sorted()
                .toArray();
    }

    private static long[] numbers(boolean drawn) {
        SplittableRandom random = new SplittableRandom(17);
        return IntStream.range(0, RELAYS)
                .mapToLong(i -> drawn ? random.nextLong(Long.MAX_VALUE) : i)
                .toArray();
    }

    /** {least, most} load of an endpoint over the mean; relays bear load, spread over their endpoints by weight. */
    private static double[] spread(
            Option option, boolean drawn, long[] endpoints, int most, double[] weights, double[] loads) {
        double[] load = new double[endpoints.length];
        long[] numbers = numbers(drawn);
        for (int r = 0; r < RELAYS; r++) {
            int[] its = option.endpoints(numbers[r], endpoints, most);
            double sum = Arrays.stream(its).mapToDouble(u -> weights[u]).sum();
            for (int u : its) {
                load[u] += loads[r] / sum;
            }
        }
        double mean = Arrays.stream(loads).sum() / Arrays.stream(weights).sum();
        return new double[] {
            Arrays.stream(load).min().orElse(0) / mean,
            Arrays.stream(load).max().orElse(0) / mean
        };
    }

    private static double[] ones(int n) {
        double[] ones = new double[n];
        Arrays.fill(ones, 1);
        return ones;
    }

    private static void evenness() {
        System.out.println("Least to mean and max to mean load of a unit, " + RELAYS + " relays:\n");
        System.out.println("| units | in scope | ranked | rounds, numbered | ring, numbered | rounds, drawn "
                + "| ring, drawn | all |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (int n : new int[] {2, 10, 28, 100, 1_000, 5_000}) {
            for (int most : new int[] {5, 20, 100}) {
                if (most > 5 && most >= n) {
                    continue;
                }
                long[] endpoints = endpoints(n, 0);
                StringBuilder row = new StringBuilder("| " + n + " | " + Math.min(n, most));
                for (Object[] column : new Object[][] {
                    {(Option) SubsetBenchmark::ranked, false},
                    {(Option) SubsetBenchmark::rounds, false},
                    {(Option) SubsetBenchmark::ring, false},
                    {(Option) SubsetBenchmark::rounds, true},
                    {(Option) SubsetBenchmark::ring, true},
                    {(Option) SubsetBenchmark::all, false}
                }) {
                    double[] s =
                            spread((Option) column[0], (boolean) column[1], endpoints, most, ones(n), ones(RELAYS));
                    row.append(String.format(" | %.2f, %.2f", s[0], s[1]));
                }
                System.out.println(row + " |");
            }
        }
        System.out.println();
    }

    private static void weights() {
        System.out.println("Max to mean load by weight (half of the units 1, a quarter 2, a quarter 4), and "
                + "with "
                + "equal weights where relays' loads differ (drawn, exponential):\n");
        System.out.println("| units | in scope | ranked | ranked by weight | rounds, numbered | ring, "
                + "numbered "
                + "| ranked, unequal relays | ring, unequal relays |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        SplittableRandom random = new SplittableRandom(3);
        double[] unequal = new double[RELAYS];
        for (int r = 0; r < RELAYS; r++) {
            unequal[r] = -Math.log(1 - random.nextDouble());
        }
        for (int n : new int[] {28, 100, 1_000, 5_000}) {
            int most = 5;
            long[] endpoints = endpoints(n, 0);
            double[] weights = new double[n];
            for (int i = 0; i < n; i++) {
                weights[i] = i % 4 < 2 ? 1 : i % 4 == 2 ? 2 : 4;
            }
            Option weighted = (relay, its, m) -> {
                RendezvousRanking ranking = new RendezvousRanking(relay);
                return least(
                        its.length,
                        m,
                        i -> -Math.log(((ranking.rank(its[i]) >>> 11) + 0.5) * 0x1.0p-53) / weights[i],
                        i -> 0);
            };
            // A relay that chose by weight spreads evenly over its endpoints: the weight was counted.
            double even = 0;
            double[] load = new double[n];
            for (long r : numbers(false)) {
                int[] its = weighted.endpoints(r, endpoints, most);
                for (int u : its) {
                    load[u] += 1.0 / its.length;
                }
            }
            double mean = RELAYS / Arrays.stream(weights).sum();
            for (int i = 0; i < n; i++) {
                even = Math.max(even, load[i] / weights[i] / mean);
            }
            System.out.printf(
                    "| %d | %d | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f |%n",
                    n,
                    most,
                    spread(SubsetBenchmark::ranked, false, endpoints, most, weights, ones(RELAYS))[1],
                    even,
                    spread(SubsetBenchmark::rounds, false, endpoints, most, weights, ones(RELAYS))[1],
                    spread(SubsetBenchmark::ring, false, endpoints, most, weights, ones(RELAYS))[1],
                    spread(SubsetBenchmark::ranked, false, endpoints, most, ones(n), unequal)[1],
                    spread(SubsetBenchmark::ring, false, endpoints, most, ones(n), unequal)[1]);
        }
        System.out.println();
    }

    /** New connections a relay, mean over relays, from one choice to another. */
    private static double moved(Option option, long[] before, long[] after, int most, long numberMoves) {
        long moved = 0;
        for (int r = 0; r < RELAYS; r++) {
            long[] had = Arrays.stream(option.endpoints(r, before, most))
                    .mapToLong(i -> before[i])
                    .sorted()
                    .toArray();
            moved += Arrays.stream(option.endpoints(r + numberMoves, after, most))
                    .filter(i -> Arrays.binarySearch(had, after[i]) < 0)
                    .count();
        }
        return moved / (double) RELAYS;
    }

    private static void moves() {
        System.out.println("New connections a relay (mean over " + RELAYS + " relays and 10 units), 5 in "
                + "scope. "
                + "Least: each relay that held the unit needs one other.\n");
        System.out.println("| units | what | least | ranked | rounds | ring | all |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
        int most = 5;
        for (int n : new int[] {28, 100, 1_000}) {
            for (String what : new String[] {"a unit goes", "a unit comes", "relays' numbers move by one"}) {
                double[] sums = new double[4];
                Option[] options = {
                    SubsetBenchmark::ranked, SubsetBenchmark::rounds, SubsetBenchmark::ring, SubsetBenchmark::all
                };
                for (int k = 0; k < 10; k++) {
                    long[] full = endpoints(n, 1_000 * k);
                    int out = k * n / 10;
                    long[] less = IntStream.range(0, n)
                            .filter(i -> i != out)
                            .mapToLong(i -> full[i])
                            .toArray();
                    for (int o = 0; o < options.length; o++) {
                        sums[o] += what.endsWith("goes")
                                ? moved(options[o], full, less, most, 0)
                                : what.endsWith("comes")
                                        ? moved(options[o], less, full, most, 0)
                                        : moved(options[o], full, full, most, 1);
                    }
                }
                String least = what.startsWith("a unit") ? String.format("%.3f", most / (double) n) : "0";
                System.out.printf(
                        "| %d | %s | %s | %.3f | %.3f | %.3f | %.3f |%n",
                        n, what, least, sums[0] / 10, sums[1] / 10, sums[2] / 10, sums[3] / 10);
            }
        }
        System.out.println();
    }

    // The module itself

    private static EndpointEntry endpoint(int n, int services, int zone, int starts) {
        return new EndpointEntry(
                "unit-" + (1_000_000 + n),
                "service-" + n % services,
                "10." + (n >> 16) + "." + (n >> 8 & 255) + "." + (n & 255) + ":8443",
                zone,
                n % 4,
                n % 50,
                804 + n % 2,
                Endpoint.Health.READY,
                1_780_000_000_000_000L + n * 1000L + starts * SECOND);
    }

    private static EndpointEntry endpoint(int n, int services, int starts) {
        return endpoint(n, services, n % 19, starts);
    }

    /** A service's endpoints as one relay's scope has them. */
    private static EndpointSubset.Change change(
            int relay, int zone, List<EndpointEntry> list, int perService, int elsewhere) {
        EndpointSubset scope =
                new EndpointSubset(new EndpointSubset.Terms(relay, zone, 1_000, perService, 0, elsewhere, SECOND));
        EndpointSubset.Reading reading = scope.read(true);
        list.forEach(reading::add);
        return reading.take(0, 1);
    }

    private static void zones() {
        int zones = 19;
        int perZone = 100;
        System.out.println("Zones: " + zones + ", each with " + perZone + " relays; 5 in scope, 1 of them "
                + "elsewhere; the module itself (ranked). Units a zone: even, or drawn.\n");
        System.out.println("| units | zones | of connections in the own zone | least to mean, max to mean |");
        System.out.println("| --- | --- | --- | --- |");
        for (int n : new int[] {28, 190, 1_000}) {
            for (String how : new String[] {"none told", "even", "drawn"}) {
                SplittableRandom random = new SplittableRandom(n);
                List<EndpointEntry> list = new ArrayList<>();
                for (int i = 0; i < n; i++) {
                    list.add(endpoint(i, 1, how.equals("drawn") ? random.nextInt(zones) : i % zones, 0));
                }
                int[] holders = new int[n];
                int own = 0;
                int held = 0;
                for (int r = 0; r < zones * perZone; r++) {
                    int zone = how.startsWith("none") ? -1 : r % zones;
                    for (EndpointEntry e : change(r, zone, list, 5, 1).entries()) {
                        holders[Integer.parseInt(e.name().substring(5)) - 1_000_000]++;
                        own += e.zone() == r % zones ? 1 : 0;
                        held++;
                    }
                }
                double mean = held / (double) n;
                System.out.printf(
                        "| %d | %s | %.2f | %.2f, %.2f |%n",
                        n,
                        how,
                        own / (double) held,
                        Arrays.stream(holders).min().orElse(0) / mean,
                        Arrays.stream(holders).max().orElse(0) / mean);
            }
        }
        System.out.println();
    }

    private static void stages() {
        System.out.println("Share of " + RELAYS + " relays that hold at least one unit of a build, by the "
                + "part of "
                + "a service's units that run it (ranked; mean of 10 services):\n");
        System.out.println("| units | in scope | 8% | 60% | 100% | 8%, worst service |");
        System.out.println("| --- | --- | --- | --- | --- | --- |");
        for (int n : new int[] {28, 100, 1_000}) {
            for (int most : new int[] {3, 5, 10, 20}) {
                double[] sums = new double[3];
                double worst = 1;
                int services = n > 100 ? 2 : 10;
                for (int s = 0; s < services; s++) {
                    long[] endpoints = endpoints(n, 10_000 * s);
                    // Endpoints on the build are told by their names, as a release takes them in any order.
                    int[] order = IntStream.range(0, n)
                            .boxed()
                            .sorted(Comparator.comparingLong(
                                    i -> Long.rotateLeft(endpoints[i], 20) * 0x9E3779B97F4A7C15L))
                            .mapToInt(i -> i)
                            .toArray();
                    int[] place = new int[n];
                    for (int i = 0; i < n; i++) {
                        place[order[i]] = i;
                    }
                    double[] parts = {0.08, 0.6, 1};
                    int[] reach = new int[3];
                    for (int r = 0; r < RELAYS; r++) {
                        int[] its = ranked(r, endpoints, most);
                        for (int p = 0; p < 3; p++) {
                            int on = (int) Math.ceil(parts[p] * n - 1e-9);
                            reach[p] += Arrays.stream(its).anyMatch(u -> place[u] < on) ? 1 : 0;
                        }
                    }
                    for (int p = 0; p < 3; p++) {
                        sums[p] += reach[p] / (double) RELAYS / services;
                    }
                    worst = Math.min(worst, reach[0] / (double) RELAYS);
                }
                System.out.printf(
                        "| %d | %d | %.3f | %.3f | %.3f | %.3f |%n", n, most, sums[0], sums[1], sums[2], worst);
            }
        }
        System.out.println();
    }

    // What it costs

    private static long used() {
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

    private static EndpointSubset.Reading read(EndpointSubset scope, int endpoints, int services, int starts) {
        EndpointSubset.Reading reading = scope.read(true);
        for (int i = 0; i < endpoints; i++) {
            reading.add(endpoint(i, services, starts));
        }
        return reading;
    }

    /** CPU of a change, mean of three that a restart of one endpoint makes, us; median of some repeats. */
    private static double perChangeUs(EndpointSubset scope, int[] endpoints, int services) {
        double[] us = new double[REPEATS];
        long nowUs = 1;
        for (int k = 0; k < REPEATS; k++) {
            long from = cpuNs();
            for (int i = 0; i < CHANGES; i++) {
                EndpointEntry e = endpoint(endpoints[i % endpoints.length], services, k + 1);
                EndpointEntry drains = new EndpointEntry(
                        e.name(),
                        e.service(),
                        e.address(),
                        e.zone(),
                        e.kind(),
                        e.cell(),
                        e.build(),
                        Endpoint.Health.DRAINING,
                        e.startUs());
                for (EndpointEntry told : new EndpointEntry[] {drains, e.gone(), e}) {
                    EndpointSubset.Reading reading = scope.read(false);
                    reading.add(told);
                    reading.take(nowUs, 1);
                    nowUs += 1000;
                    scope.due(nowUs);
                }
            }
            us[k] = (cpuNs() - from) / 1e3 / (3.0 * CHANGES);
        }
        Arrays.sort(us);
        return us[REPEATS / 2];
    }

    private static int[] some(EndpointSubset scope, int endpoints, int services, boolean inScope) {
        java.util.Set<String> in = new java.util.HashSet<>();
        scope.read(true);
        EndpointSubset.Reading whole = read(scope, endpoints, services, 0);
        whole.take(0, 1).entries().forEach(e -> in.add(e.name()));
        return new SplittableRandom(5)
                .ints(endpoints * 4L, 0, endpoints)
                .filter(i -> in.contains("unit-" + (1_000_000 + i)) == inScope)
                .limit(CHANGES)
                .toArray();
    }

    private static void work(Path slopes, String run) throws IOException {
        int[] sizes = {1_000, 10_000, 100_000, 200_000};
        double[] heap = new double[sizes.length];
        double[] out = new double[sizes.length];
        System.out.println("Work and memory of the module; 28 units a service, 256 in scope over all, so "
                + "that what is "
                + "out of scope shows. A change is one entry with its due; three make a restart.\n");
        System.out.println("| units | heap, KB | bytes a unit out of scope | of these packed | peak while a "
                + "whole list "
                + "comes, KB | whole list, CPU ms | change out of scope, CPU us | in scope, CPU us |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (int warm = 0; warm < 3; warm++) {
            EndpointSubset scope = new EndpointSubset(new EndpointSubset.Terms(7, 0, 256, 5, 0, 1, SECOND));
            perChangeUs(scope, some(scope, 10_000, 10_000 / UNITS_A_SERVICE, false), 10_000 / UNITS_A_SERVICE);
        }
        for (int s = 0; s < sizes.length; s++) {
            int n = sizes[s];
            int services = n / UNITS_A_SERVICE;
            long before = used();
            EndpointSubset scope = new EndpointSubset(new EndpointSubset.Terms(7, 0, 256, 5, 0, 1, SECOND));
            EndpointSubset.Reading first = read(scope, n, services, 0);
            first.take(0, 1);
            first = null;
            long held = used() - before;
            EndpointSubset.Reading second = read(scope, n, services, 1);
            long peak = used() - before;
            second.take(0, 2);
            second = null;
            double[] ms = new double[REPEATS];
            for (int k = 0; k < REPEATS; k++) {
                long from = cpuNs();
                read(scope, n, services, k).take(0, 3);
                ms[k] = (cpuNs() - from) / 1e6;
            }
            Arrays.sort(ms);
            out[s] = perChangeUs(scope, some(scope, n, services, false), services);
            double in = perChangeUs(scope, some(scope, n, services, true), services);
            heap[s] = held;
            System.out.printf(
                    "| %,d | %,d | %.1f | %.1f | %,d | %.1f | %.2f | %.2f |%n",
                    n,
                    held / 1024,
                    held / (double) n,
                    scope.bytes() / (double) n,
                    peak / 1024,
                    ms[REPEATS / 2],
                    out[s],
                    in);
        }
        System.out.println();
        System.out.println("The same with 5 of each service in scope (bound 40,000), and with one " + "service:\n");
        System.out.println("| units | services | in scope | heap, KB | whole list, CPU ms | change out of "
                + "scope, CPU us "
                + "| in scope, CPU us |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
        for (int n : sizes) {
            for (int services : new int[] {n / UNITS_A_SERVICE, 1}) {
                long before = used();
                EndpointSubset scope = new EndpointSubset(new EndpointSubset.Terms(7, 0, 40_000, 5, 0, 1, SECOND));
                read(scope, n, services, 0).take(0, 1);
                long held = used() - before;
                long from = cpuNs();
                read(scope, n, services, 1).take(0, 1);
                double ms = (cpuNs() - from) / 1e6;
                int[] outside = some(scope, n, services, false);
                int inScope = scope.inScope();
                System.out.printf(
                        "| %,d | %,d | %,d | %,d | %.1f | %.2f | %.2f |%n",
                        n,
                        services,
                        inScope,
                        held / 1024,
                        ms,
                        perChangeUs(scope, outside, services),
                        services == 1 ? inFew(scope, n) : perChangeUs(scope, some(scope, n, services, true), services));
            }
        }
        if (slopes != null) {
            double[] x = Arrays.stream(sizes).asDoubleStream().toArray();
            Files.createDirectories(slopes.toAbsolutePath().getParent());
            Files.writeString(
                    slopes,
                    "{\n  \"run\": {\"id\": \"" + run + "\", \"cores\": "
                            + Runtime.getRuntime().availableProcessors() + ", \"java\": \""
                            + Runtime.version().feature()
                            + "\", \"command\": \"make measure-membership\"},\n  \"slopes\": [\n"
                            + slope(
                                    "heapPerUnitOutOfScope",
                                    "heap of the scope by units listed, 256 of them in scope, " + "28 a service",
                                    "bytes",
                                    x,
                                    heap,
                                    "used heap after collections, before and after a " + "whole list")
                            + ",\n"
                            + slope(
                                    "cpuPerChangeOutOfScopeUs",
                                    "processor time of one entry's change out of " + "scope, by " + "units listed",
                                    "us",
                                    x,
                                    out,
                                    "thread's processor time over " + 3 * CHANGES + " "
                                            + "changes, median "
                                            + "of " + REPEATS + " repeats; a restart is three changes")
                            + "\n  ]\n}\n");
        }
    }

    /** With one service a change in scope looks through all of it: fewer are played. */
    private static double inFew(EndpointSubset scope, int n) {
        int[] its = some(scope, n, 1, true);
        long from = cpuNs();
        int plays = 0;
        long nowUs = 1_000_000_000L;
        for (; plays < 200; plays++) {
            EndpointEntry e = endpoint(its[plays % its.length], 1, plays + 100);
            for (EndpointEntry told : new EndpointEntry[] {e.gone(), e}) {
                EndpointSubset.Reading reading = scope.read(false);
                reading.add(told);
                reading.take(nowUs, 1);
                nowUs += 1000;
                scope.due(nowUs);
            }
        }
        return (cpuNs() - from) / 1e3 / (2.0 * plays);
    }

    private static String slope(String name, String what, String y, double[] x, double[] ys, String how) {
        List<double[]> measured = IntStream.range(0, x.length)
                .mapToObj(i -> new double[] {x[i], ys[i]})
                .toList();
        Fit fit = Fit.of(measured);
        String points = measured.stream()
                .map(p -> String.format("[%.0f, %.3f]", p[0], p[1]))
                .collect(Collectors.joining(", "));
        return String.format(
                "    {\"name\": \"%s\", \"what\": \"%s\", \"x\": \"units listed\", \"y\": "
                        + "\"%s\",%n"
                        + "      \"points\": [%s],%n      \"slope\": %.6g, \"intercept\": %.6g, \"residual\": %.6g,%n"
                        + "      \"how\": \"%s; least squares\"}",
                name, what, y, points, fit.slope(), fit.intercept(), fit.residual(), how);
    }

    /** 200,000 endpoints in the memory that a relay has: says how it went, ten whole lists and 2,000 restarts. */
    private static void fit() {
        int n = 200_000;
        int services = 7_200;
        EndpointSubset scope = new EndpointSubset(new EndpointSubset.Terms(7, 0, 4_096, 5, 0, 1, SECOND));
        for (int k = 0; k < 10; k++) {
            read(scope, n, services, k).take(k, k);
        }
        perChangeUs(scope, IntStream.range(0, 2_000).toArray(), services);
        System.out.printf(
                "%,d units, %,d in scope, %,d services crowded out: %,d KB used of %,d KB%n",
                scope.listed(),
                scope.inScope(),
                scope.servicesWithoutPlace(),
                used() / 1024,
                Runtime.getRuntime().maxMemory() / 1024);
    }
}
