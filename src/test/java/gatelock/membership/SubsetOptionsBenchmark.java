package gatelock.membership;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/** Compares each {@link SubsetAlgorithm} by the evenness of load and by the connections that a change moves. */
final class SubsetOptionsBenchmark {
    private static final int RELAYS = 5_700;
    private static final int SUBSET_SIZE = 5;

    /** A column of the tables of evenness: an algorithm, and whether relays have random or consecutive numbers. */
    private record Column(SubsetAlgorithm algorithm, boolean randomNumbers) {}

    /** Load of the least and the most loaded endpoint, divided by the mean. */
    private record Spread(double min, double max) {}

    /** A change between two choices of the subset. */
    private enum Event {
        ENDPOINT_REMOVED("a unit goes"),
        ENDPOINT_ADDED("a unit comes"),
        NUMBERS_SHIFTED("relays' numbers move by one");

        private final String title;

        Event(String title) {
            this.title = title;
        }
    }

    private SubsetOptionsBenchmark() {}

    private static long[] endpointHashes(int count, int from) {
        RendezvousRanking anyRelay = new RendezvousRanking(0);
        return IntStream.range(from, from + count)
                .mapToLong(i -> anyRelay.hash("unit-" + i))
                .sorted()
                .toArray();
    }

    /** Returns the relays' numbers: random, or consecutive from 0. */
    private static long[] relayNumbers(boolean randomNumbers) {
        SplittableRandom random = new SplittableRandom(17);
        return IntStream.range(0, RELAYS)
                .mapToLong(i -> randomNumbers ? random.nextLong(Long.MAX_VALUE) : i)
                .toArray();
    }

    private static double[] ones(int count) {
        double[] ones = new double[count];
        Arrays.fill(ones, 1);
        return ones;
    }

    /** Returns how evenly load reaches the endpoints if each relay distributes its load over its endpoints by weight. */
    private static Spread spread(Column column, long[] endpoints, int subsetSize, double[] weights, double[] loads) {
        double[] load = new double[endpoints.length];
        long[] numbers = relayNumbers(column.randomNumbers);
        for (int relay = 0; relay < RELAYS; relay++) {
            int[] subset = column.algorithm.choose(numbers[relay], endpoints, subsetSize);
            double sum = Arrays.stream(subset).mapToDouble(i -> weights[i]).sum();
            for (int i : subset) {
                load[i] += loads[relay] / sum;
            }
        }
        double mean = Arrays.stream(loads).sum() / Arrays.stream(weights).sum();
        return new Spread(
                Arrays.stream(load).min().orElse(0) / mean,
                Arrays.stream(load).max().orElse(0) / mean);
    }

    /** Prints the load of the least and the most loaded endpoint for each algorithm. */
    static void printEvenness() {
        System.out.println("Least to mean and max to mean load of a unit, " + RELAYS + " relays:\n");
        System.out.println("| units | in scope | ranked | rounds, numbered | ring, numbered | rounds, drawn "
                + "| ring, drawn | all |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        List<Column> columns = List.of(
                new Column(SubsetAlgorithm::rendezvous, false),
                new Column(SubsetAlgorithm::rounds, false),
                new Column(SubsetAlgorithm::ring, false),
                new Column(SubsetAlgorithm::rounds, true),
                new Column(SubsetAlgorithm::ring, true),
                new Column(SubsetAlgorithm::all, false));
        for (int count : new int[] {2, 10, 28, 100, 1_000, 5_000}) {
            for (int subsetSize : new int[] {5, 20, 100}) {
                if (subsetSize > 5 && subsetSize >= count) {
                    continue;
                }
                long[] endpoints = endpointHashes(count, 0);
                StringBuilder row = new StringBuilder("| " + count + " | " + Math.min(count, subsetSize));
                for (Column column : columns) {
                    Spread spread = spread(column, endpoints, subsetSize, ones(count), ones(RELAYS));
                    row.append(String.format(" | %.2f, %.2f", spread.min, spread.max));
                }
                System.out.println(row + " |");
            }
        }
        System.out.println();
    }

    /** Prints the load of the most loaded endpoint with unequal weights and with unequal loads of the relays. */
    static void printWeights() {
        System.out.println("Max to mean load by weight (half of the units 1, a quarter 2, a quarter 4), and with "
                + "equal weights where relays' loads differ (drawn, exponential):\n");
        System.out.println("| units | in scope | ranked | ranked by weight | rounds, numbered | ring, numbered "
                + "| ranked, unequal relays | ring, unequal relays |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        Column rendezvous = new Column(SubsetAlgorithm::rendezvous, false);
        Column rounds = new Column(SubsetAlgorithm::rounds, false);
        Column ring = new Column(SubsetAlgorithm::ring, false);
        double[] unequalLoads = exponentialLoads();
        for (int count : new int[] {28, 100, 1_000, 5_000}) {
            long[] endpoints = endpointHashes(count, 0);
            double[] weights =
                    IntStream.range(0, count).mapToDouble(i -> weight(i)).toArray();
            System.out.printf(
                    "| %d | %d | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f |%n",
                    count,
                    SUBSET_SIZE,
                    spread(rendezvous, endpoints, SUBSET_SIZE, weights, ones(RELAYS)).max,
                    maxLoadByWeightedChoice(endpoints, weights),
                    spread(rounds, endpoints, SUBSET_SIZE, weights, ones(RELAYS)).max,
                    spread(ring, endpoints, SUBSET_SIZE, weights, ones(RELAYS)).max,
                    spread(rendezvous, endpoints, SUBSET_SIZE, ones(count), unequalLoads).max,
                    spread(ring, endpoints, SUBSET_SIZE, ones(count), unequalLoads).max);
        }
        System.out.println();
    }

    private static double[] exponentialLoads() {
        SplittableRandom random = new SplittableRandom(3);
        double[] loads = new double[RELAYS];
        for (int relay = 0; relay < RELAYS; relay++) {
            loads[relay] = -Math.log(1 - random.nextDouble());
        }
        return loads;
    }

    private static double weight(int endpoint) {
        return switch (endpoint % 4) {
            case 0, 1 -> 1;
            case 2 -> 2;
            default -> 4;
        };
    }

    /**
     * Returns the load of the most loaded endpoint by its weight, over the mean. A relay that chooses endpoints by weight
     * distributes its load evenly over them, because the choice already takes the weight into account.
     */
    private static double maxLoadByWeightedChoice(long[] endpoints, double[] weights) {
        SubsetAlgorithm weighted = SubsetAlgorithm.weightedRendezvous(weights);
        double[] load = new double[endpoints.length];
        for (long relay : relayNumbers(false)) {
            int[] subset = weighted.choose(relay, endpoints, SUBSET_SIZE);
            for (int i : subset) {
                load[i] += 1.0 / subset.length;
            }
        }
        double mean = RELAYS / Arrays.stream(weights).sum();
        double max = 0;
        for (int i = 0; i < load.length; i++) {
            max = Math.max(max, load[i] / weights[i] / mean);
        }
        return max;
    }

    /** Prints how many connections each event moves. */
    static void printMovedConnections() {
        System.out.println("New connections a relay (mean over " + RELAYS + " relays and 10 units), 5 in scope. "
                + "Least: each relay that held the unit needs one other.\n");
        System.out.println("| units | what | least | ranked | rounds | ring | all |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
        for (int count : new int[] {28, 100, 1_000}) {
            for (Event event : Event.values()) {
                String least =
                        event == Event.NUMBERS_SHIFTED ? "0" : String.format("%.3f", SUBSET_SIZE / (double) count);
                System.out.printf(
                        "| %d | %s | %s | %.3f | %.3f | %.3f | %.3f |%n",
                        count,
                        event.title,
                        least,
                        movedConnections(SubsetAlgorithm::rendezvous, count, event),
                        movedConnections(SubsetAlgorithm::rounds, count, event),
                        movedConnections(SubsetAlgorithm::ring, count, event),
                        movedConnections(SubsetAlgorithm::all, count, event));
            }
        }
        System.out.println();
    }

    /** Returns the new connections per relay after an event, as the mean over relays and ten endpoints. */
    private static double movedConnections(SubsetAlgorithm algorithm, int count, Event event) {
        int trials = 10;
        double sum = 0;
        for (int trial = 0; trial < trials; trial++) {
            long[] all = endpointHashes(count, 1_000 * trial);
            int without = trial * count / trials;
            long[] allButOne = IntStream.range(0, count)
                    .filter(i -> i != without)
                    .mapToLong(i -> all[i])
                    .toArray();
            sum += switch (event) {
                case ENDPOINT_REMOVED -> movedConnections(algorithm, all, allButOne, 0);
                case ENDPOINT_ADDED -> movedConnections(algorithm, allButOne, all, 0);
                case NUMBERS_SHIFTED -> movedConnections(algorithm, all, all, 1);
            };
        }
        return sum / trials;
    }

    /** Returns the new connections per relay between two choices, as the mean over relays. */
    private static double movedConnections(SubsetAlgorithm algorithm, long[] before, long[] after, long numberOffset) {
        long moved = 0;
        for (int relay = 0; relay < RELAYS; relay++) {
            long[] previous = Arrays.stream(algorithm.choose(relay, before, SUBSET_SIZE))
                    .mapToLong(i -> before[i])
                    .sorted()
                    .toArray();
            moved += Arrays.stream(algorithm.choose(relay + numberOffset, after, SUBSET_SIZE))
                    .filter(i -> Arrays.binarySearch(previous, after[i]) < 0)
                    .count();
        }
        return moved / (double) RELAYS;
    }

    /** Prints the fraction of relays that reach a build, by the fraction of endpoints that run it. */
    static void printReleaseStages() {
        System.out.println("Share of " + RELAYS + " relays that hold at least one unit of a build, by the part of "
                + "a service's units that run it (ranked; mean of 10 services):\n");
        System.out.println("| units | in scope | 8% | 60% | 100% | 8%, worst service |");
        System.out.println("| --- | --- | --- | --- | --- | --- |");
        for (int count : new int[] {28, 100, 1_000}) {
            for (int subsetSize : new int[] {3, 5, 10, 20}) {
                printReleaseStages(count, subsetSize);
            }
        }
        System.out.println();
    }

    private static void printReleaseStages(int count, int subsetSize) {
        double[] fractions = {0.08, 0.6, 1};
        double[] sums = new double[fractions.length];
        double worst = 1;
        int services = count > 100 ? 2 : 10;
        for (int service = 0; service < services; service++) {
            double[] reached = relaysReached(endpointHashes(count, 10_000 * service), subsetSize, fractions);
            for (int i = 0; i < fractions.length; i++) {
                sums[i] += reached[i] / services;
            }
            worst = Math.min(worst, reached[0]);
        }
        System.out.printf(
                "| %d | %d | %.3f | %.3f | %.3f | %.3f |%n", count, subsetSize, sums[0], sums[1], sums[2], worst);
    }

    /** Returns the fraction of relays that use an endpoint of a build, for each fraction of endpoints that run it. */
    private static double[] relaysReached(long[] endpoints, int subsetSize, double[] fractions) {
        int[] position = releaseOrder(endpoints);
        int[] reached = new int[fractions.length];
        for (int relay = 0; relay < RELAYS; relay++) {
            int[] subset = SubsetAlgorithm.rendezvous(relay, endpoints, subsetSize);
            for (int i = 0; i < fractions.length; i++) {
                int released = (int) Math.ceil(fractions[i] * endpoints.length - 1e-9);
                if (Arrays.stream(subset).anyMatch(endpoint -> position[endpoint] < released)) {
                    reached[i]++;
                }
            }
        }
        return Arrays.stream(reached)
                .mapToDouble(relays -> relays / (double) RELAYS)
                .toArray();
    }

    /** Returns each endpoint's position in the release order, which is independent of the rankings. */
    private static int[] releaseOrder(long[] endpoints) {
        int[] order = IntStream.range(0, endpoints.length)
                .boxed()
                .sorted(Comparator.comparingLong(i -> Long.rotateLeft(endpoints[i], 20) * 0x9E3779B97F4A7C15L))
                .mapToInt(i -> i)
                .toArray();
        int[] position = new int[endpoints.length];
        for (int i = 0; i < order.length; i++) {
            position[order[i]] = i;
        }
        return position;
    }
}
