package gatelock.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

/** Outcomes that an exact interval needs, against sums done by hand. */
class ExactIntervalTableTest {

    @Test
    void dividesErrorProbabilityAmongRelaysByQuorum() {
        assertThat(ExactIntervalTable.errorLevel(0.05, 1, 1)).isCloseTo(0.05, within(1e-12));
        // Any of 100 may send back: each may be wrong a hundredth as often.
        assertThat(ExactIntervalTable.errorLevel(0.05, 100, 1)).isCloseTo(0.0005, within(1e-12));
        // Two of two have to be wrong together.
        assertThat(ExactIntervalTable.errorLevel(0.04, 2, 2)).isCloseTo(0.2, within(1e-12));
    }

    /** Of 20 at 2%: two or more in 0.060 of cases, three or more in 0.007. */
    @Test
    void requiresEndpointsUntilTheirNumberIsRarerThanLevel() {
        assertThat(ExactIntervalTable.minEndpointsAboveThreshold(20, 0.02, 0.05))
                .isEqualTo(3);
        assertThat(ExactIntervalTable.minEndpointsAboveThreshold(20, 0.02, 0.07))
                .isEqualTo(2);
        assertThat(ExactIntervalTable.minEndpointsAboveThreshold(2, 0.02, 0.05)).isEqualTo(2);
    }

    @Test
    void computesDetectionProbabilityAsBinomialTail() {
        // Both of two outcomes at two endpoints, of which 0.3 fail.
        assertThat(ExactIntervalTable.detectionProbability(2, 100, 0.3, 0.02, 0.05))
                .isCloseTo(0.09, within(1e-12));
        // Three are asked for, and there are two endpoints.
        assertThat(ExactIntervalTable.detectionProbability(20, 2, 0.3, 0.02, 0.05))
                .isZero();
    }

    @Test
    void needsFewerOutcomesForWorseBuildAndDetectsNoneOnOneEndpoint() {
        int bad = ExactIntervalTable.minOutcomesToDetect(100, 0.1, 0.02, 0.05, 0.5, 500);
        int worse = ExactIntervalTable.minOutcomesToDetect(100, 0.3, 0.02, 0.05, 0.5, 500);
        assertThat(worse).isBetween(2, bad - 1);
        assertThat(ExactIntervalTable.detectionProbability(worse, 100, 0.3, 0.02, 0.05))
                .isGreaterThanOrEqualTo(0.5);
        assertThat(ExactIntervalTable.detectionProbability(worse - 1, 100, 0.3, 0.02, 0.05))
                .isLessThan(0.5);
        assertThat(ExactIntervalTable.minOutcomesToDetect(1, 0.3, 0.02, 0.05, 0.5, 500))
                .isEqualTo(-1);
    }
}
