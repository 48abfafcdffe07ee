package gatelock.capacity;

import java.util.stream.IntStream;

/** A Zipf distribution: the share of rank n is proportional to n to the minus exponent. */
final class ZipfDistribution {
    private final double[] shares;

    /** @param count how many ranks there are */
    ZipfDistribution(int count, double exponent) {
        shares = IntStream.rangeClosed(1, count)
                .mapToDouble(n -> Math.pow(n, -exponent))
                .toArray();
        double total = IntStream.range(0, count).mapToDouble(i -> shares[i]).sum();
        for (int i = 0; i < count; i++) {
            shares[i] /= total;
        }
    }

    /** How many ranks there are. */
    int count() {
        return shares.length;
    }

    /** The share of a rank, from 1 on. */
    double share(int rank) {
        return shares[rank - 1];
    }

    /** The expected number of different ranks among so many draws. */
    double expectedDistinct(double draws) {
        double expected = 0;
        for (double share : shares) {
            expected += -Math.expm1(-draws * share);
        }
        return expected;
    }

    /** The proportion of the ranks whose share is at least so much. */
    double proportionWithShare(double minShare) {
        int ranks = 0;
        while (ranks < shares.length && shares[ranks] >= minShare) {
            ranks++;
        }
        return (double) ranks / shares.length;
    }
}
