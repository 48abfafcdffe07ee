package gatelock.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against wrong shares by rank, numbers of distinct ranks and Poisson tails. */
class ZipfDistributionTest {

    @Test
    void sharesDecreaseWithRank() {
        ZipfDistribution zipf = new ZipfDistribution(3, 1);
        assertThat(zipf.share(1)).isCloseTo(6 / 11.0, within(1e-12));
        assertThat(zipf.share(3)).isCloseTo(2 / 11.0, within(1e-12));
        assertThat(zipf.proportionWithShare(3 / 11.0)).isCloseTo(2 / 3.0, within(1e-12));
    }

    @Property(tries = 200)
    void sharesSumToOneAndDistinctRanksAreAtMostDrawsAndCount(
            @ForAll @IntRange(min = 1, max = 500) int count,
            @ForAll @DoubleRange(max = 2) double exponent,
            @ForAll @DoubleRange(max = 5000) double draws) {
        ZipfDistribution zipf = new ZipfDistribution(count, exponent);
        assertThat(IntStream.rangeClosed(1, count).mapToDouble(zipf::share).sum())
                .isCloseTo(1, within(1e-9));
        assertThat(zipf.expectedDistinct(draws)).isLessThanOrEqualTo(Math.min(draws, count) + 1e-9);
    }

    @Test
    void computesPoissonTail() {
        assertThat(RelaysPerEndpointTables.poissonTail(1, 0)).isCloseTo(1 - Math.exp(-1), within(1e-12));
        assertThat(RelaysPerEndpointTables.poissonTail(26, 48)).isLessThan(1e-4);
    }
}
