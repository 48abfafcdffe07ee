package gatelock.membership;

import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.function.IntToDoubleFunction;
import java.util.function.IntToLongFunction;
import java.util.stream.IntStream;

/** An algorithm that chooses which endpoints of a service each relay uses; the benchmarks compare several. */
@FunctionalInterface
interface SubsetAlgorithm {
    /** Factor that scales the upper 53 bits of a hash to a number from 0 to 1. */
    double UNIT_PER_53_BITS = 0x1.0p-53;

    /**
     * Returns the indexes of the endpoints that a relay uses.
     *
     * @param relay the relay's number
     * @param endpoints hashes of the endpoints' names, in ascending order
     * @param subsetSize number of endpoints that a relay should use
     */
    int[] choose(long relay, long[] endpoints, int subsetSize);

    /** Rendezvous hashing, as in {@link EndpointSubset} for one service without zones. */
    static int[] rendezvous(long relay, long[] endpoints, int subsetSize) {
        RendezvousRanking ranking = new RendezvousRanking(relay);
        return indexesOfLowestScores(endpoints.length, subsetSize, i -> 0, i -> ranking.rank(endpoints[i]));
    }

    /** Rendezvous hashing in which an endpoint is chosen in proportion to its weight. */
    static SubsetAlgorithm weightedRendezvous(double[] weights) {
        return (relay, endpoints, subsetSize) -> {
            RendezvousRanking ranking = new RendezvousRanking(relay);
            IntToDoubleFunction score =
                    i -> -Math.log(((ranking.rank(endpoints[i]) >>> 11) + 0.5) * UNIT_PER_53_BITS) / weights[i];
            return indexesOfLowestScores(endpoints.length, subsetSize, score, i -> 0);
        };
    }

    /**
     * Deterministic subsetting in rounds: relays with consecutive numbers form a round, and each round shuffles all
     * endpoints and divides them into disjoint subsets, one for each of its relays.
     */
    static int[] rounds(long relay, long[] endpoints, int subsetSize) {
        int parts = Math.max(1, endpoints.length / subsetSize);
        int[] order = shuffled(endpoints.length, Math.floorDiv(relay, parts));
        int from = (int) Math.floorMod(relay, (long) parts) * subsetSize;
        return Arrays.copyOfRange(order, from, Math.min(endpoints.length, from + subsetSize));
    }

    /**
     * A ring of the endpoints in the order of their hashes. The van der Corput sequence gives each relay a position, from
     * which it uses the next endpoints.
     */
    static int[] ring(long relay, long[] endpoints, int subsetSize) {
        double position = (Long.reverse(relay) >>> 11) * UNIT_PER_53_BITS;
        int first = (int) (position * endpoints.length);
        return IntStream.range(0, Math.min(subsetSize, endpoints.length))
                .map(i -> (first + i) % endpoints.length)
                .toArray();
    }

    /** Returns all endpoints, whatever the requested size. */
    static int[] all(long relay, long[] endpoints, int subsetSize) {
        return IntStream.range(0, endpoints.length).toArray();
    }

    private static int[] shuffled(int count, long seed) {
        int[] order = IntStream.range(0, count).toArray();
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = count - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            int swapped = order[i];
            order[i] = order[j];
            order[j] = swapped;
        }
        return order;
    }

    /** Returns the indexes with the lowest scores, in ascending order of score; equal scores are ordered by rank. */
    private static int[] indexesOfLowestScores(
            int count, int limit, IntToDoubleFunction score, IntToLongFunction rank) {
        double[] scores = IntStream.range(0, count).mapToDouble(score).toArray();
        long[] ranks = IntStream.range(0, count).mapToLong(rank).toArray();
        int[] lowest = new int[Math.min(limit, count)];
        int filled = 0;
        for (int i = 0; i < count; i++) {
            int insertionIndex = filled;
            while (insertionIndex > 0 && isBefore(i, lowest[insertionIndex - 1], scores, ranks)) {
                insertionIndex--;
            }
            if (insertionIndex < lowest.length) {
                filled = Math.min(lowest.length, filled + 1);
                System.arraycopy(lowest, insertionIndex, lowest, insertionIndex + 1, filled - insertionIndex - 1);
                lowest[insertionIndex] = i;
            }
        }
        return lowest;
    }

    private static boolean isBefore(int a, int b, double[] scores, long[] ranks) {
        return scores[a] < scores[b] || (scores[a] == scores[b] && ranks[a] < ranks[b]);
    }
}
