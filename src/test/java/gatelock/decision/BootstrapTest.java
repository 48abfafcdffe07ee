package gatelock.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests bootstrapped intervals, weighted statistics and the binomial and normal approximations. */
final class BootstrapTest {
    private static final RelativeLatency[] LATENCIES = {
        new RelativeLatency(4, 0), new RelativeLatency(3, 1), new RelativeLatency(2, 1), new RelativeLatency(1, 0)
    };

    @Test
    void weightsLatencyPercentileByWindowMultiplicity() {
        assertThat(Bootstrap.percentile(LATENCIES, Bootstrap.originalSample(2), 0.9))
                .isEqualTo(4);
        assertThat(Bootstrap.percentile(LATENCIES, Bootstrap.originalSample(2), 0.5))
                .isEqualTo(3);
        assertThat(Bootstrap.percentile(LATENCIES, new int[] {0, 2}, 0.9)).isEqualTo(3);
        assertThat(Bootstrap.percentile(new RelativeLatency[0], new int[0], 0.9))
                .isZero();
    }

    @Test
    void weightsErrorShareByWindowMultiplicity() {
        ErrorCount[] counts = {new ErrorCount(10, 1), new ErrorCount(10, 5)};
        assertThat(Bootstrap.errorShare(counts, Bootstrap.originalSample(2))).isEqualTo(0.3);
        assertThat(Bootstrap.errorShare(counts, new int[] {2, 0})).isEqualTo(0.1);
        assertThat(Bootstrap.errorShare(new ErrorCount[0], new int[0])).isZero();
    }

    @Test
    void returnsPointForConstantStatisticAndWidensOnlyLowerEnd() {
        Bootstrap.Interval point = Bootstrap.interval(5, 1, new SplittableRandom(1), times -> 0.2);
        assertThat(point).isEqualTo(new Bootstrap.Interval(0.2, 0.2));
        Bootstrap.Interval plain = Bootstrap.interval(5, 1, new SplittableRandom(1), times -> times[0]);
        Bootstrap.Interval widened = Bootstrap.interval(5, 3, new SplittableRandom(1), times -> times[0]);
        assertThat(widened.upper()).isEqualTo(plain.upper());
        assertThat(widened.lower()).isLessThan(plain.lower());
    }

    @Test
    void matchesPublishedBinomialTailAndNormalQuantile() {
        assertThat(Bootstrap.binomialTail(20, 2, 0.02)).isCloseTo(0.0599, within(1e-4));
        assertThat(Bootstrap.binomialTail(20, 0, 0.02)).isEqualTo(1);
        assertThat(Bootstrap.normalQuantile(Math.log(0.025))).isCloseTo(1.96, within(0.005));
    }
}
