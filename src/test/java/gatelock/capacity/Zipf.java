package gatelock.capacity;

import java.util.stream.IntStream;

/** Shares that fall with a power of the rank: of the first, 1 / H; of the n-th, n to the minus exponent / H. */
final class Zipf {
    private final double[] shares;

    Zipf(int count, double exponent) {
        shares = IntStream.rangeClosed(1, count)
                .mapToDouble(n -> Math.pow(n, -exponent))
                .toArray();
        double all = IntStream.range(0, count).mapToDouble(i -> shares[i]).sum();
        for (int i = 0; i < count; i++) {
            shares[i] /= all;
        }
    }

    int count() {
        return shares.length;
    }

    /** Of the rank, from 1. */
    double share(int rank) {
        return shares[rank - 1];
    }

    /** How many different ones are expected among so many drawn. */
    double distinct(double drawn) {
        double seen = 0;
        for (double share : shares) {
            seen += -Math.expm1(-drawn * share);
        }
        return seen;
    }

    /** The part of all whose share is at least so much: the first ranks. */
    double partWith(double least) {
        int ranks = 0;
        while (ranks < shares.length && shares[ranks] >= least) {
            ranks++;
        }
        return (double) ranks / shares.length;
    }
}
