package gatelock.capacity;

import java.util.stream.IntStream;

/** A Zipf distribution: the share of rank n is proportional to n to the power of minus the exponent. */
final class ZipfDistribution {
    private final double[] shares;

    /**
     * Creates a distribution.
     *
     * @param count number of ranks
     */
    ZipfDistribution(int count, double exponent) {
        shares = IntStream.rangeClosed(1, count)
                .mapToDouble(n -> Math.pow(n, -exponent))
                .toArray();
        double total = IntStream.range(0, count).mapToDouble(i -> shares[i]).sum();
        for (int i = 0; i < count; i++) {
            shares[i] /= total;
        }
    }

    /** Returns the number of ranks. */
    int count() {
        return shares.length;
    }

    /** Returns the share of a rank; ranks start at 1. */
    double share(int rank) {
        return shares[rank - 1];
    }

    /** Returns the expected number of distinct ranks in the given number of draws. */
    double expectedDistinct(double draws) {
        double expected = 0;
        for (double share : shares) {
            expected += -Math.expm1(-draws * share);
        }
        return expected;
    }

    /** Returns the proportion of ranks whose share is at least the given one. */
    double proportionWithShare(double minShare) {
        int ranks = 0;
        while (ranks < shares.length && shares[ranks] >= minShare) {
            ranks++;
        }
        return (double) ranks / shares.length;
    }
}
